package idempotency

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// The store may lose its recent writes, claims among them. A repeat would then run again. So a router
// remembers its recent claims and writes them again in a new era of the store, and no key is claimed
// until all routers have had time for that.

const (
	// claimMemory is how long a claim is remembered after its last write: longer than the age of a copy
	// from which a store is restored.
	claimMemory = 30 * time.Second
	// maxRememberedBytes bounds the memory for claims. The oldest ones are forgotten first.
	maxRememberedBytes = 8 << 20
	// restoreSettleTime is how long no keys are claimed after this router noticed a new era. Another
	// router notices it up to two seconds later, and then writes its claims.
	restoreSettleTime = 3 * time.Second
	// restoreAttempts is the number of attempts to write a claim again.
	restoreAttempts = 4
)

// ErrSettling means that keys can't be claimed yet, since claims may be missing from the store.
var ErrSettling = errors.New("idempotency: claims are being written again")

// rememberedClaim is a claim as this router last wrote it.
type rememberedClaim struct {
	value []byte
	at    time.Time
}

// remember keeps the encoded record of a claim.
func (g *Guard) remember(key string, value []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.remembered == nil {
		g.remembered = make(map[string]rememberedClaim)
	}
	g.forgetLocked(key)
	g.remembered[key] = rememberedClaim{value: value, at: time.Now()}
	g.rememberedOrder = append(g.rememberedOrder, key)
	g.rememberedBytes += len(value)
	g.forgetOldLocked()
}

// forget drops a claim that was removed.
func (g *Guard) forget(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetLocked(key)
}

func (g *Guard) forgetLocked(key string) {
	g.rememberedBytes -= len(g.remembered[key].value)
	delete(g.remembered, key)
}

// forgetOldLocked drops claims that are older than claimMemory, and the oldest ones beyond
// maxRememberedBytes. A key stands in the order once for each write; only the last one counts.
func (g *Guard) forgetOldLocked() {
	now := time.Now()
	for len(g.rememberedOrder) > 0 {
		key := g.rememberedOrder[0]
		claim, found := g.remembered[key]
		isLast := found && now.Sub(claim.at) <= claimMemory
		if isLast && g.rememberedBytes <= maxRememberedBytes {
			return
		}
		g.rememberedOrder = g.rememberedOrder[1:]
		if found && (!isLast || g.rememberedBytes > maxRememberedBytes) {
			g.forgetLocked(key)
		}
	}
}

// ObserveEra tells that the store is in the given era. Claims of an earlier one are written again.
func (g *Guard) ObserveEra(era store.Era) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.eraKnown && era <= g.era {
		return
	}
	isFirst := !g.eraKnown
	g.era, g.eraKnown = era, true
	if isFirst {
		return
	}
	g.settleUntil = time.Now().Add(restoreSettleTime)
	g.lease = store.LeaseID{}
	g.forgetOldLocked()
	claims := make(map[string][]byte, len(g.remembered))
	for key, claim := range g.remembered {
		claims[key] = claim.value
	}
	go g.writeAgain(claims)
}

// isSettling reports whether claims may be missing from the store.
func (g *Guard) isSettling() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.settleUntil)
}

// writeAgain writes claims that the store may have lost.
func (g *Guard) writeAgain(claims map[string][]byte) {
	failed := 0
	for key, value := range claims {
		if err := g.restore(key, value); err != nil {
			failed++
			g.Log.Emit(event.ClaimLeftOpen, slog.String("key", key), slog.Any(event.KeyCause, err))
		}
	}
	g.Log.Emit(event.ClaimsRestored, slog.Int("claims", len(claims)), slog.Int("failed", failed))
}

// restore writes a claim, unless the store has it or a later record of the same request.
func (g *Guard) restore(key string, value []byte) error {
	own, err := decodeRecord(value)
	if err != nil {
		return err
	}
	revision := store.Revision(0)
	for range restoreAttempts {
		var lease store.LeaseID
		if lease, err = g.currentLease(context.Background()); err != nil {
			continue
		}
		var result store.Result
		result, err = g.commit(context.Background(), store.Txn{Conditions: []store.Condition{{Key: key, Revision: revision}},
			Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrLeaseGone):
			g.dropLease(lease)
		case errors.Is(err, store.ErrConflict) && len(result.Current) > 0:
			stored, decodeErr := decodeRecord(result.Current[0].Value)
			if decodeErr != nil || stored.Request != own.Request || own.State == running {
				return decodeErr // the store has it, or a request that ran before this one's claim was lost
			}
			revision = result.Current[0].Revision
		}
	}
	return err
}

// dropLease makes the next claim use a new lease.
func (g *Guard) dropLease(lease store.LeaseID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease == lease {
		g.lease = store.LeaseID{}
	}
}
