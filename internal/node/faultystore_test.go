package node

import (
	"context"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// faultyStore is the store as seen over one router's link, with faults that the test injects. A
// call that gets no answer blocks until its context ends.
type faultyStore struct {
	*memstore.Store
	mu          sync.Mutex
	partitioned bool
	watchesHang bool          // watches get no answer, as if their connections were dead
	rtt         time.Duration // round-trip time if longer than defaultRTT
	readsHang   bool          // the response to a read is too long for the link
	refused     string        // calls for this prefix are refused; empty: none
	lastArrival time.Time     // of the packet that arrives last: packets don't overtake each other
	calls       int
}

func (s *faultyStore) set(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
}

// send simulates the transmission of a request to the store. It blocks until ctx ends if the
// request is lost.
func (s *faultyStore) send(ctx context.Context, watch bool) error {
	s.mu.Lock()
	lost := s.partitioned || watch && s.watchesHang || !watch && s.readsHang
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return s.transmit(ctx)
}

// transmit waits until a packet that is sent now has arrived, behind those sent before.
func (s *faultyStore) transmit(ctx context.Context) error {
	s.mu.Lock()
	now := time.Now()
	arrival := now.Add(max(s.rtt, defaultRTT) / 2)
	if arrival.Before(s.lastArrival) {
		arrival = s.lastArrival
	}
	s.lastArrival = arrival
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	case <-time.After(arrival.Sub(now)):
		return nil
	}
}

func (s *faultyStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.set(func() { s.calls++ })
	if err := s.send(ctx, false); err != nil {
		return store.Snapshot{}, err
	}
	if s.isRefused(prefix) {
		return store.Snapshot{}, store.ErrUnavailable
	}
	snapshot, err := s.Store.Read(ctx, prefix)
	if err != nil {
		return snapshot, err
	}
	return snapshot, s.reply(ctx)
}

func (s *faultyStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.connect(ctx); err != nil {
		return store.Snapshot{}, err
	}
	return s.Read(ctx, prefix)
}

// watch executes a watch that has reached the store.
func (s *faultyStore) watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if s.isRefused(prefix) {
		return store.Changes{}, store.ErrUnavailable
	}
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return changes, err
	}
	return changes, s.reply(ctx)
}

func (s *faultyStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if err := s.connect(ctx); err != nil {
		return store.Changes{}, err
	}
	s.set(func() { s.calls++ })
	if err := s.reply(ctx); err != nil {
		return store.Changes{}, err
	}
	return s.watch(ctx, prefix, after, wait)
}

// connect simulates opening a TCP connection: the first packet is retransmitted after one
// second, then with exponential backoff.
func (s *faultyStore) connect(ctx context.Context) error {
	for retransmitAfter := time.Second; ; retransmitAfter *= 2 {
		s.mu.Lock()
		lost := s.partitioned
		s.mu.Unlock()
		if !lost {
			if s.transmit(ctx) != nil || s.reply(ctx) != nil {
				return store.ErrUnavailable
			}
			store.ReportConnected(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return store.ErrUnavailable
		case <-time.After(retransmitAfter):
		}
	}
}

// isRefused reports whether the store refuses calls for the prefix.
func (s *faultyStore) isRefused(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused == prefix
}

// reply simulates the transmission of a response from the store.
func (s *faultyStore) reply(ctx context.Context) error {
	return s.transmit(ctx)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	s.set(func() { s.calls++ })
	if err := s.send(ctx, true); err != nil {
		return store.Changes{}, err
	}
	return s.watch(ctx, prefix, after, wait)
}
