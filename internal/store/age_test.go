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

// fate is what becomes of one call over an open connection, or to another router.
type fate struct {
	Hangs bool // it is never answered
	Fails bool // it breaks after Takes
	Takes time.Duration
}

// drawFates draws what becomes of calls, in their order; later ones are answered at once.
func drawFates(t *rapid.T, label string) *fates {
	draw := rapid.Custom(func(t *rapid.T) fate {
		kind := rapid.IntRange(0, 3).Draw(t, "kind")
		takes := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		return fate{Hangs: kind == 0, Fails: kind == 1, Takes: takes}
	})
	return &fates{list: rapid.SliceOfN(draw, 0, 40).Draw(t, label)}
}

type fates struct {
	mu   sync.Mutex
	list []fate
}

// meet lets one call have its fate; it returns whether the call goes through.
func (f *fates) meet(ctx context.Context) bool {
	f.mu.Lock()
	next := fate{}
	if len(f.list) > 0 {
		next, f.list = f.list[0], f.list[1:]
	}
	f.mu.Unlock()
	takes := next.Takes
	if next.Hangs {
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(takes):
		return !next.Hangs && !next.Fails
	}
}

// fatedStore answers new calls within a round trip; those over open connections meet fates.
type fatedStore struct {
	*memstore.Store
	open *fates
}

const roundTrip = 5 * time.Millisecond

func (s fatedStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	time.Sleep(roundTrip)
	return s.Store.Read(ctx, prefix)
}

func (s fatedStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	time.Sleep(roundTrip)
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s fatedStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	if !s.open.meet(ctx) {
		return store.Snapshot{}, store.ErrOutcomeUnknown
	}
	return s.Store.Read(ctx, prefix)
}

func (s fatedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if !s.open.meet(ctx) {
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// fatedRelay reads another follower's feed; its calls meet fates and time out.
type fatedRelay struct {
	feed  *store.Feed
	calls *fates
}

const relayTimeout = 750 * time.Millisecond

func (r fatedRelay) Active() bool { return true }

func (r fatedRelay) Read(ctx context.Context, _ string, after store.Revision) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if !r.calls.meet(ctx) {
		return store.Snapshot{}, store.ErrNoFeed
	}
	return r.feed.Read(after)
}

func (r fatedRelay) Watch(ctx context.Context, _ string, after store.Revision) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if !r.calls.meet(ctx) {
		return store.Changes{}, store.ErrNoFeed
	}
	return r.feed.Watch(ctx, after, 500*time.Millisecond)
}

// lastValue is a sink that keeps the value known last.
type lastValue struct {
	mu    sync.Mutex
	value string
}

func (l *lastValue) Reset(items []store.Item, _ store.Silence) {
	for _, item := range items {
		l.put(item)
	}
}

func (l *lastValue) Apply(events []store.Event, _ store.Silence) {
	for _, e := range events {
		l.put(e.Item)
	}
}

func (l *lastValue) SetReachable(bool, error) {}

func (l *lastValue) put(item store.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = string(item.Value)
}

func (l *lastValue) known() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value
}

// Guards against old knowledge while calls over open connections and to another router hang, break or take long.
func TestAgeOfKnowledgeIsBoundedWhateverCallsTake(t *testing.T) {
	const (
		checkAfter = 1400 * time.Millisecond
		lead       = 150 * time.Millisecond // of the one that reads, over the one that follows
		bound      = checkAfter + lead + 2*roundTrip
	)
	rapid.Check(t, func(rt *rapid.T) {
		readers, followers, others := drawFates(rt, "reader's calls"), drawFates(rt, "follower's calls"), drawFates(rt, "relay's calls")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 8).Draw(rt, "ms between changes")
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := memstore.New(nil)
			s.Put("a/x", []byte("0"))
			feed := &store.Feed{}
			sinks := map[string]*lastValue{"reader": {}, "follower": {}}
			usual := store.Follower{Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond, Burst: 4,
				Timeout: 500 * time.Millisecond, CheckAfter: checkAfter}
			reader, follower := usual, usual
			reader.Store, reader.Feed, reader.Sink = fatedStore{s, readers}, feed, sinks["reader"]
			follower.Store, follower.Relay, follower.Sink = fatedStore{s, followers}, fatedRelay{feed, others}, sinks["follower"]
			ctx, cancel := context.WithCancel(t.Context())
			var tasks conc.WaitGroup
			tasks.Go(func() { reader.Run(ctx) })
			tasks.Go(func() { follower.Run(ctx) })
			time.Sleep(bound)
			for i, pause := range pauses {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				value := fmt.Sprint(i)
				s.Put("a/x", []byte(value))
				time.Sleep(bound)
				for name, sink := range sinks {
					c.Check(sink.known(), qt.Equals, value, qt.Commentf("%s, change %d", name, i))
				}
			}
			cancel()
			tasks.Wait()
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// cutStore answers nothing.
type cutStore struct{ store.Store }

func (cutStore) Read(ctx context.Context, _ string) (store.Snapshot, error) {
	<-ctx.Done()
	return store.Snapshot{}, store.ErrOutcomeUnknown
}

func (s cutStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.Read(ctx, prefix)
}

func (s cutStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return s.Watch(ctx, prefix, after, wait)
}

func (s cutStore) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Changes, error) {
	<-ctx.Done()
	return store.Changes{}, store.ErrOutcomeUnknown
}

// Guards against a router without the store that does not learn from another one which is back.
func TestRouterCutFromTheStoreLearnsFromOthersAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		others := drawFates(rt, "relay's calls")
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(nil)
			s.Put("a/x", []byte("0"))
			feed, sink := &store.Feed{}, &lastValue{}
			reader := store.Follower{Store: s, Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond,
				Timeout: 500 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: &lastValue{}, Feed: feed}
			follower := reader
			follower.Store, follower.Relay, follower.Feed, follower.Sink = cutStore{s}, fatedRelay{feed, others}, nil, sink
			ctx, cancel := context.WithCancel(t.Context())
			var tasks conc.WaitGroup
			tasks.Go(func() { reader.Run(ctx) })
			tasks.Go(func() { follower.Run(ctx) })
			time.Sleep(time.Minute) // all fates are met
			s.Put("a/x", []byte("1"))
			time.Sleep(300 * time.Millisecond) // the pauses of both, and more
			qt.Check(t, sink.known(), qt.Equals, "1")
			cancel()
			tasks.Wait()
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}
