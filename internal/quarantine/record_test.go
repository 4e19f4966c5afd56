package quarantine

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Guards against a record that another router reads differently, or that is damaged.
func TestRecordIsReadAsWritten(t *testing.T) {
	report := Report{
		Serial: 9,
		Exchanges: []Exchange{
			{Server: "i-1@10.0.0.1:80@5", Features: []Feature{Part("t"), Part("g"), Content(0xfedcba9876543210)}, Late: true},
			content(1, "i-2"),
		},
		Cleared:   []Clearance{{Feature: Part("t"), Servers: []string{"a", "b"}, Whole: true}, {Feature: Content(3), Servers: []string{"c"}}},
		Survivors: []string{"i-3"},
	}
	item := store.Item{Key: RecordKey("r"), Value: NewRecord("vm-1", report).Encode()}
	qt.Assert(t, IsRecord(item.Key), qt.IsTrue)
	vm, read, err := DecodeRecord(item)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vm, qt.Equals, "vm-1")
	qt.Assert(t, read, qt.DeepEquals, report)
	for _, damaged := range []string{"", "vm-1", `{"crashes":[{"content":"x","server":"a"}]}`, `{"crashes":[{"content":"1"}]}`,
		`{"crashes":[{"content":"1","parts":["x"],"server":"a"}]}`, `{"cleared":[{"servers":["a"]}]}`} {
		_, _, err := DecodeRecord(store.Item{Value: []byte(damaged)})
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", damaged))
	}
}

// Guards against a record of a router of an earlier version that can't be read, or the other way round.
func TestRecordOfEarlierVersionIsRead(t *testing.T) {
	earlier := `{"router":"vm-1","crashes":[{"content":"7","server":"a"}]}`
	_, read, err := DecodeRecord(store.Item{Value: []byte(earlier)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, Report{Exchanges: []Exchange{content(7, "a")}})
	qt.Assert(t, string(NewRecord("vm-1", read).Encode()), qt.Equals, earlier)
}

// Guards against a router that reads more of another's record than it would write.
func TestLongRecordIsCut(t *testing.T) {
	var report Report
	for i := range 2 * maxPublished {
		report.Exchanges = append(report.Exchanges, content(uint64(i), fmt.Sprint("s", i)))
	}
	_, read, err := DecodeRecord(store.Item{Value: NewRecord("vm-1", report).Encode()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read.Exchanges, qt.HasLen, maxPublished)
}
