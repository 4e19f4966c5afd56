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

// Times of claims.
const (
	// KeyRetention is how long a key is remembered at least after its request: longer than
	// callers go on repeating one.
	KeyRetention = 9 * time.Minute
	// leaseUse is how long one lease serves for new claims; each costs a call.
	leaseUse = time.Minute
	// callTimeout is far above the store's usual few milliseconds, and short beside
	// the time a caller waits.
	callTimeout = 600 * time.Millisecond
	// claimTries: a second try tells whether the first, unanswered one has landed.
	claimTries = 2
	// repeatAfter is when another try makes sense while the first request runs.
	repeatAfter = time.Second
)

// Guard claims keys before requests run. It is safe for concurrent use.
type Guard struct {
	Store  store.Store
	Prefix string // of the claims' keys
	Log    *event.Log

	mu      sync.Mutex
	lease   store.LeaseID
	granted time.Time
}

// Wrap makes requests with an idempotency key run once.
func (g *Guard) Wrap(serve forward.ServeFunc) forward.ServeFunc {
	return func(ctx context.Context, r *request.Request, caller forward.Caller) {
		if r.Idempotency == nil || r.Account == nil {
			serve(ctx, r, caller)
			return
		}
		g.serve(ctx, r, caller, serve)
	}
}

// claim is one that this router holds.
type claim struct {
	key      string
	revision store.Revision
	lease    store.LeaseID
	record   record
}

func (g *Guard) serve(ctx context.Context, r *request.Request, caller forward.Caller, serve forward.ServeFunc) {
	c, earlier, err := g.claim(ctx, r)
	switch {
	case err != nil:
		g.refuse(r, caller, forward.Refusal{Cause: forward.KeyUnclaimed, RetryAfter: repeatAfter}, err)
		return
	case earlier != nil:
		g.repeat(r, caller, *earlier)
		return
	}
	recorded := &recorder{caller: caller}
	serve(ctx, r, recorded)
	g.conclude(r, c, recorded)
}

// claim takes the key, or returns the record of the request that has it.
func (g *Guard) claim(ctx context.Context, r *request.Request) (claim, *record, error) {
	lease, err := g.currentLease(ctx)
	if err != nil {
		return claim{}, nil, err
	}
	c := claim{key: g.Prefix + r.Account.Name + "/" + hashKey(r.Idempotency.Key), lease: lease,
		record: record{State: running, Request: r.ID, Hash: r.Idempotency.RequestHash}}
	txn := store.Txn{Conditions: []store.Condition{{Key: c.key}}, Puts: []store.Put{{Key: c.key, Value: c.record.encode(), Lease: lease}}}
	var result store.Result
	for range claimTries {
		result, err = g.commit(ctx, txn)
		if !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
	}
	switch {
	case err == nil:
		c.revision = result.Revision
		return c, nil, nil
	case !errors.Is(err, store.ErrConflict) || len(result.Current) == 0:
		return claim{}, nil, err
	}
	held, err := decodeRecord(result.Current[0].Value)
	if err != nil {
		return claim{}, nil, err
	}
	if held.Request == r.ID { // the unanswered try has landed
		c.revision = result.Current[0].Revision
		return c, nil, nil
	}
	return claim{}, &held, nil
}

// currentLease is a lease that outlives a claim made now by Keep.
func (g *Guard) currentLease(ctx context.Context) (store.LeaseID, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease != 0 && time.Since(g.granted) < leaseUse {
		return g.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted := time.Now()
	lease, err := g.Store.GrantLease(ctx, KeyRetention+leaseUse)
	if err != nil {
		return 0, err
	}
	g.lease, g.granted = lease, granted
	return lease, nil
}

func (g *Guard) commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.Store.Commit(ctx, txn)
}

// repeat answers a request whose key another one has.
func (g *Guard) repeat(r *request.Request, caller forward.Caller, held record) {
	if held.Hash != r.Idempotency.RequestHash {
		g.refuse(r, caller, forward.Refusal{Cause: forward.KeyReused, Detail: "the idempotency key was used with another request"}, nil)
		return
	}
	if held.State != answered {
		refusal := forward.Refusal{Cause: forward.KeyInUse, Detail: "the key's first request is " + string(held.State)}
		if held.State == running {
			refusal.RetryAfter = repeatAfter
		}
		g.refuse(r, caller, refusal, nil)
		return
	}
	g.Log.Emit(event.RequestReplayed, slog.String(event.KeyRequest, r.ID), slog.String("first", held.Request),
		slog.String(event.KeyAccount, r.Account.Name))
	_ = caller.Answer(held.Status, held.Header, held.Body) // a caller that has left asks again
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

// conclude writes what became of the request into its claim, or gives the key free
// where a repeat may run. A claim whose end can't be written stays "running": its
// repeats are refused until it lapses, which is safe.
func (g *Guard) conclude(r *request.Request, c claim, recorded *recorder) {
	txn := store.Txn{Conditions: []store.Condition{{Key: c.key, Revision: c.revision}}}
	if mayRunAgain(r, recorded) {
		txn.Deletes = []string{c.key}
	} else {
		c.record.State = recorded.outcome()
		if c.record.State == answered {
			c.record.Status, c.record.Header, c.record.Body = recorded.status, recorded.header, recorded.body
		}
		txn.Puts = []store.Put{{Key: c.key, Value: c.record.encode(), Lease: c.lease}}
	}
	// The caller may have left; its repeat needs the answer all the same.
	if _, err := g.commit(context.Background(), txn); err != nil {
		g.Log.Emit(event.ClaimOpen, slog.String(event.KeyRequest, r.ID), slog.String(event.KeyAccount, r.Account.Name),
			slog.Any(event.KeyCause, err))
	}
}

// mayRunAgain says whether a repeat may run: the request surely has not, or it may
// run more than once and brought no whole answer.
func mayRunAgain(r *request.Request, recorded *recorder) bool {
	if recorded.refused != nil && recorded.refused.Cause.NotRun() {
		return true
	}
	return recorded.outcome() == unclear && r.Route != nil && r.Route.Retryable()
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
