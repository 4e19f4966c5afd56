package link

import (
	"crypto/hmac"
	"sync"

	"github.com/pkg/errors"
)

// MinKeyBytes is the least length of a shared key.
const MinKeyBytes = 16

// ErrWeakKey: a shared key is shorter than MinKeyBytes.
var ErrWeakKey = errors.Errorf("link: a shared key has fewer than %d bytes", MinKeyBytes)

// Keyring holds the shared keys of a router's Server and Pool. Keys are rotated
// without a restart in three steps, each over the whole fleet before the next:
// SetKeys(old, new), SetKeys(new, old), SetKeys(new).
// It is safe for concurrent use.
type Keyring struct {
	mu   sync.RWMutex
	keys [][]byte // the current one first
}

// NewKeyring makes a Keyring; see SetKeys.
func NewKeyring(current []byte, also ...[]byte) (*Keyring, error) {
	k := &Keyring{}
	if err := k.SetKeys(current, also...); err != nil {
		return nil, err
	}
	return k, nil
}

// SetKeys replaces all keys: this router authenticates itself by current, and
// accepts peers with any of them. Connections made with a key that is no longer
// among them are closed at their next call.
func (k *Keyring) SetKeys(current []byte, also ...[]byte) error {
	keys := make([][]byte, 0, 1+len(also))
	for _, key := range append([][]byte{current}, also...) {
		if len(key) < MinKeyBytes {
			return ErrWeakKey
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
	return nil
}

func (k *Keyring) current() []byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.keys[0]
}

func (k *Keyring) isCurrent(key []byte) bool {
	return hmac.Equal(key, k.current())
}

func (k *Keyring) accepted() [][]byte {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.keys
}

func (k *Keyring) accepts(key []byte) bool {
	for _, candidate := range k.accepted() {
		if hmac.Equal(key, candidate) {
			return true
		}
	}
	return false
}
