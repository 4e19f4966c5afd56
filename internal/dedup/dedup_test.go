package dedup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

const retention = time.Minute

var start = time.Unix(1_000_000, 0)

func router(n int) id.Router {
	return id.Router{VM: id.VM(fmt.Sprintf("vm-%d", n)), Incarnation: 1}
}

func TestHashKeepsAccountsApart(t *testing.T) {
	qt.Assert(t, dedup.Hash("ab", "c"), qt.Not(qt.Equals), dedup.Hash("a", "bc"))
	qt.Assert(t, dedup.Hash("a", "k"), qt.Not(qt.Equals), dedup.Hash("b", "k"))
	qt.Assert(t, dedup.Hash("a", "k"), qt.Equals, dedup.Hash("a", "k"))
	qt.Assert(t, dedup.Hash("a", ""), qt.HasLen, 32)
}

// Callers send a key to several routers at once and again after a death. What
// they see: one run. Registrations and replacements come in any order; the oracle
// keeps for each key who serves it, and knows what a full directory dropped.
func TestDirectoryHasOneServingRouter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		limit := rapid.IntRange(2, 6).Draw(t, "limit")
		directory := dedup.NewDirectory(now, retention, limit)
		oracle := map[dedup.Key]dedup.Entry{} // every registration ever
		draw := func(t *rapid.T) (dedup.Key, id.Router) {
			return dedup.Key(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")),
				router(rapid.IntRange(0, 2).Draw(t, "router"))
		}
		serial := rapid.Uint64Range(0, 1)
		owner := rapid.Custom(func(t *rapid.T) dedup.Owner {
			_, r := draw(t)
			return dedup.Owner{Router: r, Serial: serial.Draw(t, "serial")}
		})
		fresh := func(key dedup.Key) (dedup.Entry, bool) {
			entry, found := oracle[key]
			return entry, found && now.Sub(entry.At) < retention
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				key, r := draw(t)
				was, known := fresh(key)
				entry, found := directory.Register(now, dedup.Entry{Key: key, Serving: r, Serial: serial.Draw(t, "serial")})
				if found && (!known || entry != was) {
					t.Fatalf("%s: found %v, registered %v", key, entry, was)
				}
				if !found && known && directory.Warm(now) {
					t.Fatalf("%s: not found in a warm directory", key)
				}
				if !found {
					oracle[key] = entry
				}
			},
			"replace": func(t *rapid.T) {
				key, to := draw(t)
				next := dedup.Entry{Key: key, Serving: to, Serial: serial.Draw(t, "serial")}
				ended := rapid.SliceOfN(owner, 0, 2).Draw(t, "ended")
				_, held := directory.Lookup(now, key)
				was, known := fresh(key)
				entry, done := directory.Replace(now, next, ended)
				want, may := replaced(now, was, held, next, ended)
				if entry != want || done != may {
					t.Fatalf("%s served by %v: %v, %v; want %v, %v", key, was, entry, done, want, may)
				}
				if !held && known && directory.Warm(now) {
					t.Fatalf("%s: not found in a warm directory", key)
				}
				oracle[key] = entry
				if again, repeated := directory.Replace(now, next, nil); again != entry || repeated != done {
					t.Fatalf("%s: repeated: %v, %v", key, again, repeated)
				}
			},
			"done": func(t *rapid.T) {
				key, r := draw(t)
				if entry, _ := directory.Lookup(now, key); directory.Done(key, r) && entry.Serving == r {
					entry.Done = true
					oracle[key] = entry
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
				directory.Expire(now)
			},
			"": func(t *rapid.T) {
				if directory.Len() > limit {
					t.Fatalf("%d keys kept", directory.Len())
				}
			},
		})
	})
}

// replaced is what Replace must give for a key that was served as was, if held.
func replaced(now time.Time, was dedup.Entry, held bool, next dedup.Entry, ended []dedup.Owner) (dedup.Entry, bool) {
	switch {
	case !held:
		next.At = now
		return next, true
	case was.Owner() == next.Owner():
		return was, true
	case !slices.Contains(ended, was.Owner()):
		return was, false
	}
	was.Serving, was.Serial, was.Done = next.Serving, next.Serial, false
	return was, true
}

func TestDirectoryStartsCold(t *testing.T) {
	directory := dedup.NewDirectory(start, retention, 1)
	qt.Assert(t, directory.Warm(start.Add(retention-1)), qt.IsFalse)
	later := start.Add(retention)
	qt.Assert(t, directory.Warm(later), qt.IsTrue)
	directory.Register(later, dedup.Entry{Key: "a"})
	directory.Register(later, dedup.Entry{Key: "b"}) // drops a
	qt.Assert(t, directory.Warm(later.Add(retention-1)), qt.IsFalse)
	qt.Assert(t, directory.Warm(later.Add(retention)), qt.IsTrue)
}

func TestTable(t *testing.T) {
	table := dedup.NewTable[string](retention, 10)
	status, err := table.Begin(start, "k", "r1", 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.State, qt.Equals, dedup.StateNew)
	_, err = table.Begin(start, "k", "r2", 2)
	qt.Assert(t, err, qt.ErrorIs, dedup.ErrKeyReused)

	status, err = table.Begin(start, "k", "r2", 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, dedup.Status[string]{State: dedup.StateInProgress, Request: "r1", BodyHash: 1})
	waiting, _ := table.Wait("k")
	qt.Assert(t, waiting, qt.Equals, 1)
	table.Leave("k")

	// In progress outlives the retention; another request can't finish it.
	table.Expire(start.Add(2 * retention))
	qt.Assert(t, table.Finish(start, "k", "r2", "wrong", 5), qt.IsFalse)
	qt.Assert(t, table.Finish(start, "k", "r1", "answer", 6), qt.IsTrue)
	qt.Assert(t, table.Finish(start, "k", "r1", "other", 5), qt.IsFalse)
	status, _ = table.Lookup("k")
	qt.Assert(t, status, qt.Equals, dedup.Status[string]{
		State: dedup.StateFinished, Request: "r1", BodyHash: 1, Answer: "answer", Kept: true,
	})
	qt.Assert(t, table.Fail("k", "r1"), qt.IsFalse)

	table.Expire(start.Add(retention))
	qt.Assert(t, table.Len(), qt.Equals, 0)
	qt.Assert(t, table.Bytes(), qt.Equals, 0)
}

func TestTableFail(t *testing.T) {
	table := dedup.NewTable[string](retention, 10)
	table.Begin(start, "k", "r1", 1)
	qt.Assert(t, table.Fail("k", "r1"), qt.IsTrue)
	status, _ := table.Begin(start, "k", "r2", 1)
	qt.Assert(t, status.State, qt.Equals, dedup.StateNew)
	qt.Assert(t, status.Request, qt.Equals, id.Request("r2"))
}

// Kept answers take too much room. The longest unused one is dropped; its retry
// still finds the first run's request id, so that it isn't billed again.
func TestTableDropsAnswersNotRequests(t *testing.T) {
	table := dedup.NewTable[string](retention, 10)
	for i, key := range []dedup.Key{"a", "b", "c"} {
		table.Begin(start, key, id.Request(key), 1)
		if i == 2 {
			table.Lookup("a") // used last
		}
		table.Finish(start, key, id.Request(key), "answer", 5)
	}
	table.Begin(start, "large", "large", 1)
	table.Finish(start, "large", "large", "a large answer", 11)
	for key, kept := range map[dedup.Key]bool{"a": true, "b": false, "c": true, "large": false} {
		status, found := table.Lookup(key)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, status.Kept, qt.Equals, kept, qt.Commentf("%s", key))
		qt.Assert(t, status.Request, qt.Equals, id.Request(key))
	}
	qt.Assert(t, table.Bytes(), qt.Equals, 10)
}

func BenchmarkRegister(b *testing.B) {
	directory := dedup.NewDirectory(start, retention, 100_000)
	for n := 0; b.Loop(); n++ {
		key := dedup.Hash("account", fmt.Sprint(n))
		directory.Register(start, dedup.Entry{Key: key, Request: "r", Serving: router(1)})
	}
}
