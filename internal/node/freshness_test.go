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

// These tests run on the fake clock of package synctest.

// Bounds that the tests check, and the times at which they inject faults.
const (
	drainTime    = 2 * time.Second // how long a leaving server keeps serving
	maxConfigAge = 2 * time.Second // within this time a new configuration must be in force
	maxFleetAge  = 3 * time.Second // within this time a router's record must reach all others
	defaultRTT   = 5 * time.Millisecond
	recoveryTime = 3 * time.Second // the bounds apply again this long after a partition
	phaseStep    = 100 * time.Millisecond
	phaseCount   = 24
	faultDelay   = 4 * time.Second
)

// inactiveRelay is the relay of a store reader, which follows the store itself.
type inactiveRelay struct{ store.Relay }

func (inactiveRelay) Active() bool { return false }

func (inactiveRelay) WatchAny(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, store.ErrNoFeed
}

// silentRelay is the relay of a router that cannot reach the store reader that it follows.
type silentRelay struct{}

func (silentRelay) Active() bool { return true }

func (silentRelay) Read(ctx context.Context, _ string, _ store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, awaitCallTimeout(ctx)
}

func (silentRelay) Watch(ctx context.Context, _ string, _ store.Revision) (store.Changes, error) {
	return store.Changes{}, awaitCallTimeout(ctx)
}

func (silentRelay) WatchAny(ctx context.Context, _ string, _ store.Revision) (store.Changes, error) {
	return store.Changes{}, awaitCallTimeout(ctx)
}

// relayWithoutFeed is the relay of a router whose store reader has no feed.
type relayWithoutFeed struct{}

func (relayWithoutFeed) Active() bool { return true }

func (relayWithoutFeed) Read(context.Context, string, store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, store.ErrNoFeed
}

func (relayWithoutFeed) Watch(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, store.ErrNoFeed
}

func (relayWithoutFeed) WatchAny(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, store.ErrNoFeed
}

// awaitCallTimeout simulates a call to another router that times out.
func awaitCallTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(relayMaxWait + 250*time.Millisecond):
	}
	return store.ErrNoFeed
}

// logBuffer is an io.Writer that is safe for concurrent use.
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

// followerTest holds one router that follows a store with a configuration and two servers.
type followerTest struct {
	*qt.C
	store *faultyStore
	node  *Node
	logs  *logBuffer
}

// runFollowerTest runs test in a synctest bubble while the followers of a router run.
func runFollowerTest(t *testing.T, relay store.Relay, test func(f *followerTest)) {
	synctest.Test(t, func(t *testing.T) {
		f := &followerTest{C: qt.New(t), store: &faultyStore{Store: memstore.New(nil)}, logs: &logBuffer{}}
		f.store.Put("config/x", []byte("1"))
		f.putServer("a", false)
		f.putServer("b", false)
		f.node = New(&Settings{VM: "vm-1", FailureDomain: "zone-1", DrainTime: drainTime}, Environment{
			Store: f.store, Clock: func() escrow.ClockReading { return escrow.ClockReading{} },
			ConfigPrefix: "config/", IsConfig: func(item store.Item) bool { return item.Key == "config/x" }, DecodeConfig: decodeTestConfig,
			EvacuatedDomain: func(key string) (string, bool) { return strings.CutPrefix(key, "config/evacuate/") },
			ServersPrefix:   "servers/", DecodeServer: decodeTestServer,
		}, event.New(f.logs, "p1", slog.LevelInfo, nil), "p1")
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		for _, follower := range f.node.followers(relay) {
			tasks.Go(func() { follower.Run(ctx) })
		}
		time.Sleep(faultDelay)
		test(f)
		cancel()
		tasks.Wait()
	})
}

func decodeTestServer(item store.Item) (fleet.Entry, error) {
	e := fleet.Entry{}
	return e, json.Unmarshal(item.Value, &e)
}

func (f *followerTest) putServer(id string, draining bool) {
	value, err := json.Marshal(fleet.Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "zone-" + id, Draining: draining})
	f.Assert(err, qt.IsNil)
	f.store.Put("servers/"+id, value)
}

// inUse reports whether a server may get requests.
func (f *followerTest) inUse(id string) bool {
	for _, s := range f.node.registry.View().ByService["engines"] {
		if s.ID == id {
			return !s.Ineligible()
		}
	}
	return false
}

// forEachPhase runs a test once for each of several offsets into the followers' polling cycles.
func forEachPhase(t *testing.T, test func(t *testing.T, phase time.Duration)) {
	for i := range phaseCount {
		phase := time.Duration(i) * phaseStep
		t.Run(fmt.Sprint(phase), func(t *testing.T) { test(t, phase) })
	}
}

// Guards against requests to a server that leaves shortly after the end of a partition between
// router and store.
func TestServerLeavingAfterPartitionIsRemovedInTime(t *testing.T) {
	const leaveDelay = 900 * time.Millisecond
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, inactiveRelay{}, func(f *followerTest) {
			f.store.set(func() { f.store.partitioned = true })
			time.Sleep(8*time.Second + phase)
			f.store.set(func() { f.store.partitioned = false })
			time.Sleep(leaveDelay)
			f.store.Delete("servers/a")
			time.Sleep(max(drainTime, recoveryTime-leaveDelay))
			f.Assert(f.inUse("a"), qt.IsFalse)
			f.Assert(f.inUse("b"), qt.IsTrue)
		})
	})
}

// Guards against requests to a server that left during a partition. Connections from before the
// partition stay dead for some time; the router must not take that for an outage of the store.
func TestServerThatLeftDuringPartitionIsRemovedInTime(t *testing.T) {
	const (
		leaveDelay      = 2 * time.Second
		retransmitDelay = 1500 * time.Millisecond
	)
	for name, relay := range map[string]store.Relay{"reader": inactiveRelay{}, "follower": silentRelay{}} {
		for link, rtt := range map[string]time.Duration{"short": defaultRTT, "long": 400 * time.Millisecond} {
			t.Run(name+"/"+link, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					runFollowerTest(t, relay, func(f *followerTest) {
						f.store.set(func() { f.store.partitioned, f.store.watchesHang, f.store.rtt = true, true, rtt })
						time.Sleep(leaveDelay)
						f.store.Delete("servers/a")
						time.Sleep(9*time.Second + phase)
						f.store.set(func() { f.store.partitioned = false })
						time.Sleep(retransmitDelay)
						f.store.set(func() { f.store.watchesHang = false })
						time.Sleep(recoveryTime - retransmitDelay)
						f.Assert(f.inUse("a"), qt.IsFalse)
						f.Assert(f.inUse("b"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against starvation: all followers share a backoff that spaces the calls to an unreachable
// store, and one of them could take every turn while the others stay stale.
func TestAllPrefixesAreUpToDateSoonAfterPartitionOfSlowLink(t *testing.T) {
	const (
		rtt             = 400 * time.Millisecond
		backoffInterval = 800 * time.Millisecond // between calls of a follower to an unreachable store
		poll            = 50 * time.Millisecond
		callTime        = 2*rtt + 2*poll // of a call on a new connection
		updateTime      = backoffInterval + 2*(callTime+poll)
	)
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, silentRelay{}, func(f *followerTest) {
			f.store.set(func() { f.store.partitioned, f.store.rtt = true, rtt })
			f.putServer("a", true)
			f.store.Put("config/x", []byte("2"))
			f.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
			time.Sleep(9*time.Second + phase)
			f.store.set(func() { f.store.partitioned = false })
			time.Sleep(updateTime)
			f.Check(f.inUse("a"), qt.IsFalse)
			f.Check(f.node.policy.Load().Version, qt.Equals, int64(2))
			f.Check(f.node.members.List(), qt.HasLen, 1)
		})
	})
}

// Guards against services without servers after an outage of the store: servers whose entries
// expired during the outage stay in use until they have had time to register again.
func TestServersWithEntriesExpiredInOutageStayInUse(t *testing.T) {
	outages := map[string]func(s *faultyStore, down bool){
		"cut":     func(s *faultyStore, down bool) { s.set(func() { s.partitioned = down }) },
		"refuses": func(s *faultyStore, down bool) { s.SetDown(down) },
	}
	const reregisterTime = 1900 * time.Millisecond
	for outage, set := range outages {
		for name, relay := range map[string]store.Relay{"reader": inactiveRelay{}, "follower": silentRelay{}} {
			t.Run(outage+"/"+name, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					runFollowerTest(t, relay, func(f *followerTest) {
						set(f.store, true)
						time.Sleep(8*time.Second + phase)
						f.store.Delete("servers/a")
						set(f.store, false)
						for range reregisterTime / phaseStep {
							time.Sleep(phaseStep)
							f.Assert(f.inUse("a"), qt.IsTrue)
						}
						f.putServer("a", false)
						time.Sleep(recoveryTime)
						f.Assert(f.inUse("a"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against changes that are seen late because several calls time out one after the other.
func TestChangesAreSeenInTimeDespiteHangingCalls(t *testing.T) {
	for name, relay := range map[string]store.Relay{"reader": inactiveRelay{}, "follower": silentRelay{}} {
		t.Run(name, func(t *testing.T) {
			forEachPhase(t, func(t *testing.T, phase time.Duration) {
				runFollowerTest(t, relay, func(f *followerTest) {
					f.store.set(func() { f.store.watchesHang = true })
					time.Sleep(phase)
					f.putServer("a", true)
					f.store.Put("config/x", []byte("2"))
					f.store.Put("config/evacuate/zone-b", []byte("{}"))
					f.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
					time.Sleep(min(drainTime, maxConfigAge) - defaultRTT)
					f.Assert(f.inUse("a"), qt.IsFalse)
					f.Assert(f.inUse("b"), qt.IsFalse, qt.Commentf("its domain is evacuated"))
					f.Assert(f.node.policy.Load().Version, qt.Equals, int64(2))
					time.Sleep(maxFleetAge - min(drainTime, maxConfigAge))
					f.Assert(f.node.members.List(), qt.HasLen, 1)
				})
			})
		})
	}
}

// Guards against checks that, over a congested link, cancel the regular calls or report the store
// as unreachable.
func TestChangesAreSeenOverSlowLink(t *testing.T) {
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		runFollowerTest(t, inactiveRelay{}, func(f *followerTest) {
			f.store.set(func() { f.store.rtt = 900 * time.Millisecond })
			time.Sleep(5*time.Second + phase)
			f.putServer("a", true)
			f.store.Put("config/x", []byte("2"))
			time.Sleep(min(drainTime, maxConfigAge))
			f.Assert(f.inUse("a"), qt.IsFalse)
			f.Assert(f.node.policy.Load().Version, qt.Equals, int64(2))
			time.Sleep(10 * time.Second)
			unreachableEvent := fmt.Sprintf(`"event":%d,`, event.StoreUnreachable)
			f.Assert(f.logs.text(), qt.Not(qt.Contains), unreachableEvent)
		})
	})
}

// Guards against a router that stays stale while its link is too congested for full reads.
func TestChangesAreSeenWhenOnlyShortResponsesArrive(t *testing.T) {
	runFollowerTest(t, inactiveRelay{}, func(f *followerTest) {
		f.store.SetDown(true)
		time.Sleep(8 * time.Second)
		f.store.set(func() { f.store.readsHang = true })
		f.store.SetDown(false)
		f.putServer("a", true)
		time.Sleep(recoveryTime)
		f.Assert(f.inUse("a"), qt.IsFalse)
	})
}

// callCount returns the number of reads and watches so far.
func (s *faultyStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Guards against more calls to a healthy store than one watch per prefix and watch cycle.
func TestFollowersMakeFewCallsInNormalOperation(t *testing.T) {
	runFollowerTest(t, inactiveRelay{}, func(f *followerTest) {
		before := f.store.callCount()
		time.Sleep(60 * time.Second)
		calls := f.store.callCount() - before
		// The configuration and the servers are confirmed every 1.2 s, the fleet every 2.3 s.
		const maxCalls = 2*(60*10/12+1) + 60*10/23 + 2
		f.Assert(calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against many paid calls to a store that is down: the followers take turns.
func TestFollowersMakeFewCallsInOutage(t *testing.T) {
	runFollowerTest(t, inactiveRelay{}, func(f *followerTest) {
		f.store.SetDown(true)
		before := f.store.callCount()
		time.Sleep(60 * time.Second)
		calls := f.store.callCount() - before
		const maxCalls = 60*10/6 + 10
		f.Assert(calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against one store call per change when entries change continuously.
func TestFrequentChangesCauseFewCalls(t *testing.T) {
	for name, relay := range map[string]store.Relay{"reader": inactiveRelay{}, "follower": relayWithoutFeed{}} {
		t.Run(name, func(t *testing.T) {
			runFollowerTest(t, relay, func(f *followerTest) {
				before := f.store.callCount()
				for i := range 600 {
					f.putServer(fmt.Sprint("c", i), false)
					time.Sleep(100 * time.Millisecond)
				}
				calls := f.store.callCount() - before
				const maxCalls = 2*(60*10/12+1) + 60*10/23 + 2 + 2*serversBurst
				f.Assert(calls <= maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls))
				f.Assert(f.inUse("c590"), qt.IsTrue)
			})
		})
	}
}
