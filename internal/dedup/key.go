// Package dedup finds the one run of a request that its caller sends again
// under the same idempotency key. A Directory is the memory of a key's home
// router: which router serves the key. A Table is the memory of the serving
// router: what became of the request. Both are pure: the time is passed in and
// one goroutine owns each.
package dedup

import (
	"encoding/hex"
	"hash"
	"strconv"
	"time"

	"crypto/sha256"

	"chicorytiller.example/chicorytiller/internal/id"
)

// DefaultRetention is how long after its first registration a key is
// remembered. A retry within it gets the one answer. It must be longer than the
// longest deadline of a contract and no longer than the time for which
// witnesses keep the bills of keyed requests.
const DefaultRetention = 10 * time.Minute

// keyBytes of the hash are kept: 128 bits, so that two callers' keys can't be
// made to meet.
const keyBytes = 16

// Key names one idempotency key of one client account over the fleet. It is the
// hash that Hash makes; "" means that the caller gave no key.
type Key string

// Hash makes the Key of a caller's idempotency key. Two accounts that choose
// the same idempotency key have different Keys.
func Hash(account id.ClientAccount, idempotencyKey string) Key {
	digest := sha256.New()
	writeLengthPrefixed(digest, string(account))
	writeLengthPrefixed(digest, idempotencyKey)
	return Key(hex.EncodeToString(digest.Sum(nil)[:keyBytes]))
}

// writeLengthPrefixed keeps ("ab", "c") and ("a", "bc") apart. A hash.Hash
// never returns an error.
func writeLengthPrefixed(digest hash.Hash, s string) {
	digest.Write([]byte(strconv.Itoa(len(s))))
	digest.Write([]byte{':'})
	digest.Write([]byte(s))
}
