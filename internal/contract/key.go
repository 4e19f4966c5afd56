package contract

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"
)

// keyBytes is the number of random bytes in an API key. With 256 bits, brute force
// can't recover a key from its unsalted hash.
const keyBytes = 32

// keyPrefix starts every API key, so that leaked keys can be recognized in logs.
const keyPrefix = "ck_"

// HashKey returns the stored form of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// GenerateKey returns a new API key and its hash. random must be a cryptographically
// secure source such as crypto/rand.Reader. An error means that reading from random failed.
func GenerateKey(random io.Reader) (key string, hash KeyHash, err error) {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", errors.Wrap(err, "contract: read randomness for a key")
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return key, HashKey(key), nil
}
