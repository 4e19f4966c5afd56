package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestEntryResponseIsCachedForItsTTL(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var asked []string
	unreachable := false
	fetch := func(router string) (EntryResponse, error) {
		asked = append(asked, router)
		if unreachable {
			return EntryResponse{}, errors.New("down")
		}
		return EntryResponse{Addresses: []string{router + ":1"}, TTL: 5 * time.Second}, nil
	}
	cache := NewAddressCache([]string{"a", "b"}, fetch, func() time.Time { return now })
	expect := func(address string, calls ...string) {
		c.Helper()
		addresses, err := cache.Addresses()
		c.Assert(err, qt.IsNil)
		c.Assert(addresses, qt.DeepEquals, []string{address})
		c.Assert(asked, qt.DeepEquals, calls)
	}
	expect("a:1", "a")
	now = now.Add(5*time.Second - 1)
	expect("a:1", "a")
	now = now.Add(1) // the TTL has expired: the next router is asked
	expect("b:1", "a", "b")
	now = now.Add(time.Minute)
	unreachable = true // no router responds: the expired addresses are used
	expect("b:1", "a", "b", "a", "b")
	unreachable = false
	expect("a:1", "a", "b", "a", "b", "a")
	cache.MarkFailed("a:1") // all addresses have failed: the next router is asked at once
	expect("b:1", "a", "b", "a", "b", "a", "b")
}

func TestFailedAddressMovesToTheEnd(t *testing.T) {
	c := qt.New(t)
	fetch := func(string) (EntryResponse, error) {
		return EntryResponse{Addresses: []string{"x", "y", "z"}, TTL: time.Hour}, nil
	}
	cache := NewAddressCache([]string{"a"}, fetch, time.Now)
	before, err := cache.Addresses()
	c.Assert(err, qt.IsNil)
	cache.MarkFailed("x")
	cache.MarkFailed("unknown")
	after, err := cache.Addresses()
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.DeepEquals, []string{"y", "z", "x"})
	c.Assert(before, qt.DeepEquals, []string{"x", "y", "z"})
}

func TestParseEntry(t *testing.T) {
	c := qt.New(t)
	response, err := parseEntry([]byte(`{"addresses":[{"address":"10.0.0.1:80"},"10.0.0.2:80"],"ttl_ms":1500}`))
	c.Assert(err, qt.IsNil)
	c.Assert(response, qt.DeepEquals, EntryResponse{Addresses: []string{"10.0.0.1:80", "10.0.0.2:80"}, TTL: 1500 * time.Millisecond})
	for _, bad := range []string{``, `{`, `{}`, `{"addresses":[]}`, `{"addresses":[7]}`} {
		_, err := parseEntry([]byte(bad))
		c.Check(err, qt.ErrorIs, ErrInvalidEntry, qt.Commentf("%s", bad))
	}
}
