package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestEntryAnswerIsCachedForItsTTL(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var asked []string
	down := false
	fetch := func(router string) (EntryAnswer, error) {
		asked = append(asked, router)
		if down {
			return EntryAnswer{}, errors.New("down")
		}
		return EntryAnswer{Addresses: []string{router + ":1"}, TTL: 5 * time.Second}, nil
	}
	directory := NewDirectory([]string{"a", "b"}, fetch, func() time.Time { return now })
	expect := func(address string, calls ...string) {
		c.Helper()
		addresses, err := directory.Addresses()
		c.Assert(err, qt.IsNil)
		c.Assert(addresses, qt.DeepEquals, []string{address})
		c.Assert(asked, qt.DeepEquals, calls)
	}
	expect("a:1", "a")
	now = now.Add(5*time.Second - 1)
	expect("a:1", "a")
	now = now.Add(1) // past its time: the next router is asked
	expect("b:1", "a", "b")
	now = now.Add(time.Minute)
	down = true // no router answers: the old answer serves on
	expect("b:1", "a", "b", "a", "b")
	down = false
	expect("a:1", "a", "b", "a", "b", "a")
	directory.MarkFailed("a:1") // all its addresses failed: asked anew at once
	expect("b:1", "a", "b", "a", "b", "a", "b")
}

func TestFailedAddressMovesToTheEnd(t *testing.T) {
	c := qt.New(t)
	fetch := func(string) (EntryAnswer, error) {
		return EntryAnswer{Addresses: []string{"x", "y", "z"}, TTL: time.Hour}, nil
	}
	directory := NewDirectory([]string{"a"}, fetch, time.Now)
	before, err := directory.Addresses()
	c.Assert(err, qt.IsNil)
	directory.MarkFailed("x")
	directory.MarkFailed("unknown")
	after, err := directory.Addresses()
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.DeepEquals, []string{"y", "z", "x"})
	c.Assert(before, qt.DeepEquals, []string{"x", "y", "z"})
}

func TestParseEntry(t *testing.T) {
	c := qt.New(t)
	answer, err := parseEntry([]byte(`{"addresses":[{"address":"10.0.0.1:80"},"10.0.0.2:80"],"ttl_ms":1500}`))
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.DeepEquals, EntryAnswer{Addresses: []string{"10.0.0.1:80", "10.0.0.2:80"}, TTL: 1500 * time.Millisecond})
	for _, bad := range []string{``, `{`, `{}`, `{"addresses":[]}`, `{"addresses":[7]}`} {
		_, err := parseEntry([]byte(bad))
		c.Check(err, qt.ErrorIs, ErrInvalidEntry, qt.Commentf("%s", bad))
	}
}
