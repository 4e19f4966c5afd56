package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
)

// testQuarantine returns a quarantine and the clock that it reads.
func testQuarantine() (*Quarantine, *time.Time) {
	now := time.Unix(1000, 0)
	return New(func() time.Time { return now }), &now
}

// Guards against a request that crashes one server after another.
func TestCrashingContentIsQuarantined(t *testing.T) {
	q, now := testQuarantine()
	qt.Assert(t, q.RecordCrash(Crash{7, "a"}), qt.IsFalse)
	qt.Assert(t, q.Contains(7), qt.IsFalse, qt.Commentf("a single crash may be a network fault"))
	qt.Assert(t, q.RecordCrash(Crash{7, "b"}), qt.IsTrue)
	qt.Assert(t, q.Contains(7), qt.IsTrue)
	qt.Assert(t, q.Servers(7), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, q.Contains(8), qt.IsFalse)
	*now = now.Add(suspectTTL)
	qt.Assert(t, q.Contains(7), qt.IsFalse)
	qt.Assert(t, q.RecordCrash(Crash{7, "c"}), qt.IsFalse, qt.Commentf("the earlier crashes are out of date"))
}

// Guards against a sound request that is refused since one server's connections broke twice.
func TestOneServerCrashesOnce(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	qt.Assert(t, q.RecordCrash(Crash{7, "a"}), qt.IsFalse)
	qt.Assert(t, q.Merge([]Crash{{7, "a"}}), qt.HasLen, 0)
	qt.Assert(t, q.Contains(7), qt.IsFalse)
}

// Guards against crashes at different routers that nobody adds up.
func TestCrashesOfAllRoutersCount(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	qt.Assert(t, q.Merge([]Crash{{8, "b"}, {7, "b"}}), qt.DeepEquals, []uint64{7})
	qt.Assert(t, q.Merge([]Crash{{8, "b"}, {7, "b"}}), qt.HasLen, 0, qt.Commentf("a record read again is no news"))
	own, _ := q.OwnCrashes()
	qt.Assert(t, own, qt.DeepEquals, []Crash{{7, "a"}}, qt.Commentf("a router reports only what it saw"))
}

// Guards against a sound request that stays refused after a network fault broke its exchanges.
func TestCrashOfServerThatSurvivedIsDismissed(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	q.Merge([]Crash{{7, "b"}})
	_, before := q.OwnCrashes()
	fateOf := func(server string, _ time.Time) fleet.Fate {
		if server == "a" {
			return fleet.FateSurvived
		}
		return fleet.FateUnknown
	}
	qt.Assert(t, q.DismissSurvived(fateOf), qt.DeepEquals, []uint64{7})
	qt.Assert(t, q.Contains(7), qt.IsFalse)
	own, after := q.OwnCrashes()
	qt.Assert(t, own, qt.HasLen, 0)
	qt.Assert(t, after != before, qt.IsTrue, qt.Commentf("the record has to be written again"))
	qt.Assert(t, q.Merge([]Crash{{7, "a"}}), qt.HasLen, 0, qt.Commentf("another router's old report"))
	qt.Assert(t, q.Merge([]Crash{{7, "c"}}), qt.DeepEquals, []uint64{7})
}

// Guards against a check of all crashes against all servers each second, long after a fault that
// ended many servers.
func TestFateOfServerIsAskedUntilItIsKnown(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	q.RecordCrash(Crash{7, "b"})
	asked := 0
	fate := fleet.FateUnknown
	fateOf := func(string, time.Time) fleet.Fate {
		asked++
		return fate
	}
	q.DismissSurvived(fateOf)
	qt.Assert(t, asked, qt.Equals, 2)
	fate = fleet.FateEnded
	qt.Assert(t, q.DismissSurvived(fateOf), qt.HasLen, 0)
	qt.Assert(t, asked, qt.Equals, 4)
	q.DismissSurvived(fateOf)
	qt.Assert(t, asked, qt.Equals, 4)
	qt.Assert(t, q.Contains(7), qt.IsTrue)
}

// Guards against a sound request that is refused since it ran on servers that another one crashed.
func TestSuccessClearsContent(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	q.RecordSuccess(7)
	qt.Assert(t, q.RecordCrash(Crash{7, "b"}), qt.IsFalse)
	qt.Assert(t, q.Merge([]Crash{{7, "a"}}), qt.HasLen, 0)
}

// Guards against unbounded memory and records when many connections break at once and many harmless
// requests become suspects.
func TestSuspectsAreBounded(t *testing.T) {
	q, now := testQuarantine()
	for content := range uint64(2 * maxSuspects) {
		*now = now.Add(time.Millisecond)
		q.RecordCrash(Crash{content, "a"})
	}
	qt.Assert(t, len(q.suspects) <= maxSuspects, qt.IsTrue)
	own, _ := q.OwnCrashes()
	qt.Assert(t, own, qt.HasLen, maxPublished)
	qt.Assert(t, own[0].Content, qt.Equals, uint64(2*maxSuspects-1), qt.Commentf("the latest come first"))
}

// Guards against a change that no other router is told of.
func TestChangesAreSignalled(t *testing.T) {
	q, _ := testQuarantine()
	q.RecordCrash(Crash{7, "a"})
	q.RecordCrash(Crash{7, "b"})
	select {
	case <-q.Changed():
	default:
		t.Fatal("no signal")
	}
	q.Merge([]Crash{{7, "c"}})
	select {
	case <-q.Changed():
		t.Fatal("signal for what another router saw")
	default:
	}
}

// Guards against a record that another router reads differently, or that is damaged.
func TestRecordIsReadAsWritten(t *testing.T) {
	crashes := []Crash{{Content: 0xfedcba9876543210, Server: "i-1@10.0.0.1:80@5"}, {Content: 1, Server: "i-2"}}
	item := store.Item{Key: RecordKey("r"), Value: NewRecord("vm-1", crashes).Encode()}
	qt.Assert(t, IsRecord(item.Key), qt.IsTrue)
	vm, read, err := DecodeRecord(item)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vm, qt.Equals, "vm-1")
	qt.Assert(t, read, qt.DeepEquals, crashes)
	for _, damaged := range []string{"", "vm-1", `{"crashes":[{"content":"x","server":"a"}]}`, `{"crashes":[{"content":"1"}]}`} {
		_, _, err := DecodeRecord(store.Item{Value: []byte(damaged)})
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", damaged))
	}
}

// Guards against a router that reads more of another's record than it would write.
func TestLongRecordIsCut(t *testing.T) {
	var crashes []Crash
	for i := range 2 * maxPublished {
		crashes = append(crashes, Crash{uint64(i), fmt.Sprint("s", i)})
	}
	_, read, err := DecodeRecord(store.Item{Value: NewRecord("vm-1", crashes).Encode()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.HasLen, maxPublished)
}
