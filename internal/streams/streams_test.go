package streams

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Guards against a record that is lost between two uses of a stream that is resumed again and again.
func TestRecordIsKeptWhileItIsUsed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	table := NewTable(func() time.Time { return now })
	key := KeyOf("model", "attempt")
	table.Put(Record{key, "v1"})
	for i := range 10 {
		now = now.Add(retention - time.Second)
		table.Put(Record{Key(i), "v2"}) // makes the table drop what is old
		version, found := table.Find(key)
		c.Assert(found, qt.IsTrue, qt.Commentf("use %d", i))
		c.Assert(version, qt.Equals, "v1")
	}
	for i := range 3 {
		now = now.Add(retention)
		table.Put(Record{Key(100 + i), "v2"})
	}
	_, found := table.Find(key)
	c.Assert(found, qt.IsFalse)
}

// Guards against memory that grows with the number of streams.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(nil)
	for i := range 3 * maxRecords {
		table.Put(Record{Key(i), "v1"})
	}
	qt.Assert(t, table.Len() <= 2*maxRecords, qt.IsTrue, qt.Commentf("%d records", table.Len()))
}

// Guards against a record that changes the version of a known stream.
func TestVersionOfStreamNeverChanges(t *testing.T) {
	table := NewTable(nil)
	table.Put(Record{1, "v1"})
	table.Put(Record{1, "v2"})
	version, _ := table.Find(1)
	qt.Assert(t, version, qt.Equals, "v1")
}

// testFleet returns routers in three failure domains.
func testFleet(size int) []fleet.Member {
	var members []fleet.Member
	for i := range size {
		members = append(members, fleet.Member{Name: fmt.Sprint("vm-", i), PeerAddress: fmt.Sprint("10.0.0.", i, ":1"), Domain: fmt.Sprint("domain-", i%3), Capacity: 1})
	}
	return members
}

// without returns the members for which gone is false.
func without(members []fleet.Member, gone func(fleet.Member) bool) []fleet.Member {
	var left []fleet.Member
	for _, m := range members {
		if !gone(m) {
			left = append(left, m)
		}
	}
	return left
}

// shareFound returns the share of streams whose record is found after some routers died together. The
// routers that look for it know the members before, or those that are left.
func shareFound(members []fleet.Member, dead func(fleet.Member) bool, seen []fleet.Member) float64 {
	const streams = 2000
	slots, seenSlots := Slots(members), Slots(seen)
	found := 0
	for i := range streams {
		key := KeyOf("model", fmt.Sprint("attempt-", i))
		kept := make(map[string]bool)
		for _, m := range Holders(slots, ShardOf(key), HolderCount) {
			kept[m.Name] = !dead(m)
		}
		for _, m := range Holders(seenSlots, ShardOf(key), AskCount) {
			if kept[m.Name] {
				found++
				break
			}
		}
	}
	return float64(found) / streams
}

// Guards against streams that can't be resumed because routers died, among them the one that relayed
// them: a failure domain, a third of the fleet, and beside it routers that have just joined.
func TestRecordsOutlastDeathsOfRouters(t *testing.T) {
	for _, size := range []int{9, 100, 195} {
		members := testFleet(size)
		rng := rand.New(rand.NewPCG(1, uint64(size)))
		third := make(map[string]bool)
		for _, i := range rng.Perm(size)[:size/3] {
			third[members[i].Name] = true
		}
		joined := append(testFleet(size), fleet.Member{Name: "new", PeerAddress: "10.0.1.1:1", Domain: "domain-0", Capacity: 1})
		for name, test := range map[string]struct {
			dead func(fleet.Member) bool
			seen []fleet.Member
		}{
			"failure domain":         {func(m fleet.Member) bool { return m.Domain == "domain-1" }, members},
			"third, known":           {func(m fleet.Member) bool { return third[m.Name] }, without(members, func(m fleet.Member) bool { return third[m.Name] })},
			"third, not known":       {func(m fleet.Member) bool { return third[m.Name] }, members},
			"third, and one joined":  {func(m fleet.Member) bool { return third[m.Name] }, joined},
			"nobody, and one joined": {func(fleet.Member) bool { return false }, joined},
		} {
			share := shareFound(members, test.dead, test.seen)
			t.Logf("%d routers, %s: %.3f found", size, name, share)
			qt.Check(t, share >= minFoundShare, qt.IsTrue, qt.Commentf("%d routers, %s: %v found", size, name, share))
		}
	}
}

// minFoundShare is the share of records that have to be found.
const minFoundShare = 0.9

// Guards against connections that grow with the fleet.
func TestHoldersAreFewInLargeFleets(t *testing.T) {
	for _, size := range []int{100, 195, 440} {
		qt.Check(t, len(Slots(testFleet(size))), qt.Equals, minSlots)
	}
	qt.Check(t, len(Slots(testFleet(1000))), qt.Equals, 1000/routersPerSlot)
}
