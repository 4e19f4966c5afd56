// Package memkv is an in-process platform.KV whose faults are set at run time:
// outages, delays, lost answers and rate limits. Tests and the development
// program use it directly, and the stand-in platform serves it over HTTP.
package memkv

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// entry is one key that exists.
type entry struct {
	data     []byte
	revision platform.Revision
	lease    platform.LeaseID
}

// Store implements platform.KV. It is safe for concurrent use.
//
// Revisions are counted over the whole store, as etcd does: each change gets a
// higher one than all before it, whatever its key. An empty store is at 1.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	revision platform.Revision
	entries  map[string]entry
	// deleted holds the revision of the last deletion of each missing key, so
	// that a watch that opens late still learns of it.
	deleted  map[string]platform.Revision
	leases   map[platform.LeaseID]*lease
	lastID   platform.LeaseID
	watchers map[string]map[*watcher]struct{}
	faults   Faults
	writes   limiter
	reads    limiter
	counts   Counts
}

var _ platform.KV = (*Store)(nil)

// New makes an empty store. Leases and rate limits follow the clock now; nil
// means time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:      now,
		revision: 1,
		entries:  make(map[string]entry),
		deleted:  make(map[string]platform.Revision),
		leases:   make(map[platform.LeaseID]*lease),
		watchers: make(map[string]map[*watcher]struct{}),
	}
}

// SetFaults replaces the faults. An outage ends all watches at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writes.set(f.WritesPerSecond)
	s.reads.set(f.ReadsPerSecond)
	if f.Outage {
		s.endWatches()
	}
}

// Faults returns the faults in force. LoseAnswers is what is left of it.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the counters as they are now.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLeases()
	c := s.counts
	for _, watchers := range s.watchers {
		c.WatchesWaiting += int64(len(watchers))
	}
	for _, e := range s.entries {
		c.BytesHeld += int64(len(e.data))
	}
	c.LeasesHeld = int64(len(s.leases))
	c.Keys = int64(len(s.entries))
	return c
}

// Revision returns the store's latest revision.
func (s *Store) Revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := s.begin(ctx, &s.counts.Gets, &s.reads); err != nil {
		return platform.Value{}, err
	}
	defer s.mu.Unlock()
	return s.current(key), nil
}

// CAS implements platform.KV.
func (s *Store) CAS(
	ctx context.Context, key string, expect platform.Revision, data []byte, id platform.LeaseID,
) (platform.Value, error) {
	if err := s.begin(ctx, &s.counts.CASes, &s.writes); err != nil {
		return platform.Value{}, err
	}
	defer s.mu.Unlock()
	if len(data) > platform.MaxValueBytes {
		return platform.Value{}, errors.Wrapf(platform.ErrValueTooLarge, "memkv: cas %q with %d bytes", key, len(data))
	}
	if s.entries[key].revision != expect {
		s.counts.Conflicts++
		return s.current(key), errors.Wrapf(platform.ErrConflict, "memkv: cas %q", key)
	}
	if id != 0 && s.leases[id] == nil {
		return platform.Value{}, errors.Wrapf(platform.ErrLeaseNotFound, "memkv: cas %q with lease %d", key, id)
	}
	s.put(key, data, id)
	if err := s.loseAnswer(); err != nil {
		return platform.Value{}, err
	}
	return s.current(key), nil
}

// Delete implements platform.KV. Deleting a missing key at revision zero
// succeeds and changes nothing.
func (s *Store) Delete(ctx context.Context, key string, expect platform.Revision) error {
	_, err := s.CompareAndDelete(ctx, key, expect)
	return err
}

// CompareAndDelete is Delete which on platform.ErrConflict also returns the
// current Value.
func (s *Store) CompareAndDelete(
	ctx context.Context, key string, expect platform.Revision,
) (platform.Value, error) {
	if err := s.begin(ctx, &s.counts.Deletes, &s.writes); err != nil {
		return platform.Value{}, err
	}
	defer s.mu.Unlock()
	e, found := s.entries[key]
	if e.revision != expect {
		s.counts.Conflicts++
		return s.current(key), errors.Wrapf(platform.ErrConflict, "memkv: delete %q", key)
	}
	if !found {
		return platform.Value{Key: key}, nil
	}
	s.remove(key)
	return platform.Value{Key: key}, s.loseAnswer()
}

// begin counts a call and applies the faults that come before its effect. On
// success it returns with s.mu held.
func (s *Store) begin(ctx context.Context, calls *int64, limit *limiter) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	*calls++
	if s.faults.Outage {
		s.counts.Unavailable++
		s.mu.Unlock()
		return errors.Wrap(platform.ErrUnavailable, "memkv: outage")
	}
	if !limit.allow(s.now()) {
		s.counts.RateLimited++
		s.mu.Unlock()
		return errors.Wrapf(platform.ErrRateLimited, "memkv: over %g calls/s", limit.perSecond)
	}
	s.lapseLeases()
	return nil
}

// wait lets the delay pass. A call whose context ends meanwhile has had no effect.
func (s *Store) wait(ctx context.Context) error {
	delay := s.Faults().Delay
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(platform.ErrUnavailable, "memkv: %v", err)
	}
	return nil
}

// loseAnswer returns platform.ErrOutcomeUnknown if this write's answer is to
// be lost.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers <= 0 {
		return nil
	}
	s.faults.LoseAnswers--
	s.counts.AnswersLost++
	return errors.Wrap(platform.ErrOutcomeUnknown, "memkv: answer lost")
}

// current returns a copy of a key's value.
func (s *Store) current(key string) platform.Value {
	e, found := s.entries[key]
	if !found {
		return platform.Value{Key: key}
	}
	return platform.Value{Key: key, Data: bytes.Clone(e.data), Revision: e.revision}
}

func (s *Store) put(key string, data []byte, id platform.LeaseID) {
	s.detach(key)
	s.revision++
	s.entries[key] = entry{data: bytes.Clone(data), revision: s.revision, lease: id}
	delete(s.deleted, key)
	if id != 0 {
		s.leases[id].keys[key] = struct{}{}
	}
	s.notify(key)
}

func (s *Store) remove(key string) {
	s.detach(key)
	s.revision++
	delete(s.entries, key)
	s.deleted[key] = s.revision
	s.notify(key)
}

// detach takes a key off the lease that it was last written with.
func (s *Store) detach(key string) {
	if l := s.leases[s.entries[key].lease]; l != nil {
		delete(l.keys, key)
	}
}
