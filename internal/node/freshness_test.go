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
	drain       = 2 * time.Second // a leaving server serves for so long
	applied     = 2 * time.Second // a configuration must be in force after so long
	shared      = 3 * time.Second // what a router says must be known to all after so long
	roundTrip   = 5 * time.Millisecond
	settled     = 3 * time.Second // a router that came back from a cut is held to the bounds from then on
	phaseStep   = 100 * time.Millisecond
	phases      = 24
	beforeFault = 4 * time.Second
)

// linkedStore is the store behind one router's link, whose faults the test sets. A call
// that gets no answer waits until its caller gives up.
type linkedStore struct {
	*memstore.Store
	mu          sync.Mutex
	cut         bool
	deafWatches bool          // watches are not answered: their connections fell silent
	trip        time.Duration // of a call there and back; 0: roundTrip
	fullLink    bool          // what a read answers is too long to get through in time
	asked       int
}

func (s *linkedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// send waits for the round trip, or for ever if there is no path at its start.
func (s *linkedStore) send(ctx context.Context, watch bool) error {
	s.mu.Lock()
	trip := max(s.trip, roundTrip)
	lost := s.cut || watch && s.deafWatches || !watch && s.fullLink
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

func (s *linkedStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	s.set(func() { s.asked++ })
	if err := s.send(ctx, false); err != nil {
		return store.Snapshot{}, err
	}
	snapshot, err := s.Store.Read(ctx, prefix)
	if err != nil {
		return snapshot, err
	}
	return snapshot, s.comeBack(ctx)
}

func (s *linkedStore) ReadAnew(ctx context.Context, prefix string) (store.Snapshot, error) {
	if err := s.connect(ctx); err != nil {
		return store.Snapshot{}, err
	}
	return s.Read(ctx, prefix)
}

func (s *linkedStore) WatchAnew(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if err := s.connect(ctx); err != nil {
		return store.Changes{}, err
	}
	s.set(func() { s.asked++ })
	if err := s.comeBack(ctx); err != nil {
		return store.Changes{}, err
	}
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return changes, err
	}
	return changes, s.comeBack(ctx)
}

// connect makes a connection. Its first packet is sent again after one second, and then
// after twice the time before.
func (s *linkedStore) connect(ctx context.Context) error {
	for again := time.Second; ; again *= 2 {
		s.mu.Lock()
		trip, lost := max(s.trip, roundTrip), s.cut
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

// comeBack is the way of an answer.
func (s *linkedStore) comeBack(ctx context.Context) error {
	s.mu.Lock()
	trip := max(s.trip, roundTrip)
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	case <-time.After(trip / 2):
		return nil
	}
}

func (s *linkedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	s.set(func() { s.asked++ })
	if err := s.send(ctx, true); err != nil {
		return store.Changes{}, err
	}
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return changes, err
	}
	return changes, s.comeBack(ctx)
}

// noOthers is the relay of a router that follows the store itself.
type noOthers struct{ store.Relay }

func (noOthers) Used() bool { return false }

// silentOthers is the relay of a router that is cut off from the one it follows.
type silentOthers struct{}

func (silentOthers) Used() bool { return true }

func (silentOthers) Read(ctx context.Context, _ string, _ store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, silence(ctx)
}

func (silentOthers) Watch(ctx context.Context, _ string, _ store.Revision) (store.Changes, error) {
	return store.Changes{}, silence(ctx)
}

// ignorantOthers is the relay of a router whose reader follows nothing itself.
type ignorantOthers struct{}

func (ignorantOthers) Used() bool { return true }

func (ignorantOthers) Read(context.Context, string, store.Revision) (store.Snapshot, error) {
	return store.Snapshot{}, store.ErrNoFeed
}

func (ignorantOthers) Watch(context.Context, string, store.Revision) (store.Changes, error) {
	return store.Changes{}, store.ErrNoFeed
}

// silence is a call to another router that runs out of time.
func silence(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(relayWatchWait + 250*time.Millisecond):
	}
	return store.ErrNoFeed
}

// lines keeps a log.
type lines struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(line)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// followedWorld is one router that follows a store with two servers and a configuration.
type followedWorld struct {
	*qt.C
	store *linkedStore
	node  *Node
	lines *lines
}

// withFollower runs a test beside a router's followers.
func withFollower(t *testing.T, others store.Relay, test func(w *followedWorld)) {
	synctest.Test(t, func(t *testing.T) {
		w := &followedWorld{C: qt.New(t), store: &linkedStore{Store: memstore.New(nil)}, lines: &lines{}}
		w.store.Put("config/x", []byte("1"))
		w.putServer("a", false)
		w.putServer("b", false)
		w.node = New(&Settings{VM: "vm-1", FailureDomain: "zone-1", DrainTime: drain}, Environment{
			Store: w.store, Clock: func() escrow.ClockReading { return escrow.ClockReading{} },
			ConfigPrefix: "config/", IsConfig: func(item store.Item) bool { return item.Key == "config/x" }, DecodeConfig: testConfig,
			EvacuatedDomain: func(key string) (string, bool) { return strings.CutPrefix(key, "config/evacuate/") },
			ServersPrefix:   "servers/", DecodeServer: decodeTestServer,
		}, event.New(w.lines, "p1", slog.LevelInfo, nil), "p1")
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		for _, f := range w.node.followers(others) {
			tasks.Go(func() { f.Run(ctx) })
		}
		time.Sleep(beforeFault)
		test(w)
		cancel()
		tasks.Wait()
	})
}

func decodeTestServer(item store.Item) (fleet.Entry, error) {
	e := fleet.Entry{}
	return e, json.Unmarshal(item.Value, &e)
}

func (w *followedWorld) putServer(id string, draining bool) {
	value, err := json.Marshal(fleet.Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "zone-" + id, Draining: draining})
	w.Assert(err, qt.IsNil)
	w.store.Put("servers/"+id, value)
}

// used says whether a server may get requests.
func (w *followedWorld) used(id string) bool {
	for _, s := range w.node.registry.View().ByService["engines"] {
		if s.ID == id {
			return !s.Ineligible()
		}
	}
	return false
}

// forEachPhase plays a test with a moment that falls on each part of the followers' cycles.
func forEachPhase(t *testing.T, test func(t *testing.T, phase time.Duration)) {
	for i := range phases {
		phase := time.Duration(i) * phaseStep
		t.Run(fmt.Sprint(phase), func(t *testing.T) { test(t, phase) })
	}
}

// Guards against requests to a server that leaves right after the end of a router's cut from the store.
func TestServerThatLeavesAfterACutIsOutInTime(t *testing.T) {
	const leavesAfter = 900 * time.Millisecond
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		withFollower(t, noOthers{}, func(w *followedWorld) {
			w.store.set(func() { w.store.cut = true })
			time.Sleep(8*time.Second + phase)
			w.store.set(func() { w.store.cut = false })
			time.Sleep(leavesAfter)
			w.store.Remove("servers/a")
			time.Sleep(max(drain, settled-leavesAfter))
			w.Assert(w.used("a"), qt.IsFalse)
			w.Assert(w.used("b"), qt.IsTrue)
		})
	})
}

// Guards against requests to a server that left during a cut: silence of old connections proves no outage.
func TestServerThatLeftDuringACutIsOutInTime(t *testing.T) {
	const (
		leavesAfter    = 2 * time.Second
		retransmission = 1500 * time.Millisecond
	)
	for name, others := range map[string]store.Relay{"reader": noOthers{}, "follower": silentOthers{}} {
		for link, trip := range map[string]time.Duration{"short": roundTrip, "long": 400 * time.Millisecond} {
			t.Run(name+"/"+link, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					withFollower(t, others, func(w *followedWorld) {
						w.store.set(func() { w.store.cut, w.store.deafWatches, w.store.trip = true, true, trip })
						time.Sleep(leavesAfter)
						w.store.Remove("servers/a")
						time.Sleep(9*time.Second + phase)
						w.store.set(func() { w.store.cut = false })
						time.Sleep(retransmission)
						w.store.set(func() { w.store.deafWatches = false })
						time.Sleep(settled - retransmission)
						w.Assert(w.used("a"), qt.IsFalse)
						w.Assert(w.used("b"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against one follower that takes each turn at a store which was away while others know nothing.
func TestAllIsKnownSoonAfterACutOverALongLink(t *testing.T) {
	const (
		trip     = 400 * time.Millisecond
		spacing  = 800 * time.Millisecond // of calls to a store that is away, at a follower
		poll     = 50 * time.Millisecond
		whole    = 2*trip + 2*poll // of a call with its connection
		allKnown = spacing + 2*(whole+poll)
	)
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		withFollower(t, silentOthers{}, func(w *followedWorld) {
			w.store.set(func() { w.store.cut, w.store.trip = true, trip })
			w.putServer("a", true)
			w.store.Put("config/x", []byte("2"))
			w.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
			time.Sleep(9*time.Second + phase)
			w.store.set(func() { w.store.cut = false })
			time.Sleep(allKnown)
			w.Check(w.used("a"), qt.IsFalse)
			w.Check(w.node.policy.Load().Version, qt.Equals, int64(2))
			w.Check(w.node.members.List(), qt.HasLen, 1)
		})
	})
}

// Guards against empty services after an outage: servers whose entries lapsed in it are used until they are back.
func TestServersThatLapsedInAnOutageStayInUse(t *testing.T) {
	outages := map[string]func(s *linkedStore, away bool){
		"cut":     func(s *linkedStore, away bool) { s.set(func() { s.cut = away }) },
		"refuses": func(s *linkedStore, away bool) { s.SetDown(away) },
	}
	const back = 1900 * time.Millisecond
	for outage, set := range outages {
		for name, others := range map[string]store.Relay{"reader": noOthers{}, "follower": silentOthers{}} {
			t.Run(outage+"/"+name, func(t *testing.T) {
				forEachPhase(t, func(t *testing.T, phase time.Duration) {
					withFollower(t, others, func(w *followedWorld) {
						set(w.store, true)
						time.Sleep(8*time.Second + phase)
						w.store.Remove("servers/a")
						set(w.store, false)
						for range back / phaseStep {
							time.Sleep(phaseStep)
							w.Assert(w.used("a"), qt.IsTrue)
						}
						w.putServer("a", false)
						time.Sleep(settled)
						w.Assert(w.used("a"), qt.IsTrue)
					})
				})
			})
		}
	}
}

// Guards against changes that are known late because calls run out of time one after the other.
func TestChangesAreKnownInTimeWhateverOtherCallsTake(t *testing.T) {
	for name, others := range map[string]store.Relay{"reader": noOthers{}, "follower": silentOthers{}} {
		t.Run(name, func(t *testing.T) {
			forEachPhase(t, func(t *testing.T, phase time.Duration) {
				withFollower(t, others, func(w *followedWorld) {
					w.store.set(func() { w.store.deafWatches = true })
					time.Sleep(phase)
					w.putServer("a", true)
					w.store.Put("config/x", []byte("2"))
					w.store.Put("config/evacuate/zone-b", []byte("{}"))
					w.store.Put(MemberPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1"}`))
					time.Sleep(min(drain, applied) - roundTrip)
					w.Assert(w.used("a"), qt.IsFalse)
					w.Assert(w.used("b"), qt.IsFalse, qt.Commentf("its domain is evacuated"))
					w.Assert(w.node.policy.Load().Version, qt.Equals, int64(2))
					time.Sleep(shared - min(drain, applied))
					w.Assert(w.node.members.List(), qt.HasLen, 1)
				})
			})
		})
	}
}

// Guards against checks over a full link that end the calls beside them, or take the store for away.
func TestChangesAreKnownOverASlowLink(t *testing.T) {
	forEachPhase(t, func(t *testing.T, phase time.Duration) {
		withFollower(t, noOthers{}, func(w *followedWorld) {
			w.store.set(func() { w.store.trip = 900 * time.Millisecond })
			time.Sleep(5*time.Second + phase)
			w.putServer("a", true)
			w.store.Put("config/x", []byte("2"))
			time.Sleep(min(drain, applied))
			w.Assert(w.used("a"), qt.IsFalse)
			w.Assert(w.node.policy.Load().Version, qt.Equals, int64(2))
			time.Sleep(10 * time.Second)
			unreachable := fmt.Sprintf(`"event":%d,`, event.StoreUnreachable)
			w.Assert(w.lines.text(), qt.Not(qt.Contains), unreachable)
		})
	})
}

// Guards against a router that stays with old knowledge while its link is too full for whole reads.
func TestChangesAreKnownWhereOnlyShortAnswersGetThrough(t *testing.T) {
	withFollower(t, noOthers{}, func(w *followedWorld) {
		w.store.SetDown(true)
		time.Sleep(8 * time.Second)
		w.store.set(func() { w.store.fullLink = true })
		w.store.SetDown(false)
		w.putServer("a", true)
		time.Sleep(settled)
		w.Assert(w.used("a"), qt.IsFalse)
	})
}

// calls is how many reads and watches the router has made.
func (s *linkedStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Guards against calls to the store in health beyond one confirmation of each prefix in its time.
func TestFollowingCostsLittleInHealth(t *testing.T) {
	withFollower(t, noOthers{}, func(w *followedWorld) {
		before := w.store.calls()
		time.Sleep(60 * time.Second)
		calls := w.store.calls() - before
		const most = 2*(60*10/12+1) + 60*10/23 + 2
		w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against paid calls to a store that refuses: one thing at a time is asked for.
func TestFollowingCostsLittleInAnOutage(t *testing.T) {
	withFollower(t, noOthers{}, func(w *followedWorld) {
		w.store.SetDown(true)
		before := w.store.calls()
		time.Sleep(60 * time.Second)
		calls := w.store.calls() - before
		const most = 60*10/6 + 10
		w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
	})
}

// Guards against a call for each change of entries that change all the time.
func TestEntriesThatChangeAllTheTimeCostLittle(t *testing.T) {
	for name, others := range map[string]store.Relay{"reader": noOthers{}, "follower": ignorantOthers{}} {
		t.Run(name, func(t *testing.T) {
			withFollower(t, others, func(w *followedWorld) {
				before := w.store.calls()
				for i := range 600 {
					w.putServer(fmt.Sprint("c", i), false)
					time.Sleep(100 * time.Millisecond)
				}
				calls := w.store.calls() - before
				const most = 2*(60*10/12+1) + 60*10/23 + 2 + 2*serversBurst
				w.Assert(calls <= most, qt.IsTrue, qt.Commentf("%d calls", calls))
				w.Assert(w.used("c590"), qt.IsTrue)
			})
		})
	}
}
