package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

var (
	ours   = dedup.Owner{Router: id.Router{VM: "entry-1", Incarnation: 1}, Serial: 1}
	theirs = dedup.Owner{Router: id.Router{VM: "entry-2", Incarnation: 1}, Serial: 1}
	at     = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
)

// A key is claimed by one admission; others find it claimed. Only the admission
// that is named may lose it, only its owner may give it up, and nobody may once the
// call is done: else two admissions would run the call.
func TestOneOwner(t *testing.T) {
	claimed := Claim{Key: "k", Owner: ours, BodyHash: 7, At: at}
	for _, test := range []struct {
		name    string
		ops     []Op
		owner   dedup.Owner
		gone    bool
		changed bool
	}{
		{name: "second claim", ops: []Op{Claim{Key: "k", Owner: theirs, At: at}}, owner: ours},
		{name: "same claim again", ops: []Op{claimed}, owner: ours},
		{name: "takeover of the owner", ops: []Op{Takeover{Key: "k", Old: ours, New: theirs, At: at}}, owner: theirs, changed: true},
		{name: "takeover of another", ops: []Op{Takeover{Key: "k", Old: theirs, New: theirs, At: at}}, owner: ours},
		{name: "release by the owner", ops: []Op{Release{Key: "k", Owner: ours}}, gone: true, changed: true},
		{name: "release by another", ops: []Op{Release{Key: "k", Owner: theirs}}, owner: ours},
		{name: "release when done", ops: []Op{Finish{Key: "k", Owner: ours}, Release{Key: "k", Owner: ours}}, owner: ours, changed: true},
		{name: "takeover when done", ops: []Op{Finish{Key: "k", Owner: ours}, Takeover{Key: "k", Old: ours, New: theirs, At: at}}, owner: ours, changed: true},
		{name: "finish by another", ops: []Op{Finish{Key: "k", Owner: theirs}}, owner: ours},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := Decode(nil)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Apply(at, time.Hour, []Op{claimed}), qt.IsTrue)
			c.Assert(s.Apply(at, time.Hour, test.ops), qt.Equals, test.changed)
			entry, found := s.Entries["k"]
			c.Assert(found, qt.Equals, !test.gone)
			c.Assert(entry.Owner, qt.Equals, test.owner)
		})
	}
}

// A claim is kept for its retention, and dropped by the first change after it.
func TestRetention(t *testing.T) {
	c := qt.New(t)
	s, err := Decode(nil)
	c.Assert(err, qt.IsNil)
	s.Apply(at, time.Hour, []Op{Claim{Key: "old", Owner: ours, At: at}})
	s.Apply(at.Add(time.Hour-1), time.Hour, []Op{Claim{Key: "a", Owner: ours, At: at}})
	c.Assert(s.Entries, qt.HasLen, 2)
	s.Apply(at.Add(time.Hour), time.Hour, []Op{Claim{Key: "b", Owner: ours, At: at.Add(time.Hour)}})
	c.Assert(s.Entries, qt.HasLen, 1)
}
