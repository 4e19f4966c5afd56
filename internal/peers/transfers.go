package peers

import (
	"sync"
	"time"
)

// transferRetention is how long a transfer is remembered. It must exceed the settleTimeout of
// the peer, which repeats transfers whose answers were lost.
const transferRetention = time.Minute

// transfers records recent loans and gifts, so that a loan whose answer was lost can be voided
// and a repeated gift counts once. Without it, each lost answer would lose tokens of the budget.
type transfers struct {
	mu          sync.Mutex
	byID        map[TransferID]*transfer
	lastCleanup time.Time
}

type transfer struct {
	updatedAt time.Time
	account   string
	tokens    int64 // of a loan that was not voided
	voided    bool
	refused   bool // a gift of which no tokens were taken
}

func newTransfers() *transfers {
	return &transfers{byID: make(map[TransferID]*transfer), lastCleanup: time.Now()}
}

// isVoided reports whether a loan was voided before it was asked for: calls on two connections
// may overtake each other.
func (t *transfers) isVoided(id TransferID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tr := t.byID[id]
	return tr != nil && tr.voided
}

// recordLoan records a loan. It returns false if the loan was voided meanwhile.
func (t *transfers) recordLoan(id TransferID, account string, tokens int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tr := t.byID[id]; tr != nil && tr.voided {
		return false
	}
	t.record(id, &transfer{account: account, tokens: tokens})
	return true
}

// void marks a loan as voided and returns its account and tokens, if it had been recorded.
func (t *transfers) void(id TransferID) (account string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tr := t.byID[id]; tr != nil {
		account, tokens = tr.account, tr.tokens
	}
	t.record(id, &transfer{voided: true})
	return account, tokens
}

// recordGift records a gift. isNew is false if it was recorded before; refused is set if it was refused then.
func (t *transfers) recordGift(id TransferID) (isNew, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tr := t.byID[id]; tr != nil {
		return false, tr.refused
	}
	t.record(id, &transfer{})
	return true, false
}

// refuseGift marks a recorded gift as refused.
func (t *transfers) refuseGift(id TransferID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id, &transfer{refused: true})
}

// record sets the state of a transfer, and from time to time removes old transfers.
func (t *transfers) record(id TransferID, tr *transfer) {
	now := time.Now()
	tr.updatedAt = now
	t.byID[id] = tr
	if now.Sub(t.lastCleanup) < transferRetention {
		return
	}
	t.lastCleanup = now
	for oldID, old := range t.byID {
		if now.Sub(old.updatedAt) > transferRetention {
			delete(t.byID, oldID)
		}
	}
}
