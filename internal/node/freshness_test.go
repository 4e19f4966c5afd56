package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// These tests run on a clock that jumps from one timer to the next.

// Bounds that the routers are held to, and the moments at which something is changed.
const (
	drain        = 2 * time.Second // a leaving server serves for so long
	maxConfigAge = 2 * time.Second // a configuration must be in force after so long
	maxFleetAge  = 3 * time.Second // what a router says must be known to all after so long
	defaultRTT   = 5 * time.Millisecond
	recoveryTime = 3 * time.Second // a router that came back from a cut is held to the bounds from then on
	phaseStep    = 100 * time.Millisecond
	phaseCount   = 24
	faultDelay   = 4 * time.Second
)

// faultyStore is the store behind one router's link, whose faults the test sets. A call
// that gets no answer waits until its caller gives up.
type faultyStore struct {
	*memstore.Store
	mu          sync.Mutex
	partitioned bool
	watchesHang bool          // watches are not answered: their connections fell silent
	rtt         time.Duration // of a call there and back; 0: roundTrip
	readsHang   bool          // what a read answers is too long to get through in time
	callCount   int
}

func (s *faultyStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// send waits for the round trip, or for ever if there is no path at its start.
func (s *faultyStore) send(ctx context.Context, watch bool) error {
	s.mu.Lock()
	trip := max(s.rtt, defaultRTT)
	lost := s.partitioned || watch && s.watchesHang || !watch && s.readsHang
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	select {
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	case <-time.After(trip / 2):
		return nil
	}
}

func (s *faultyStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.set(func() { s.callCount++ })
	if err := s.send(ctx, false); err != nil {
		return store.Snapshot{}, err
	}
	snapshot, err := s.Store.Read(ctx, prefix)
	if err != nil {
		return snapshot, err
	}
	return snapshot, s.reply(ctx)
}

func (s *faultyStore) ReadAnew(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.connect(ctx); err != nil {
		return store.Snapshot{}, err
	}
	return s.Read(ctx, prefix)
}

func (s *faultyStore) WatchAnew(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if err := s.connect(ctx); err != nil {
		return store.Changes{}, err
	}
	s.set(func() { s.callCount++ })
	if err := s.reply(ctx); err != nil {
		return store.Changes{}, err
	}
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return changes, err
	}
	return changes, s.reply(ctx)
}

// connect makes a connection. Its first packet is sent again after one second, and then
// after twice the time before.
func (s *faultyStore) connect(ctx context.Context) error {
	for again := time.Second; ; again *= 2 {
		s.mu.Lock()
		trip, lost := max(s.rtt, defaultRTT), s.partitioned
		s.mu.Unlock()
		wait := trip
		if lost {
			wait = again
		}
		select {
		case <-ctx.Done():
			return store.ErrUnavailable
		case <-time.After(wait):
		}
		if !lost {
			store.Connected(ctx)
			return nil
		}
	}
}

// reply is the way of an answer.
func (s *faultyStore) reply(ctx context.Context) error {
	s.mu.Lock()
	trip := max(s.rtt, defaultRTT)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	case <-time.After(trip / 2):
		return nil
	}
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	s.set(func() { s.callCount++ })
	if err := s.send(ctx, true); err != nil {
		return store.Changes{}, err
	}
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return changes, err
	}
	return changes, s.reply(ctx)
}

// unusedRelay is the relay of a router that follows the store itself.
type unusedRelay struct{ store.Relay }

func (unusedRelay) Used() bool { return false }

// silentRelay is the relay of a router that is cut off from the one it follows.
type silentRelay struct{}

func (silentRelay) Used() bool { return true }

func (silentRelay) Read(ctx context.Context, _ string, _ store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, awaitCallTimeout(ctx)
}

func (silentRelay) Watch(ctx context.Context, _ string, _ store.Revision) (store.Changes, error) {
	return store.Changes{}, awaitCallTimeout(ctx)
}

// relayWithoutFeed is the relay of a router whose reader follows nothing itself.
type relayWithoutFeed struct{}

func (relayWithoutFeed) Used() bool { return true }

func (relayWithoutFeed) Read(context.Context, string, store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, store.ErrNoFeed
}

func (relayWithoutFeed) Watch(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, store.ErrNoFeed
}

// awaitCallTimeout is a call to another router that runs out of time.
func awaitCallTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(relayWatchWait + 250*time.Millisecond):
	}
	return store.ErrNoFeed
}

// logBuffer keeps a log.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(line)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// followerTest is one router that follows a store with two servers and a configuration.
type followerTest struct {
	*qt.C
	store *faultyStore
	node  *Node
	logs  *logBuffer
}

// runFollowerTest runs a test beside a router's followers.
func runFollowerTest(t *testing.T, relay store.Relay, test func(w *followerTest)) {
	synctest.Test(t, func(t *testing.T) {
		w := &followerTest{C: qt.New(t), store: &faultyStore{Store: memstore.New(nil)}, logs: &logBuffer{}}
		w.store.Put("config/x", []byte("1"))
		w.putServer("a", false)
		w.putServer("b", false)
		w.node = New(&Settings{VM: "vm-1", FailureDomain: "zone-1", DrainTime: drain}, Environment{
			Store: w.store, Clock: func() escrow.ClockReading { return escrow.ClockReading{} },
			ConfigPrefix: "config/", IsConfig: func(item store.Item) bool { return item.Key == "config/x" }, DecodeConfig: decodeTestConfig,
			EvacuatedDomain: func(key string) (string, bool) { return strings.CutPrefix(key, "config/evacuate/") },
			ServersPrefix:   "servers/", DecodeServer: decodeTestServer,
		}, event.New(w.logs, "p1", slog.LevelInfo, nil), "p1")
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		for _, f := range w.node.followers(relay) {
			tasks.Go(func() { f.Run(ctx) })
		}
		time.Sleep(faultDelay)
		test(w)
		cancel()
		tasks.Wait()
	})
}

func decodeTestServer(item store.Item) (fleet.Entry, error) {
	e := fleet.Entry{}
	return e, json.Unmarshal(item.Value, &e)
}

func (w *followerTest) putServer(id string, draining bool) {
	value, err := json.Marshal(fleet.Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "zone-" + id, Draining: draining})
	w.Assert(err, qt.IsNil)
	w.store.Put("servers/"+id, value)
}

// inUse says whether a server may get requests.
func (w *followerTest) inUse(id string) bool {
	for _, s := range w.node.registry.View().ByService["engines"] {
		if s.ID == id {
			return !s.Ineligible()
		}
	}
	return false
}

// forEachPhase plays a test with a moment that falls on each part of the followers' cycles.
func forEachPhase(t *testing.T, test func(t *testing.T, phase time.Duration)) {
	for i := range phaseCount {
		phase := time.Duration(i) * phaseStep
		t.Run(fmt.Sprint(phase), func(t *testing.T) { test(t, phase) })
	}
}

// Guards against requests to a server that leaves right after the end of a router's cut from the store.
func TestServerLeavingAfterPartitionIsRemovedInTime(t *testing.T) {
	const leavesAfter = 900 * time.Millisecond
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, unusedRelay{}, func(w *followerTest) {
			w.store.set(func() { w.store.partitioned = true })
			time.Sleep(8*time.Second + phase)
			w.store.set(func() { w.store.partitioned = false })
			time.Sleep(leavesAfter)
			w.store.Remove("servers/a")
			time.Sleep(max(drain, recoveryTime-leavesAfter))
			w.Assert(w.inUse("a"), qt.IsFalse)
			w.Assert(w.inUse("b"), qt.IsTrue)
		})
	})
}

// Guards against requests to a server that left during a cut: silence of old connections proves no outage.
func TestServerThatLeftDuringPartitionIsRemovedInTime(t *testing.T) {
	const (
		leavesAfter    = 2 * time.Second
		retransmission = 1500 * time.Millisecond
	)
	for name, others := range map[string]store.Relay{"reader": unusedRelay{}, "follower": silentRelay{}} {
		for link, trip := range map[string]time.Duration{"short": defaultRTT, "long": 400 * time.Millisecond} {
			t.Run(name+"/"+link, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					runFollowerTest(t, others, func(w *followerTest) {
						w.store.set(func() { w.store.partitioned, w.store.watchesHang, w.store.rtt = true, true, trip })
						time.Sleep(leavesAfter)
						w.store.Remove("servers/a")
						time.Sleep(9*time.Second + phase)
						w.store.set(func() { w.store.partitioned = false })
						time.Sleep(retransmission)
						w.store.set(func() { w.store.watchesHang = false })
						time.Sleep(recoveryTime - retransmission)
						w.Assert(w.inUse("a"), qt.IsFalse)
						w.Assert(w.inUse("b"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against one follower that takes each turn at a store which was away while others know nothing.
func TestAllPrefixesAreUpToDateSoonAfterPartitionOfSlowLink(t *testing.T) {
	const (
		trip     = 400 * time.Millisecond
		spacing  = 800 * time.Millisecond // of calls to a store that is away, at a follower
		poll     = 50 * time.Millisecond
		whole    = 2*trip + 2*poll // of a call with its connection
		allKnown = spacing + 2*(whole+poll)
	)
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, silentRelay{}, func(w *followerTest) {
			w.store.set(func() { w.store.partitioned, w.store.rtt = true, trip })
			w.putServer("a", true)
			w.store.Put("config/x", []byte("2"))
			w.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
			time.Sleep(9*time.Second + phase)
			w.store.set(func() { w.store.partitioned = false })
			time.Sleep(allKnown)
			w.Check(w.inUse("a"), qt.IsFalse)
			w.Check(w.node.policy.Load().Version, qt.Equals, int64(2))
			w.Check(w.node.members.List(), qt.HasLen, 1)
		})
	})
}

// Guards against empty services after an outage: servers whose entries lapsed in it are used until they are back.
func TestServersWithEntriesExpiredInOutageStayInUse(t *testing.T) {
	outages := map[string]func(s *faultyStore, away bool){
		"cut":     func(s *faultyStore, away bool) { s.set(func() { s.partitioned = away }) },
		"refuses": func(s *faultyStore, away bool) { s.SetDown(away) },
	}
	const back = 1900 * time.Millisecond
	for outage, set := range outages {
		for name, others := range map[string]store.Relay{"reader": unusedRelay{}, "follower": silentRelay{}} {
			t.Run(outage+"/"+name, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					runFollowerTest(t, others, func(w *followerTest) {
						set(w.store, true)
						time.Sleep(8*time.Second + phase)
						w.store.Remove("servers/a")
						set(w.store, false)
						for range back / phaseStep {
							time.Sleep(phaseStep)
							w.Assert(w.inUse("a"), qt.IsTrue)
						}
						w.putServer("a", false)
						time.Sleep(recoveryTime)
						w.Assert(w.inUse("a"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against changes that are known late because calls run out of time one after the other.
func TestChangesAreSeenInTimeDespiteHangingCalls(t *testing.T) {
	for name, others := range map[string]store.Relay{"reader": unusedRelay{}, "follower": silentRelay{}} {
		t.Run(name, func(t *testing.T) {
			forEachPhase(t, func(t *testing.T, phase time.Duration) {
				runFollowerTest(t, others, func(w *followerTest) {
					w.store.set(func() { w.store.watchesHang = true })
					time.Sleep(phase)
					w.putServer("a", true)
					w.store.Put("config/x", []byte("2"))
					w.store.Put("config/evacuate/zone-b", []byte("{}"))
					w.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
					time.Sleep(min(drain, maxConfigAge) - defaultRTT)
					w.Assert(w.inUse("a"), qt.IsFalse)
					w.Assert(w.inUse("b"), qt.IsFalse, qt.Commentf("its domain is evacuated"))
					w.Assert(w.node.policy.Load().Version, qt.Equals, int64(2))
					time.Sleep(maxFleetAge - min(drain, maxConfigAge))
					w.Assert(w.node.members.List(), qt.HasLen, 1)
				})
			})
		})
	}
}

// Guards against checks over a full link that end the calls beside them, or take the store for away.
func TestChangesAreSeenOverSlowLink(t *testing.T) {
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, unusedRelay{}, func(w *followerTest) {
			w.store.set(func() { w.store.rtt = 900 * time.Millisecond })
			time.Sleep(5*time.Second + phase)
			w.putServer("a", true)
			w.store.Put("config/x", []byte("2"))
			time.Sleep(min(drain, maxConfigAge))
			w.Assert(w.inUse("a"), qt.IsFalse)
			w.Assert(w.node.policy.Load().Version, qt.Equals, int64(2))
			time.Sleep(10 * time.Second)
			unreachable := fmt.Sprintf(`"event":%d,`, event.StoreUnreachable)
			w.Assert(w.logs.text(), qt.Not(qt.Contains), unreachable)
		})
	})
}

// Guards against a router that stays with old knowledge while its link is too full for whole reads.
func TestChangesAreSeenWhenOnlyShortResponsesArrive(t *testing.T) {
	runFollowerTest(t, unusedRelay{}, func(w *followerTest) {
		w.store.SetDown(true)
		time.Sleep(8 * time.Second)
		w.store.set(func() { w.store.readsHang = true })
		w.store.SetDown(false)
		w.putServer("a", true)
		time.Sleep(recoveryTime)
		w.Assert(w.inUse("a"), qt.IsFalse)
	})
}

// calls is how many reads and watches the router has made.
func (s *faultyStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Guards against calls to the store in health beyond one confirmation of each prefix in its time.
func TestFollowersMakeFewCallsInNormalOperation(t *testing.T) {
	runFollowerTest(t, unusedRelay{}, func(w *followerTest) {
		before := w.store.calls()
		time.Sleep(60 * time.Second)
		calls := w.store.calls() - before
		const most = 2*(60*10/12+1) + 60*10/23 + 2
		w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against paid calls to a store that refuses: one thing at a time is asked for.
func TestFollowersMakeFewCallsInOutage(t *testing.T) {
	runFollowerTest(t, unusedRelay{}, func(w *followerTest) {
		w.store.SetDown(true)
		before := w.store.calls()
		time.Sleep(60 * time.Second)
		calls := w.store.calls() - before
		const most = 60*10/6 + 10
		w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against a call for each change of entries that change all the time.
func TestFrequentChangesCauseFewCalls(t *testing.T) {
	for name, others := range map[string]store.Relay{"reader": unusedRelay{}, "follower": relayWithoutFeed{}} {
		t.Run(name, func(t *testing.T) {
			runFollowerTest(t, others, func(w *followerTest) {
				before := w.store.calls()
				for i := range 600 {
					w.putServer(fmt.Sprint("c", i), false)
					time.Sleep(100 * time.Millisecond)
				}
				calls := w.store.calls() - before
				const most = 2*(60*10/12+1) + 60*10/23 + 2 + 2*serversBurst
				w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
				w.Assert(w.inUse("c590"), qt.IsTrue)
			})
		})
	}
}
