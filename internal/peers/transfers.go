package peers

import (
	"sync"
	"time"
)

// transferKept is how long a transfer is remembered: far longer than a peer goes on
// trying to settle one whose answer was lost.
const transferKept = time.Minute

// transfers remembers recent loans and gifts, so that one whose answer was lost is
// undone or taken once: without that each lost answer loses tokens to the budget.
type transfers struct {
	mu      sync.Mutex
	known   map[TransferID]*transfer
	cleaned time.Time
}

type transfer struct {
	at      time.Time
	account string
	tokens  int64 // lent and not taken back
	void    bool
}

func newTransfers() *transfers {
	return &transfers{known: make(map[TransferID]*transfer), cleaned: time.Now()}
}

// voided says whether a loan was given up before it was asked for here: calls of
// two connections may overtake each other.
func (t *transfers) voided(id TransferID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.known[id]
	return known != nil && known.void
}

// lent notes a loan; false if it was voided meanwhile.
func (t *transfers) lent(id TransferID, account string, tokens int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.known[id]; known != nil && known.void {
		return false
	}
	t.note(id, &transfer{account: account, tokens: tokens})
	return true
}

// void marks a loan as given up and returns what was lent under it.
func (t *transfers) void(id TransferID) (account string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.known[id]; known != nil {
		account, tokens = known.account, known.tokens
	}
	t.note(id, &transfer{void: true})
	return account, tokens
}

// first says whether a gift comes for the first time, and notes it.
func (t *transfers) first(id TransferID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known[id] != nil {
		return false
	}
	t.note(id, &transfer{})
	return true
}

func (t *transfers) note(id TransferID, transfer *transfer) {
	now := time.Now()
	transfer.at = now
	t.known[id] = transfer
	if now.Sub(t.cleaned) < transferKept {
		return
	}
	t.cleaned = now
	for old, known := range t.known {
		if now.Sub(known.at) > transferKept {
			delete(t.known, old)
		}
	}
}
