package memkv

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// lease is a lease that has not lapsed.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// GrantLease implements platform.KV.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.begin(ctx, &s.counts.LeaseGrants, &s.writes); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, expires: s.now().Add(ttl), keys: make(map[string]struct{})}
	if err := s.loseAnswer(); err != nil {
		return 0, err
	}
	return s.lastID, nil
}

// KeepAlive implements platform.KV.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, &s.counts.KeepAlives, &s.writes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return errors.Wrapf(platform.ErrLeaseNotFound, "memkv: keep alive %d", id)
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

// LeaseTTL returns the time to live with which a lease was granted, or zero if
// there is no such lease. It counts as no call.
func (s *Store) LeaseTTL(id platform.LeaseID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLeases()
	if l := s.leases[id]; l != nil {
		return l.ttl
	}
	return 0
}

// Tick ends the leases that have lapsed by the store's clock. Every call does
// so too; Tick is for a store that only watches wait on.
func (s *Store) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLeases()
}

// lapseLeases removes each lease past its time with the keys written under it.
// Leases lapse during an outage as well, in which holders can't renew them.
// The order is fixed so that revisions are the same in each run of a test.
func (s *Store) lapseLeases() {
	if len(s.leases) == 0 {
		return
	}
	now := s.now()
	var lapsed []platform.LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			lapsed = append(lapsed, id)
		}
	}
	slices.Sort(lapsed)
	for _, id := range lapsed {
		for _, key := range slices.Sorted(maps.Keys(s.leases[id].keys)) {
			s.remove(key)
		}
		delete(s.leases, id)
		s.counts.LeasesGone++
	}
}
