package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	testService = "model"
	testMaxAge  = 3 * time.Second
)

// world holds a store's record of one service, the servers that are registered there, and routers that
// learn of both at different times.
type world struct {
	t        *rapid.T
	now      time.Time
	revision int64     // number of the last write
	era      store.Era // rises when the store comes back from a copy
	item     *store.Item
	listed   map[string]bool // versions of registered servers
	routers  []*testRouter
	// begun holds when a stream last began at each version, by any router.
	begun map[string]time.Time
}

// testRouter is a router with what it last read.
type testRouter struct {
	*Tracker
	listed []string
	era    store.Era // of the last read
}

func newWorld(t *rapid.T, routers int) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), listed: map[string]bool{"v1": true}, begun: make(map[string]time.Time)}
	for range routers {
		w.routers = append(w.routers, w.newRouter())
	}
	return w
}

func (w *world) newRouter() *testRouter {
	return &testRouter{Tracker: New(testMaxAge, func() time.Time { return w.now })}
}

// read lets a router read the store's present state.
func (w *world) read(r *testRouter) {
	r.ObserveEra(w.era)
	if w.era > r.era {
		r.DropMissing(func(string) bool { return w.item != nil })
		r.era = w.era
	}
	if w.item != nil {
		_, _, err := r.Apply(*w.item)
		if err != nil {
			w.t.Fatal(err)
		}
	}
	r.Confirm(w.now)
	r.listed = nil
	for version := range w.listed {
		r.listed = append(r.listed, version)
	}
	slices.Sort(r.listed)
}

// write lets a router write a record, if it wants to and nobody else did meanwhile.
func (w *world) write(r *testRouter) {
	if len(r.listed) == 0 {
		return
	}
	write := r.NextWrite(map[string][]string{testService: r.listed}, len(w.routers))
	if write == nil {
		return
	}
	current := store.Revision(0)
	if w.item != nil {
		current = w.item.Revision
	}
	if write.Revision != current {
		return // conflict
	}
	w.revision++
	w.item = &store.Item{Key: write.Record.Key(), Value: write.Record.Encode(), Revision: store.NewRevision(w.era, w.revision)}
	_, _, err := r.Apply(*w.item)
	if err != nil {
		w.t.Fatal(err)
	}
}

// begin lets a router begin a stream at one of the versions that it knows.
func (w *world) begin(r *testRouter, version string) {
	if !slices.Contains(r.listed, version) || r.Age() > RetireAfter-streamLifetime {
		return // servers that nobody else has listed for so long are gone
	}
	if ok, _ := r.MayBegin(testService, version); ok {
		w.begun[version] = w.now
	}
}

// checkSole checks that a router which relies on a single version is right for all streams that can
// still be resumed.
func (w *world) checkSole(r *testRouter) {
	sole, ok := r.Sole(testService)
	if !ok {
		return
	}
	for version, at := range w.begun {
		if version != sole && w.now.Sub(at) < streamLifetime {
			w.t.Fatalf("a router relies on %s, a stream began at %s %v ago", sole, version, w.now.Sub(at))
		}
	}
}

// streamLifetime is the longest time for which a stream may be resumed.
const streamLifetime = time.Minute

// Guards against a router that resumes a stream at the only version it knows while the stream began at
// another one, whatever routers know, when they start and when versions come and go.
func TestSoleVersionIsThatOfAllStreams(t *testing.T) {
	versions := []string{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		for range steps {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 100, 400, 1500, 3100, 40_000}).Draw(t, "ms")) * time.Millisecond)
			router := rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")
			version := rapid.SampledFrom(versions).Draw(t, "version")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				w.read(w.routers[router])
			case 2, 3, 4:
				w.read(w.routers[router])
				w.write(w.routers[router])
				w.now = w.now.Add(time.Duration(len(w.routers)) * spreadPerRouter)
				w.write(w.routers[router])
			case 5, 6:
				w.begin(w.routers[router], version)
			case 7:
				w.listed[version] = true
			case 8:
				delete(w.listed, version)
			case 9:
				w.routers[router] = w.newRouter()
			}
			for _, r := range w.routers {
				w.checkSole(r)
			}
		}
	})
}

// tracker returns a tracker with a record, fresh at the returned clock.
func tracker(versions ...string) (*Tracker, *time.Time) {
	now := time.Unix(1_000_000, 0)
	t := New(testMaxAge, func() time.Time { return now })
	record := Record{Service: testService, Versions: versions, Changes: 1}
	if _, _, err := t.Apply(store.Item{Key: record.Key(), Value: record.Encode(), Revision: 1}); err != nil {
		panic(err)
	}
	t.Confirm(now)
	return t, &now
}

// Guards against streams at a new version while another router may not know it yet.
func TestNewVersionIsUsedOnlyOnceAllRoutersKnowIt(t *testing.T) {
	c := qt.New(t)
	tr, now := tracker("v1")
	record := Record{Service: testService, Versions: []string{"v1", "v2"}, Changes: 2}
	_, changed, err := tr.Apply(store.Item{Key: record.Key(), Value: record.Encode(), Revision: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	ok, _ := tr.MayBegin(testService, "v1")
	c.Assert(ok, qt.IsTrue)
	ok, wait := tr.MayBegin(testService, "v2")
	c.Assert(ok, qt.IsFalse)
	c.Assert(wait, qt.Equals, tr.AdmissionDelay())
	version, ok := tr.Sole(testService)
	c.Assert(fmt.Sprint(version, ok), qt.Equals, "v1true", qt.Commentf("no stream can have begun at v2"))
	*now = now.Add(tr.AdmissionDelay())
	ok, _ = tr.MayBegin(testService, "v2")
	c.Assert(ok, qt.IsTrue)
	_, ok = tr.Sole(testService)
	c.Assert(ok, qt.IsFalse)
}

// Guards against reliance on records that are too old to show a new version.
func TestOldRecordsAreNotReliedOn(t *testing.T) {
	c := qt.New(t)
	tr, now := tracker("v1")
	c.Assert(tr.NeedsRecords(testService), qt.IsFalse)
	*now = now.Add(testMaxAge + 1)
	_, ok := tr.Sole(testService)
	c.Assert(ok, qt.IsFalse)
	c.Assert(tr.NeedsRecords(testService), qt.IsTrue)
	ok, _ = tr.MayBegin(testService, "v1")
	c.Assert(ok, qt.IsTrue, qt.Commentf("new streams go on beginning"))
}

// Guards against a version that is retired while streams at it may be resumed, also by a router that
// knew nothing of the servers for a while.
func TestVersionIsRetiredOnlyLongAfterItsLastServer(t *testing.T) {
	c := qt.New(t)
	tr, now := tracker("v1", "v2")
	listed := map[string][]string{testService: {"v2"}}
	step := func(d time.Duration) *Write {
		*now = now.Add(d)
		tr.Confirm(*now)
		return tr.NextWrite(listed, 1)
	}
	for elapsed := time.Duration(0); elapsed < RetireAfter; elapsed += time.Second {
		c.Assert(step(time.Second), qt.IsNil, qt.Commentf("after %v", elapsed))
	}
	c.Assert(step(RetireAfter), qt.IsNil, qt.Commentf("the list was unknown meanwhile"))
	var write *Write
	for waited := time.Duration(0); write == nil; waited += time.Second {
		c.Assert(waited <= RetireAfter+maxSpread, qt.IsTrue)
		write = step(time.Second)
	}
	c.Assert(write.Record.Versions, qt.DeepEquals, []string{"v2"})
	c.Assert(write.Revision, qt.Equals, store.Revision(1))
}
