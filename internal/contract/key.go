package contract

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"
)

// keyBytes is the randomness of a caller's key. At 256 bits an unsalted hash
// can't be searched.
const keyBytes = 32

// keyPrefix marks a caller's key, so that a leaked one is recognised in logs.
const keyPrefix = "ck_"

// HashKey gives the form in which the fleet keeps a key.
func HashKey(plain string) KeyHash {
	sum := sha256.Sum256([]byte(plain))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// GenerateKey makes a new caller's key from random, which must be a
// cryptographic source (crypto/rand.Reader). It fails only if random does.
func GenerateKey(random io.Reader) (plain string, hash KeyHash, err error) {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", errors.Wrap(err, "contract: read randomness for a key")
	}
	plain = keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return plain, HashKey(plain), nil
}
