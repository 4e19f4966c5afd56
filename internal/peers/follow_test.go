package peers

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/store"
)

// feedState has a feed of the prefix a/ only.
type feedState struct {
	emptyState
	feed *store.Feed
}

func (f feedState) Feed(prefix string) *store.Feed {
	if prefix != "a/" {
		return nil
	}
	return f.feed
}

// A router without a feed, or with one that has read nothing, answers ErrNoFeed; the client must
// not put it in backoff for that.
func TestFollowWithoutFeed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	go func() {
		_ = Serve(listener, &fakeLender{tokens: 5}, feedState{feed: &store.Feed{}}, event.Discard(), nil)
	}() // returns when the listener is closed
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	address := listener.Addr().String()
	for _, prefix := range []string{"a/", "b/"} {
		_, err = c.Follow(context.Background(), address, FollowRequest{Prefix: prefix, Wait: time.Hour})
		qt.Assert(t, err, qt.ErrorIs, store.ErrNoFeed)
	}
	got := c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: noWaiter}).Tokens
	qt.Assert(t, got, qt.Equals, int64(5))
}
