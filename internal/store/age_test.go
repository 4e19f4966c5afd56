package store_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// callBehavior determines the outcome of one call over an open connection or to another router.
type callBehavior struct {
	hangs    bool // never answered
	fails    bool // fails after duration
	duration time.Duration
}

// drawCalls draws the behavior of calls, in order. Calls beyond the list are answered at once.
func drawCalls(t *rapid.T, label string) *callScript {
	draw := rapid.Custom(func(t *rapid.T) callBehavior {
		kind := rapid.IntRange(0, 3).Draw(t, "kind")
		duration := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		return callBehavior{hangs: kind == 0, fails: kind == 1, duration: duration}
	})
	return &callScript{calls: rapid.SliceOfN(draw, 0, 40).Draw(t, label)}
}

type callScript struct {
	mu    sync.Mutex
	calls []callBehavior
}

// next runs the next call of the script and reports whether it succeeds.
func (s *callScript) next(ctx context.Context) bool {
	s.mu.Lock()
	call := callBehavior{}
	if len(s.calls) > 0 {
		call, s.calls = s.calls[0], s.calls[1:]
	}
	s.mu.Unlock()
	duration := call.duration
	if call.hangs {
		duration = time.Hour
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return !call.hangs && !call.fails
	}
}

// scriptedStore answers calls over new connections within a round trip; calls over open
// connections follow a script.
type scriptedStore struct {
	*memstore.Store
	open *callScript
}

const roundTrip = 5 * time.Millisecond

func (s scriptedStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	time.Sleep(roundTrip)
	return s.Store.Read(ctx, prefix)
}

func (s scriptedStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	time.Sleep(roundTrip)
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s scriptedStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	if !s.open.next(ctx) {
		return store.Snapshot{}, store.ErrOutcomeUnknown
	}
	return s.Store.Read(ctx, prefix)
}

func (s scriptedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if !s.open.next(ctx) {
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// scriptedRelay reads another follower's feed; its calls follow a script and time out.
type scriptedRelay struct {
	feed  *store.Feed
	calls *callScript
}

const relayTimeout = 750 * time.Millisecond

func (r scriptedRelay) Active() bool { return true }

func (r scriptedRelay) WatchAny(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	return r.Watch(ctx, prefix, after)
}

func (r scriptedRelay) Read(ctx context.Context, _ string, after store.Revision) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if !r.calls.next(ctx) {
		return store.Snapshot{}, store.ErrNoFeed
	}
	return r.feed.Read(after)
}

func (r scriptedRelay) Watch(ctx context.Context, _ string, after store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if !r.calls.next(ctx) {
		return store.Changes{}, store.ErrNoFeed
	}
	return r.feed.Watch(ctx, after, 500*time.Millisecond)
}

// valueSink is a sink that keeps the last value.
type valueSink struct {
	mu    sync.Mutex
	value string
}

func (s *valueSink) Reset(items []store.Item, _ store.Silence) {
	for _, item := range items {
		s.set(item)
	}
}

func (s *valueSink) Apply(events []store.Event, _ store.Silence) {
	for _, e := range events {
		s.set(e.Item)
	}
}

func (s *valueSink) SetReachable(bool, error) {}

func (s *valueSink) set(item store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = string(item.Value)
}

func (s *valueSink) get() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Guards against stale data while calls over open connections or to another router hang, fail or are slow.
func TestDataAgeIsBoundedDespiteFailingCalls(t *testing.T) {
	const (
		checkAfter        = 1400 * time.Millisecond
		relayedCheckDelay = 150 * time.Millisecond // of the follower after the store reader
		bound             = checkAfter + relayedCheckDelay + 2*roundTrip
	)
	rapid.Check(t, func(rt *rapid.T) {
		readerCalls, followerCalls, relayCalls := drawCalls(rt, "reader's calls"), drawCalls(rt, "follower's calls"), drawCalls(rt, "relay's calls")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 8).Draw(rt, "ms between changes")
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := memstore.New(nil)
			s.Put("a/x", []byte("0"))
			feed := &store.Feed{}
			sinks := map[string]*valueSink{"reader": {}, "follower": {}}
			base := store.Follower{Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond, Burst: 4,
				Timeout: 500 * time.Millisecond, CheckAfter: checkAfter, AskAny: true}
			reader, follower := base, base
			reader.Store, reader.Feed, reader.Sink = scriptedStore{s, readerCalls}, feed, sinks["reader"]
			follower.Store, follower.Relay, follower.Sink = scriptedStore{s, followerCalls}, scriptedRelay{feed, relayCalls}, sinks["follower"]
			ctx, cancel := context.WithCancel(t.Context())
			var wg conc.WaitGroup
			wg.Go(func() { reader.Run(ctx) })
			wg.Go(func() { follower.Run(ctx) })
			time.Sleep(bound)
			for i, pause := range pauses {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				value := fmt.Sprint(i)
				s.Put("a/x", []byte(value))
				time.Sleep(bound)
				for name, sink := range sinks {
					c.Check(sink.get(), qt.Equals, value, qt.Commentf("%s, change %d", name, i))
				}
			}
			cancel()
			wg.Wait()
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// unreachableStore never answers.
type unreachableStore struct{ store.Store }

func (unreachableStore) Read(ctx context.Context, _ string) (store.Snapshot, error) {
	<-ctx.Done()
	return store.Snapshot{}, store.ErrOutcomeUnknown
}

func (s unreachableStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.Read(ctx, prefix)
}

func (s unreachableStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return s.Watch(ctx, prefix, after, wait)
}

func (s unreachableStore) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, store.ErrOutcomeUnknown
}

// Guards against a router that can't reach the store and doesn't resume following another router that is reachable again.
func TestPartitionedRouterFollowsPeersAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		relayCalls := drawCalls(rt, "relay's calls")
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(nil)
			s.Put("a/x", []byte("0"))
			feed, sink := &store.Feed{}, &valueSink{}
			reader := store.Follower{Store: s, Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond,
				Timeout: 500 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: &valueSink{}, Feed: feed}
			follower := reader
			follower.Store, follower.Relay, follower.Feed, follower.Sink = unreachableStore{s}, scriptedRelay{feed, relayCalls}, nil, sink
			ctx, cancel := context.WithCancel(t.Context())
			var wg conc.WaitGroup
			wg.Go(func() { reader.Run(ctx) })
			wg.Go(func() { follower.Run(ctx) })
			time.Sleep(time.Minute) // until all scripted calls are made
			s.Put("a/x", []byte("1"))
			time.Sleep(300 * time.Millisecond) // longer than the pauses of both routers
			qt.Check(t, sink.get(), qt.Equals, "1")
			cancel()
			wg.Wait()
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}
