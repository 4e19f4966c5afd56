package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// KeyRetention is the minimum time that a key is remembered after it was claimed. It is
	// longer than callers keep repeating a request.
	KeyRetention = 9 * time.Minute
	// leaseReuse is how long one lease is used for new claims, since each lease costs a call to
	// the store.
	leaseReuse = time.Minute
	// storeTimeout is far above the few milliseconds that a call to the store usually takes, and
	// short compared with the time that a caller waits.
	storeTimeout = 600 * time.Millisecond
	// claimAttempts is the number of attempts to commit a claim. If the first one got no
	// response, the second tells whether it was applied.
	claimAttempts = 2
	// retryAfter is the time after which callers may try again while the first request runs or
	// the key could not be claimed.
	retryAfter = time.Second
)

// Guard claims idempotency keys before their requests run. It is safe for concurrent use.
type Guard struct {
	Store  store.Store
	Prefix string // prefix of the claims' keys in the store
	Log    *event.Log

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
	// era is the store's era, known from its first answer.
	era         store.Era
	eraKnown    bool
	settleUntil time.Time // no keys are claimed before
	// remembered holds the claims that this router wrote recently, by key, and rememberedOrder their
	// keys in the order of writing.
	remembered      map[string]rememberedClaim
	rememberedOrder []string
	rememberedBytes int
}

// Wrap returns a handler that claims a request's idempotency key, if it has one, before it calls
// serve, and answers repeats from the claim.
func (g *Guard) Wrap(serve forward.ServeFunc) forward.ServeFunc {
	return func(ctx context.Context, r *request.Request, caller forward.Caller) {
		if r.Idempotency == nil || r.Account == nil {
			serve(ctx, r, caller)
			return
		}
		g.serve(ctx, r, caller, serve)
	}
}

// claim is a claim on an idempotency key that this router made.
type claim struct {
	key      string
	revision store.Revision
	lease    store.LeaseID
	record   record
}

func (g *Guard) serve(ctx context.Context, r *request.Request, caller forward.Caller, serve forward.ServeFunc) {
	c, existing, err := g.claim(ctx, r)
	switch {
	case err != nil:
		g.refuse(r, caller, forward.Refusal{Cause: forward.KeyUnclaimed, RetryAfter: retryAfter}, err)
		return
	case existing != nil:
		g.answerRepeat(r, caller, *existing)
		return
	}
	recorded := &recorder{caller: caller}
	serve(ctx, r, recorded)
	g.finishClaim(r, c, recorded)
}

// claim claims the request's key, or returns the record of the request that claimed it before.
func (g *Guard) claim(ctx context.Context, r *request.Request) (claim, *record, error) {
	if g.isSettling() {
		return claim{}, nil, ErrSettling
	}
	lease, err := g.currentLease(ctx)
	if err != nil {
		return claim{}, nil, err
	}
	c := claim{key: g.Prefix + r.Account.Name + "/" + hashKey(r.Idempotency.Key), lease: lease,
		record: record{State: running, Request: r.ID, Hash: r.Idempotency.RequestHash}}
	txn := store.Txn{Conditions: []store.Condition{{Key: c.key}}, Puts: []store.Put{{Key: c.key, Value: c.record.encode(), Lease: lease}}}
	var result store.Result
	for range claimAttempts {
		result, err = g.commit(ctx, txn)
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	if errors.Is(err, store.ErrLeaseGone) {
		g.dropLease(lease)
	}
	switch {
	case err == nil:
		c.revision = result.Revision
		return g.confirm(ctx, c)
	case !errors.Is(err, store.ErrConflict) || len(result.Current) == 0:
		return claim{}, nil, err
	}
	existing, err := decodeRecord(result.Current[0].Value)
	if err != nil {
		return claim{}, nil, err
	}
	if existing.Request == r.ID { // the first attempt got no response but was applied
		c.revision = result.Current[0].Revision
		return g.confirm(ctx, c)
	}
	return claim{}, &existing, nil
}

// confirm remembers a claim that was written. It withdraws the claim if that shows a new era of the store:
// another router's claim of the key may have been lost.
func (g *Guard) confirm(ctx context.Context, c claim) (claim, *record, error) {
	g.ObserveEra(c.revision.Era())
	if !g.isSettling() {
		g.remember(c.key, c.record.encode())
		return c, nil, nil
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: c.key, Revision: c.revision}}, Deletes: []string{c.key}}
	if _, err := g.commit(ctx, txn); err != nil {
		return claim{}, nil, errors.Wrap(err, ErrSettling.Error())
	}
	return claim{}, nil, ErrSettling
}

// currentLease returns a lease that lasts for at least KeyRetention from now.
func (g *Guard) currentLease(ctx context.Context) (store.LeaseID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lease.IsNone() && time.Since(g.grantedAt) < leaseReuse {
		return g.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	grantedAt := time.Now()
	lease, err := g.Store.GrantLease(ctx, KeyRetention+leaseReuse)
	if err != nil {
		return store.LeaseID{}, err
	}
	g.lease, g.grantedAt = lease, grantedAt
	return lease, nil
}

func (g *Guard) commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return g.Store.Commit(ctx, txn)
}

// answerRepeat answers or refuses a request whose key another request has claimed.
func (g *Guard) answerRepeat(r *request.Request, caller forward.Caller, existing record) {
	if existing.Hash != r.Idempotency.RequestHash {
		g.refuse(r, caller, forward.Refusal{Cause: forward.KeyReused, Detail: "the idempotency key was used with another request"}, nil)
		return
	}
	if existing.State != answered {
		refusal := forward.Refusal{Cause: forward.KeyInUse, Detail: "the key's first request is " + string(existing.State)}
		if existing.State == running {
			refusal.RetryAfter = retryAfter
		}
		g.refuse(r, caller, refusal, nil)
		return
	}
	g.Log.Emit(event.RequestReplayed, slog.String(event.KeyRequest, r.ID), slog.String("first", existing.Request),
		slog.String(event.KeyAccount, r.Account.Name))
	_ = caller.Answer(existing.Status, existing.Header, existing.Body) // a caller that has disconnected will repeat the request
}

func (g *Guard) refuse(r *request.Request, caller forward.Caller, refusal forward.Refusal, err error) {
	caller.Refuse(refusal)
	attrs := []slog.Attr{
		slog.String(event.KeyRequest, r.ID),
		slog.String(event.KeyCause, string(refusal.Cause)),
		slog.Bool("not_run", refusal.Cause.NotRun()),
		slog.Int64("ms", time.Since(r.Arrived).Milliseconds()),
		slog.String(event.KeyAccount, r.Account.Name),
	}
	if err != nil {
		attrs = append(attrs, slog.String("last", err.Error()))
	}
	g.Log.Emit(event.RequestRefused, attrs...)
}

// finishClaim writes the outcome of the request into its claim, or removes the claim if a repeat
// may run. A claim that can't be updated stays "running": repeats are refused until its lease
// expires, which is safe.
func (g *Guard) finishClaim(r *request.Request, c claim, recorded *recorder) {
	txn := store.Txn{Conditions: []store.Condition{{Key: c.key, Revision: c.revision}}}
	if mayRunAgain(r, recorded) {
		txn.Deletes = []string{c.key}
		g.forget(c.key)
	} else {
		c.record.State = recorded.outcome()
		if c.record.State == answered {
			c.record.Status, c.record.Header, c.record.Body = recorded.status, recorded.header, recorded.body
		}
		value := c.record.encode()
		txn.Puts = []store.Put{{Key: c.key, Value: value, Lease: c.lease}}
		g.remember(c.key, value)
	}
	// The request's context may be cancelled because the caller has disconnected. Its repeat needs
	// the answer nevertheless.
	_, err := g.commit(context.Background(), txn)
	if err != nil && len(txn.Puts) > 0 && g.isSettling() {
		err = g.restore(c.key, txn.Puts[0].Value) // the claim has another revision or lease now, or is gone
	}
	if err != nil {
		g.Log.Emit(event.ClaimLeftOpen, slog.String(event.KeyRequest, r.ID), slog.String(event.KeyAccount, r.Account.Name),
			slog.Any(event.KeyCause, err))
	}
}

// mayRunAgain reports whether a repeat may run: the request certainly did not run, or it may run
// more than once and did not produce a complete answer.
func mayRunAgain(r *request.Request, recorded *recorder) bool {
	if recorded.refusal != nil && recorded.refusal.Cause.NotRun() {
		return true
	}
	return recorded.outcome() == outcomeUnknown && r.Route != nil && r.Route.Retryable()
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
