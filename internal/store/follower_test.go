package store_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// channelSink sends the values of a follower to a channel.
type channelSink struct {
	values chan string // in the order of arrival
}

func (s *channelSink) Reset(items []store.Item, _ store.Silence) {
	for _, item := range items {
		s.values <- string(item.Value)
	}
}

func (s *channelSink) Apply(events []store.Event, _ store.Silence) {
	for _, e := range events {
		s.values <- string(e.Value)
	}
}

func (s *channelSink) SetReachable(bool, error) {}

// hangingStore is a store whose watches return no changes: the first fails, later ones hang.
type hangingStore struct {
	*memstore.Store
	watches      int
	onFirstWatch func() // called before the first watch fails
}

func (s *hangingStore) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Changes, error) {
	s.watches++
	if s.watches == 1 {
		s.onFirstWatch()
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	<-ctx.Done()
	return store.Changes{}, store.ErrOutcomeUnknown
}

// refusingStore refuses all reads and signals each one on a channel.
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

// Guards against paid calls in quick succession to a store that refuses them.
func TestRefusingStoreIsCalledWithBackoff(t *testing.T) {
	s := &refusingStore{Store: memstore.New(nil), reads: make(chan struct{}, 64)}
	start := time.Now()
	startFollower(t, s)
	const calls = 4 // 0, 150, 450 and 1,050 ms after the start at the earliest
	for range calls {
		<-s.reads
	}
	qt.Assert(t, time.Since(start) >= 1050*time.Millisecond, qt.IsTrue)
}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, s store.Store) *channelSink {
	sink := &channelSink{values: make(chan string, 8)}
	f := &store.Follower{Store: s, Prefix: "a/", MaxWait: time.Hour, Timeout: time.Hour, Sink: sink}
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
	return sink
}

// Guards against a change that is missed because the store dropped its history and watches stay unanswered.
func TestChangeIsReadAfterFailedWatch(t *testing.T) {
	s := &hangingStore{Store: memstore.New(nil)}
	s.onFirstWatch = func() { s.Put("a/1", []byte("new")) }
	s.Put("a/1", []byte("old"))
	sink := startFollower(t, s)
	qt.Assert(t, <-sink.values, qt.Equals, "old")
	qt.Assert(t, <-sink.values, qt.Equals, "new")
}

func TestFollowerReportsChanges(t *testing.T) {
	s := memstore.New(nil)
	s.Put("a/1", []byte("1"))
	sink := startFollower(t, s)
	qt.Assert(t, <-sink.values, qt.Equals, "1")
	s.Put("b/1", []byte("of another prefix"))
	s.Put("a/2", []byte("2"))
	qt.Assert(t, <-sink.values, qt.Equals, "2")
	s.Compact()
	s.Put("a/3", []byte("3"))
	for value := <-sink.values; value != "3"; value = <-sink.values {
		// after the history is lost, everything is read again
	}
}

// panickingStore panics in its first read.
type panickingStore struct {
	*memstore.Store
	reads int
}

func (s *panickingStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.reads++
	if s.reads == 1 {
		panic("a fault of the client")
	}
	return s.Store.Read(ctx, prefix)
}

// Guards against a follower that waits forever for a call whose code panicked.
func TestFollowerSurvivesPanickingCall(t *testing.T) {
	s := &panickingStore{Store: memstore.New(nil)}
	s.Put("a/1", []byte("known"))
	sink := startFollower(t, s)
	qt.Assert(t, <-sink.values, qt.Equals, "known")
}
