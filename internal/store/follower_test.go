package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// sink notes what a follower tells.
type sink struct {
	known chan string // values, in the order in which they became known
}

func (s *sink) Reset(items []store.Item, _ store.Silence) {
	for _, item := range items {
		s.known <- string(item.Value)
	}
}

func (s *sink) Apply(events []store.Event, _ store.Silence) {
	for _, e := range events {
		s.known <- string(e.Value)
	}
}

func (s *sink) SetReachable(bool, error) {}

// silentStore is a store whose watches hear nothing: the first breaks, later ones wait.
type silentStore struct {
	*memstore.Store
	watches int
	broken  func() // called before the first watch breaks
}

func (s *silentStore) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Changes, error) {
	s.watches++
	if s.watches == 1 {
		s.broken()
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	<-ctx.Done()
	return store.Changes{}, store.ErrOutcomeUnknown
}

// refusingStore refuses all reads and notes when they came.
type refusingStore struct {
	*memstore.Store
	reads chan struct{}
}

func (s *refusingStore) Read(context.Context, string) (store.Snapshot, error) {
	s.reads <- struct{}{}
	return store.Snapshot{}, store.ErrUnavailable
}

func (s *refusingStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.Read(ctx, prefix)
}

// Guards against paid calls without pause to a store that refuses.
func TestRefusingStoreIsAskedLessOften(t *testing.T) {
	s := &refusingStore{Store: memstore.New(nil), reads: make(chan struct{}, 64)}
	began := time.Now()
	follow(t, s)
	const calls = 4 // 0, 150, 450 and 1,050 ms after the start at the earliest
	for range calls {
		<-s.reads
	}
	qt.Assert(t, time.Since(began) >= 1050*time.Millisecond, qt.IsTrue)
}

// follow runs a follower until the test ends.
func follow(t *testing.T, s store.Store) *sink {
	known := &sink{known: make(chan string, 8)}
	f := &store.Follower{Store: s, Prefix: "a/", MaxWait: time.Hour, Timeout: time.Hour, Sink: known}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return known
}

// Guards against a change that is missed because the store dropped its history and watches stay silent.
func TestChangeDuringASilentWatchIsRead(t *testing.T) {
	s := &silentStore{Store: memstore.New(nil)}
	s.broken = func() { s.Put("a/1", []byte("new")) }
	s.Put("a/1", []byte("old"))
	known := follow(t, s)
	qt.Assert(t, <-known.known, qt.Equals, "old")
	qt.Assert(t, <-known.known, qt.Equals, "new")
}

func TestChangesAreFollowed(t *testing.T) {
	s := memstore.New(nil)
	s.Put("a/1", []byte("1"))
	known := follow(t, s)
	qt.Assert(t, <-known.known, qt.Equals, "1")
	s.Put("b/1", []byte("of another prefix"))
	s.Put("a/2", []byte("2"))
	qt.Assert(t, <-known.known, qt.Equals, "2")
	s.Compact()
	s.Put("a/3", []byte("3"))
	for value := <-known.known; value != "3"; value = <-known.known {
		// after a lost history everything is read once more
	}
}

// brokenStore panics in its first read.
type brokenStore struct {
	*memstore.Store
	reads int
}

func (s *brokenStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.reads++
	if s.reads == 1 {
		panic("a fault of the client")
	}
	return s.Store.Read(ctx, prefix)
}

// Guards against a follower that waits for ever for a call whose code panicked.
func TestFollowerOutlivesAPanicOfACall(t *testing.T) {
	s := &brokenStore{Store: memstore.New(nil)}
	s.Put("a/1", []byte("known"))
	known := follow(t, s)
	qt.Assert(t, <-known.known, qt.Equals, "known")
}
