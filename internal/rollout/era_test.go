package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/store"
)

// era1 returns the record that the store has in its first era after it came back from a copy.
func era1(number int64, record Record) store.Item {
	return store.Item{Key: record.Key(), Value: record.Encode(), Revision: store.NewRevision(1, number)}
}

// Guards against a stream that is joined from two versions after the store came back from a copy without the second one
// and all routers that knew of it have died: the others take it up at the only version that the copy shows.
func TestVersionOfCopyIsNotSoleForRoutersStartedSince(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	started := New(testMaxAge, func() time.Time { return now })
	apply := func(tracker *Tracker, item store.Item) {
		_, _, err := tracker.Apply(item)
		c.Assert(err, qt.IsNil)
		tracker.Confirm(now)
	}
	isSole := func(tracker *Tracker) bool {
		_, ok := tracker.Sole(testService)
		return ok
	}
	copied := Record{Service: testService, Versions: []string{"v1"}, Changes: 1}
	apply(started, era1(5, copied))
	c.Assert(isSole(started), qt.IsFalse)
	c.Assert(started.NeedsRecords(testService), qt.IsTrue, qt.Commentf("streams that begin now must be known to others"))
	ok, _ := started.MayBegin(testService, "v1")
	c.Assert(ok, qt.IsTrue)

	added := Record{Service: testService, Versions: []string{"v1", "v2"}, Changes: 2}
	apply(started, era1(6, added))
	c.Assert(isSole(started), qt.IsFalse, qt.Commentf("the second version may have been in use before the copy"))

	lived := New(testMaxAge, func() time.Time { return now })
	apply(lived, store.Item{Key: copied.Key(), Value: copied.Encode(), Revision: 5})
	c.Assert(isSole(lived), qt.IsTrue)
	apply(lived, era1(5, copied))
	c.Assert(isSole(lived), qt.IsFalse, qt.Commentf("another router may have admitted a version since the copy, and may not reach the store"))
}

// Guards against streams that can't go on for good after a return of the store: once all streams from before have ended,
// the record is confirmed in the new era, and routers that start later rely on it at once.
func TestVersionsAreConfirmedInNewEra(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	tracker := New(testMaxAge, func() time.Time { return now })
	_, _, err := tracker.Apply(era1(5, Record{Service: testService, Versions: []string{"v1"}, Changes: 1}))
	c.Assert(err, qt.IsNil)
	listed := map[string][]string{testService: {"v1"}}
	next := func() *Write {
		tracker.Confirm(now)
		tracker.NextWrite(listed, 1) // draws the time of the write
		now = now.Add(maxSpread)
		tracker.Confirm(now)
		return tracker.NextWrite(listed, 1)
	}
	c.Assert(next(), qt.IsNil)
	now = now.Add(RetireAfter)
	write := next()
	c.Assert(write, qt.Not(qt.IsNil))
	c.Assert(write.Record.Versions, qt.DeepEquals, []string{"v1"})
	started := New(testMaxAge, func() time.Time { return now })
	for _, router := range []*Tracker{tracker, started} {
		_, _, err = router.Apply(era1(9, write.Record))
		c.Assert(err, qt.IsNil)
		router.Confirm(now)
		version, ok := router.Sole(testService)
		c.Assert(fmt.Sprint(version, ok), qt.Equals, "v1true")
	}
	c.Assert(next(), qt.IsNil, qt.Commentf("it is written once"))
}

// returnFromCopy makes the store lose what was written since the copy. Routers notice it with their next read.
func (w *world) returnFromCopy(copied *store.Item, number int64) {
	w.era++
	w.revision, w.item = number, nil
	if copied != nil {
		item := *copied
		item.Revision = store.NewRevision(w.era, copied.Revision.Number())
		w.item = &item
	}
}

// Guards against streams joined from two versions in any order of releases, deaths of single routers and of all, cuts
// from the store, and returns of the store from a copy.
func TestSoleVersionIsThatOfAllStreamsThoughStoreLosesWrites(t *testing.T) {
	versions := []string{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 5).Draw(t, "routers"))
		copied, number := w.item, w.revision
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 100, 400, 1500, 3100, 40_000, 300_000}).Draw(t, "ms")) * time.Millisecond)
			r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
			version := rapid.SampledFrom(versions).Draw(t, "version")
			switch rapid.SampledFrom([]string{"read", "all read", "write", "write", "begin", "begin", "release", "leave", "copy", "return", "kill", "kill all"}).Draw(t, "action") {
			case "read":
				w.read(r)
			case "all read":
				for _, r := range w.routers {
					w.read(r)
				}
			case "write":
				w.read(r)
				w.write(r)
				w.now = w.now.Add(time.Duration(len(w.routers)) * spreadPerRouter)
				w.write(r)
			case "begin":
				w.begin(r, version)
			case "release":
				w.listed[version] = true
			case "leave":
				delete(w.listed, version)
			case "copy":
				copied, number = w.item, w.revision
			case "return":
				w.returnFromCopy(copied, number)
				copied, number = w.item, w.revision
			case "kill":
				w.restart(r)
			case "kill all":
				for _, r := range w.routers {
					w.restart(r)
				}
			}
			for _, r := range w.routers {
				w.checkSole(r)
			}
		}
	})
}

// restart replaces a router's process.
func (w *world) restart(r *testRouter) {
	*r = *w.newRouter()
}
