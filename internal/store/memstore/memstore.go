// Package memstore implements store.Store in memory and can inject faults at run time:
// outages, lost responses, delayed writes, a compacted history and the loss of recent writes. It
// replaces the platform's store in tests and trials.
package memstore

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Outcome determines what happens to a transaction.
type Outcome int

// Outcomes of transactions.
const (
	// Answered means that the transaction is executed and answered.
	Answered Outcome = iota
	// ResponseLost means that the transaction is executed but its response is lost.
	ResponseLost
	// Delayed means that there is no response and the transaction is executed at the next
	// ApplyDelayed, if its conditions still hold then.
	Delayed
	// Dropped means that the transaction is neither executed nor answered.
	Dropped
)

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	era      store.Era
	revision store.Revision // in the present era
	items    map[string]store.Item
	history  []store.Event
	// compacted is the revision up to which the history has been discarded.
	compacted store.Revision
	leases    map[int64]*lease // by number
	lastLease int64
	changed   chan struct{} // closed and replaced at each change
	down      bool
	outcome   func(store.Txn) Outcome
	delayed   []store.Txn
	calls     int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ store.Store = (*Store)(nil)

// New returns an empty store. now is the clock for leases; nil means time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{now: now, revision: 1, items: make(map[string]store.Item), leases: make(map[int64]*lease),
		changed: make(chan struct{}), outcome: func(store.Txn) Outcome { return Answered }}
}

// SetDown begins or ends an outage. Waiting watches fail when one begins.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetOutcome sets the function that determines the outcome of each later transaction.
func (s *Store) SetOutcome(outcome func(store.Txn) Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcome = outcome
}

// ApplyDelayed executes the delayed transactions whose conditions still hold, in order.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delayed
	s.delayed = nil
	for _, txn := range delayed {
		if _, err := s.apply(txn); err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrLeaseGone) {
			panic(err) // apply returns no other error
		}
	}
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notify()
}

// Era returns the present era.
func (s *Store) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key without conditions, as an operator or a backend server does.
func (s *Store) Put(key string, value []byte) store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(store.Put{Key: key, Value: value})
}

// Delete deletes a key without conditions.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// Copy is a copy of a store's content, from which it can be restored.
type Copy struct {
	number    int64 // of the revision
	items     map[string]store.Item
	leases    map[int64]time.Duration // ttl by number
	lastLease int64
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{number: s.revision.Number(), items: maps.Clone(s.items), leases: make(map[int64]time.Duration), lastLease: s.lastLease}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the content by a copy and begins a new era, as a store does that has lost all
// later writes: revisions and leases go back and their numbers are given out again. The leases of
// the copy run anew, and its history is gone.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.lastLease = store.NewRevision(s.era, c.number), make(map[string]store.Item), c.lastLease
	for key, item := range c.items {
		item.Revision = store.NewRevision(s.era, item.Revision.Number())
		s.items[key] = item
	}
	s.history, s.compacted = nil, s.revision
	s.leases = make(map[int64]*lease)
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	}
	s.notify()
}

// startCall counts a call and expires leases. It fails during an outage.
func (s *Store) startCall() error {
	s.calls++
	if s.down {
		return store.ErrUnavailable
	}
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.revoke(id)
		}
	}
	return nil
}

// Read implements store.Store.
func (s *Store) Read(_ context.Context, prefix string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return store.Snapshot{}, err
	}
	snapshot := store.Snapshot{At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	sort.Slice(snapshot.Items, func(i, j int) bool { return snapshot.Items[i].Key < snapshot.Items[j].Key })
	return snapshot, nil
}

// WatchNewConn implements store.Store.
func (s *Store) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return s.Watch(ctx, prefix, after, wait)
}

// ReadNewConn implements store.Store.
func (s *Store) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.Read(ctx, prefix)
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := s.changesSince(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return store.Changes{}, store.ErrOutcomeUnknown
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

func (s *Store) changesSince(prefix string, after store.Revision) (store.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return store.Changes{}, nil, err
	}
	if after < s.compacted || after.Era() != s.era || after > s.revision {
		return store.Changes{}, nil, store.ErrCompacted
	}
	changes := store.Changes{At: s.revision}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, s.changed, nil
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, txn store.Txn) (store.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return store.Result{}, err
	}
	switch s.outcome(txn) {
	case ResponseLost:
		if _, err := s.apply(txn); err != nil {
			return store.Result{}, store.ErrOutcomeUnknown
		}
		return store.Result{}, store.ErrOutcomeUnknown
	case Delayed:
		s.delayed = append(s.delayed, txn)
		return store.Result{}, store.ErrOutcomeUnknown
	case Dropped:
		return store.Result{}, store.ErrOutcomeUnknown
	}
	return s.apply(txn)
}

func (s *Store) apply(txn store.Txn) (store.Result, error) {
	satisfied := true
	result := store.Result{}
	for _, cond := range txn.Conditions {
		item, found := s.items[cond.Key]
		if found {
			result.Current = append(result.Current, item)
		}
		satisfied = satisfied && item.Revision.Number() == cond.Revision.Number()
	}
	if !satisfied {
		return result, store.ErrConflict
	}
	for _, p := range txn.Puts {
		if !p.Lease.IsNone() && s.leases[p.Lease.Number] == nil {
			return store.Result{}, store.ErrLeaseGone
		}
	}
	for _, p := range txn.Puts {
		s.write(p)
	}
	for _, key := range txn.Deletes {
		s.delete(key)
	}
	// All writes of a transaction get the same revision.
	for _, p := range txn.Puts {
		item := s.items[p.Key]
		item.Revision = s.revision
		s.items[p.Key] = item
	}
	return store.Result{Revision: s.revision}, nil
}

func (s *Store) write(p store.Put) store.Revision {
	s.revision++
	item := store.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease.Number}
	s.items[p.Key] = item
	s.history = append(s.history, store.Event{Item: item})
	s.notify()
	return s.revision
}

func (s *Store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return store.LeaseID{}, err
	}
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return store.LeaseID{Era: s.era, Number: s.lastLease}, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	l := s.leases[id.Number]
	if l == nil || id.Era != s.era {
		return store.ErrLeaseGone
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	if id.Era != s.era {
		return store.ErrLeaseGone
	}
	s.revoke(id.Number)
	return nil
}

func (s *Store) revoke(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.delete(key)
		}
	}
}
