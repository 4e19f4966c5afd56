package standin_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/platform/standin"
)

// clock is a clock that only the test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// bench is one implementation of platform.KV under test; store is the content
// behind it, by which faults are set.
type bench struct {
	kv    platform.KV
	store *memkv.Store
	clock *clock
}

func directBench(*testing.T) bench {
	c := newClock()
	store := memkv.New(c.Now)
	return bench{kv: store, store: store, clock: c}
}

func gatewayBench(t *testing.T) bench {
	b := directBench(t)
	endpoint := serve(t, standin.Config{Store: b.store, Now: b.clock.Now, ProgressInterval: 10 * time.Millisecond})
	client, err := etcdgw.New(etcdgw.Config{Endpoint: endpoint})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(client.Close)
	b.kv = client
	return b
}

// serve runs a server for the length of the test and returns its URL.
func serve(t *testing.T, config standin.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := standin.New(config)
	var tasks conc.WaitGroup
	tasks.Go(func() { qt.Check(t, server.Serve(listener), qt.IsNil) })
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		tasks.Wait()
	})
	return "http://" + listener.Addr().String()
}

var ctx = context.Background()

// receive waits for a watch's next value; a watch that ends fails the test.
func receive(t *testing.T, values <-chan platform.Value) platform.Value {
	t.Helper()
	v, open := <-values
	qt.Assert(t, open, qt.IsTrue)
	return v
}

// behaviours is what every implementation of platform.KV must do.
var behaviours = []struct {
	name string
	test func(*testing.T, bench)
}{
	{"missing key has revision zero", testMissingKey},
	{"create, replace and delete", testWrites},
	{"conflict returns the current value", testConflict},
	{"empty and binary values", testValues},
	{"value too large", testTooLarge},
	{"lost answer then read again", testLostAnswer},
	{"outage writes nothing", testOutage},
	{"rate limits", testRateLimits},
	{"cancelled context", testCancelled},
	{"lease lapses with its keys", testLeaseLapses},
	{"lease kept alive", testLeaseKept},
	{"a later write takes the key off its lease", testLeaseDetached},
	{"watch after a revision", testWatch},
	{"watch of a missing key", testWatchMissing},
	{"watch ends", testWatchEnds},
	{"concurrent counters lose no update", testConcurrent},
}

func TestContract(t *testing.T) {
	implementations := []struct {
		name string
		open func(*testing.T) bench
	}{
		{"memkv", directBench},
		{"etcdgw", gatewayBench},
	}
	for _, implementation := range implementations {
		for _, behaviour := range behaviours {
			t.Run(implementation.name+"/"+behaviour.name, func(t *testing.T) {
				behaviour.test(t, implementation.open(t))
			})
		}
	}
}

func testMissingKey(t *testing.T, b bench) {
	v, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, platform.Value{Key: "k"})
	qt.Assert(t, b.kv.Delete(ctx, "k", 0), qt.IsNil)
}

func testWrites(t *testing.T, b bench) {
	first, err := b.kv.CAS(ctx, "k", 0, []byte("one"), 0)
	qt.Assert(t, err, qt.IsNil)
	second, err := b.kv.CAS(ctx, "k", first.Revision, []byte("two"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Revision > first.Revision, qt.IsTrue)
	read, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, second)

	qt.Assert(t, b.kv.Delete(ctx, "k", first.Revision), qt.ErrorIs, platform.ErrConflict)
	qt.Assert(t, b.kv.Delete(ctx, "k", second.Revision), qt.IsNil)
	third, err := b.kv.CAS(ctx, "k", 0, []byte("three"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, third.Revision > second.Revision, qt.IsTrue)
}

func testConflict(t *testing.T, b bench) {
	current, err := b.kv.CAS(ctx, "k", 0, []byte("mine"), 0)
	qt.Assert(t, err, qt.IsNil)
	for _, expect := range []platform.Revision{0, current.Revision + 1} {
		v, err := b.kv.CAS(ctx, "k", expect, []byte("other"), 0)
		qt.Assert(t, err, qt.ErrorIs, platform.ErrConflict)
		qt.Assert(t, v, qt.DeepEquals, current)
	}
	missing, err := b.kv.CAS(ctx, "absent", 7, nil, 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrConflict)
	qt.Assert(t, missing, qt.DeepEquals, platform.Value{Key: "absent"})
}

func testValues(t *testing.T, b bench) {
	for key, data := range map[string][]byte{
		"empty": {}, "nul\x00key/ü": {0, 0xff, '"', '\n'}, "largest": make([]byte, platform.MaxValueBytes),
	} {
		_, err := b.kv.CAS(ctx, key, 0, data, 0)
		qt.Assert(t, err, qt.IsNil)
		v, err := b.kv.Get(ctx, key)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(v.Data) == string(data), qt.IsTrue)
		qt.Assert(t, v.Revision > 0, qt.IsTrue)
	}
}

func testTooLarge(t *testing.T, b bench) {
	_, err := b.kv.CAS(ctx, "k", 0, make([]byte, platform.MaxValueBytes+1), 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrValueTooLarge)
	testMissingKey(t, b)
}

// The writer sees that a write's outcome is unknown. The write took effect and
// its answer was lost; a second write on the old revision then conflicts, and
// the conflict shows the writer its own value, so that it can tell.
func testLostAnswer(t *testing.T, b bench) {
	b.store.SetFaults(memkv.Faults{LoseAnswers: 1})
	_, err := b.kv.CAS(ctx, "k", 0, []byte("mine"), 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	qt.Assert(t, err, qt.Not(qt.ErrorIs), platform.ErrUnavailable)

	landed, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(landed.Data), qt.Equals, "mine")
	again, err := b.kv.CAS(ctx, "k", 0, []byte("mine"), 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrConflict)
	qt.Assert(t, again, qt.DeepEquals, landed)
	qt.Assert(t, b.store.Counts().CASes, qt.Equals, int64(2)) // no hidden retry

	b.store.SetFaults(memkv.Faults{LoseAnswers: 2})
	qt.Assert(t, b.kv.Delete(ctx, "k", landed.Revision), qt.ErrorIs, platform.ErrOutcomeUnknown)
	_, err = b.kv.GrantLease(ctx, time.Second)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrOutcomeUnknown)
	testMissingKey(t, b)
}

// Each call is refused while the service is down, and says that nothing was
// written. After the outage the old value is still there.
func testOutage(t *testing.T, b bench) {
	before, err := b.kv.CAS(ctx, "k", 0, []byte("before"), 0)
	qt.Assert(t, err, qt.IsNil)
	lease, err := b.kv.GrantLease(ctx, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	b.store.SetFaults(memkv.Faults{Outage: true})
	_, errGet := b.kv.Get(ctx, "k")
	_, errCAS := b.kv.CAS(ctx, "k", before.Revision, []byte("during"), 0)
	_, errGrant := b.kv.GrantLease(ctx, time.Minute)
	_, errWatch := b.kv.Watch(ctx, "k", 0)
	errDelete := b.kv.Delete(ctx, "k", before.Revision)
	errKeep := b.kv.KeepAlive(ctx, lease)
	for _, err := range []error{errGet, errCAS, errGrant, errWatch, errDelete, errKeep} {
		qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
		qt.Assert(t, err, qt.Not(qt.ErrorIs), platform.ErrOutcomeUnknown)
	}
	b.store.SetFaults(memkv.Faults{})
	after, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, after, qt.DeepEquals, before)
}

func testRateLimits(t *testing.T, b bench) {
	b.store.SetFaults(memkv.Faults{WritesPerSecond: 1, ReadsPerSecond: 2})
	v, err := b.kv.CAS(ctx, "k", 0, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = b.kv.CAS(ctx, "k", v.Revision, nil, 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrRateLimited)
	qt.Assert(t, b.kv.KeepAlive(ctx, 1), qt.ErrorIs, platform.ErrRateLimited)
	for range 2 {
		_, err = b.kv.Get(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
	}
	_, err = b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.ErrorIs, platform.ErrRateLimited)
	_, err = b.kv.Watch(ctx, "k", 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrRateLimited)

	b.clock.Advance(time.Second)
	_, err = b.kv.CAS(ctx, "k", v.Revision, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
}

func testCancelled(t *testing.T, b bench) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err := b.kv.CAS(ended, "k", 0, nil, 0)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrUnavailable)
	testMissingKey(t, b)
}

// A paused holder does not renew its lease. The lease lapses, its key goes, a
// watch tells of it, and the holder that wakes is told that its lease is gone.
func testLeaseLapses(t *testing.T, b bench) {
	lease, err := b.kv.GrantLease(ctx, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	held, err := b.kv.CAS(ctx, "k", 0, []byte("held"), lease)
	qt.Assert(t, err, qt.IsNil)
	values, err := b.kv.Watch(ctx, "k", held.Revision)
	qt.Assert(t, err, qt.IsNil)

	b.clock.Advance(10*time.Second - 1)
	v, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, held)
	b.clock.Advance(1)
	b.store.Tick()
	qt.Assert(t, receive(t, values), qt.DeepEquals, platform.Value{Key: "k"})
	testMissingKey(t, b)
	qt.Assert(t, b.kv.KeepAlive(ctx, lease), qt.ErrorIs, platform.ErrLeaseNotFound)
	_, err = b.kv.CAS(ctx, "k", 0, nil, lease)
	qt.Assert(t, err, qt.ErrorIs, platform.ErrLeaseNotFound)
	testMissingKey(t, b)
}

func testLeaseKept(t *testing.T, b bench) {
	lease, err := b.kv.GrantLease(ctx, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	held, err := b.kv.CAS(ctx, "k", 0, []byte("held"), lease)
	qt.Assert(t, err, qt.IsNil)
	for range 5 {
		b.clock.Advance(9 * time.Second)
		qt.Assert(t, b.kv.KeepAlive(ctx, lease), qt.IsNil)
	}
	v, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, held)
}

func testLeaseDetached(t *testing.T, b bench) {
	lease, err := b.kv.GrantLease(ctx, 10*time.Second)
	qt.Assert(t, err, qt.IsNil)
	held, err := b.kv.CAS(ctx, "k", 0, nil, lease)
	qt.Assert(t, err, qt.IsNil)
	kept, err := b.kv.CAS(ctx, "k", held.Revision, []byte("kept"), 0)
	qt.Assert(t, err, qt.IsNil)
	b.clock.Advance(time.Minute)
	v, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, kept)
}

func testWatch(t *testing.T, b bench) {
	first, err := b.kv.CAS(ctx, "k", 0, []byte("1"), 0)
	qt.Assert(t, err, qt.IsNil)
	second, err := b.kv.CAS(ctx, "k", first.Revision, []byte("2"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = b.kv.CAS(ctx, "other", 0, nil, 0)
	qt.Assert(t, err, qt.IsNil)
	late, err := b.kv.Watch(ctx, "k", first.Revision)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receive(t, late), qt.DeepEquals, second)

	current, err := b.kv.Watch(ctx, "k", second.Revision)
	qt.Assert(t, err, qt.IsNil)
	third, err := b.kv.CAS(ctx, "k", second.Revision, []byte("3"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receive(t, current), qt.DeepEquals, third)
	qt.Assert(t, receive(t, late), qt.DeepEquals, third)
	qt.Assert(t, b.kv.Delete(ctx, "k", third.Revision), qt.IsNil)
	qt.Assert(t, receive(t, current), qt.DeepEquals, platform.Value{Key: "k"})

	deleted, err := b.kv.Watch(ctx, "k", third.Revision)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receive(t, deleted), qt.DeepEquals, platform.Value{Key: "k"})
}

func testWatchMissing(t *testing.T, b bench) {
	values, err := b.kv.Watch(ctx, "k", 0)
	qt.Assert(t, err, qt.IsNil)
	written, err := b.kv.CAS(ctx, "k", 0, []byte("1"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receive(t, values), qt.DeepEquals, written)
}

// The reader's channel closes when its context ends and when the service goes
// down, and the service then counts the watch no longer.
func testWatchEnds(t *testing.T, b bench) {
	ending, cancel := context.WithCancel(ctx)
	values, err := b.kv.Watch(ending, "k", 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.store.Counts().WatchesWaiting, qt.Equals, int64(1))
	cancel()
	_, open := <-values
	qt.Assert(t, open, qt.IsFalse)
	for b.store.Counts().WatchesWaiting != 0 {
		time.Sleep(time.Millisecond) // until the server's next write fails
	}
	values, err = b.kv.Watch(ctx, "k", 0)
	qt.Assert(t, err, qt.IsNil)
	b.store.SetFaults(memkv.Faults{Outage: true})
	_, open = <-values
	qt.Assert(t, open, qt.IsFalse)
}

func testConcurrent(t *testing.T, b bench) {
	const writers, additions = 4, 20
	var tasks conc.WaitGroup
	for range writers {
		tasks.Go(func() {
			for range additions {
				v, err := b.kv.Get(ctx, "k")
				qt.Check(t, err, qt.IsNil)
				for {
					next := append(v.Data, 'x')
					v, err = b.kv.CAS(ctx, "k", v.Revision, next, 0)
					if err == nil {
						break
					}
					qt.Check(t, err, qt.ErrorIs, platform.ErrConflict)
				}
			}
		})
	}
	tasks.Wait()
	v, err := b.kv.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Data, qt.HasLen, writers*additions)
}
