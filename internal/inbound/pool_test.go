package inbound

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// addAt adds a connection to a pool at a time and returns it with the client's end.
func addAt(c *qt.C, p *Pool, now time.Time) (*Conn, net.Conn) {
	server, client := net.Pipe()
	c.Cleanup(func() { _ = client.Close() }) // the test is over
	return p.add(server, now), client
}

// hold lets a connection's request hold bytes.
func hold(p *Pool, c *Conn, bytes int64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserve(c, bytes, now)
}

// Guards against an ordinary client that is sent away for those that hold connections without a request.
func TestConnectionsWithoutRequestGoFirst(t *testing.T) {
	c := qt.New(t)
	p, now := NewPool(Limits{Connections: 3}), time.Now()
	waiting, _ := addAt(c, p, now)
	served, _ := addAt(c, p, now)
	served.requestReceived()
	stalled, _ := addAt(c, p, now)
	waiting.becameIdle()
	for i, gone := range []*Conn{stalled, waiting} {
		now = now.Add(newcomerTime)
		added, _ := addAt(c, p, now)
		c.Check(added, qt.IsNotNil)
		c.Check(gone.Interrupted(), qt.IsTrue, qt.Commentf("connection %d", i))
		added.requestReceived()
	}
	c.Check(served.Interrupted(), qt.IsFalse)
	refused, _ := addAt(c, p, now)
	c.Check(refused, qt.IsNil, qt.Commentf("all are being served"))
	c.Check(p.State().Ends.Crowded, qt.Equals, int64(3))
}

// Guards against a fast request that is ended for one that stalls, and against memory that is given away twice while
// a request that was ended still holds it.
func TestSlowestRequestsAreEndedForMemory(t *testing.T) {
	c := qt.New(t)
	const part = 1 << 20
	p, now := NewPool(Limits{RequestBytes: 8 * part}), time.Now()
	stalled, _ := addAt(c, p, now)
	c.Assert(hold(p, stalled, 3*part, now), qt.IsTrue)
	now = now.Add(10 * time.Second)
	fast, _ := addAt(c, p, now)
	c.Assert(hold(p, fast, 3*part, now), qt.IsTrue)
	result := make(chan bool)
	go func() { result <- hold(p, fast, part, now.Add(time.Second)) }()
	for !stalled.Interrupted() {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-result:
		t.Error("memory of the stalled request was used before it was given back")
	case <-time.After(20 * time.Millisecond):
	}
	c.Check(stalled.Close(), qt.IsNil)
	c.Check(<-result, qt.IsTrue)
	c.Check(fast.Interrupted(), qt.IsFalse)
	c.Check(p.State().Held, qt.Equals, int64(4*part))
}

// Guards against small requests that find no room beside large ones.
func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	c := qt.New(t)
	p, now := NewPool(Limits{RequestBytes: 1 << 20}), time.Now()
	large, _ := addAt(c, p, now)
	c.Assert(hold(p, large, 700<<10, now), qt.IsTrue)
	large.requestReceived()
	another, _ := addAt(c, p, now)
	c.Check(hold(p, another, 200<<10, now), qt.IsFalse)
	c.Check(hold(p, another, smallRequest, now), qt.IsTrue)
}

// Guards against a client that never sends the rest of its request, and against ending clients for a time in which
// this process was frozen.
func TestStalledRequestsAreEnded(t *testing.T) {
	c := qt.New(t)
	p, now := NewPool(Limits{}), time.Now()
	stalled, _ := addAt(c, p, now)
	idle, _ := addAt(c, p, now)
	idle.becameIdle()
	watch := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(CheckInterval) {
			p.CheckStalled(now)
		}
	}
	watch(stallTimeout / 2)
	now = now.Add(stallTimeout)
	watch(stallTimeout)
	c.Check(stalled.Interrupted(), qt.IsFalse, qt.Commentf("frozen meanwhile"))
	watch(2 * CheckInterval)
	c.Check(stalled.Interrupted(), qt.IsTrue)
	c.Check(idle.Interrupted(), qt.IsFalse)
}

// Guards against bodies that are cut, changed or read beyond their limit.
func TestReadBody(t *testing.T) {
	c := qt.New(t)
	for length := range int64(3 * firstPart) {
		if length%1000 > 2 && length != firstPart && length != firstPart+1 {
			continue
		}
		data := strings.Repeat("b", int(length))
		for _, announced := range []int64{length, -1} {
			if announced == 0 {
				continue // such a request has no body to read
			}
			body, err := ReadBody(nil, strings.NewReader(data), announced, length+1)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, data)
			_, err = ReadBody(nil, strings.NewReader(data+"bb"), -1, length+1)
			c.Assert(err, qt.ErrorIs, ErrTooLarge)
		}
	}
	_, err := ReadBody(nil, bytes.NewReader(make([]byte, 4)), 5, 100)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	unread := strings.NewReader("body")
	_, err = ReadBody(nil, unread, 101, 100)
	c.Assert(err, qt.ErrorIs, ErrTooLarge)
	c.Assert(unread.Len(), qt.Equals, 4)
}
