package intake

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// linkMbps is the link of the tests: 1,250,000 bytes per second.
const linkMbps = 10

// world feeds a gauge in virtual time.
type world struct {
	gauge    *Gauge
	now      time.Time
	received int64
}

func newWorld(mbps float64) *world {
	w := &world{gauge: NewGauge(mbps), now: time.Unix(1_800_000_000, 0)}
	w.gauge.Observe(Sample{At: w.now})
	return w
}

// run lets callers take a share of the link for some time and returns how long it took until the router was
// overloaded; if it was not, the whole time.
func (w *world) run(d time.Duration, share float64, delay time.Duration) time.Duration {
	start, overloadedAfter := w.now, d
	for w.now.Sub(start) < d {
		w.now = w.now.Add(Interval)
		w.received += int64(share * linkMbps * 1e6 / 8 * Interval.Seconds())
		w.gauge.Observe(Sample{At: w.now, Received: w.received, Delay: delay})
		if w.gauge.Overloaded(w.now) {
			overloadedAfter = min(overloadedAfter, w.now.Sub(start))
		}
	}
	return overloadedAfter
}

// Guards against a router that sends callers away for a burst that its link carries without harm.
func TestBurstShorterThanWindowIsNoOverload(t *testing.T) {
	w := newWorld(linkMbps)
	for range 20 {
		w.run(200*time.Millisecond, 1, 0)
		w.run(200*time.Millisecond, 0.05, 0)
		w.run(Interval, 40, 0) // what a link that was idle lets through at once
		w.run(window, 0.05, 0)
		qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
	}
	w.run(time.Minute, 0.6, 140*time.Millisecond)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
}

// Guards against an account that saturates the link for as long as it sends, and against callers that return
// before it has moved to another router.
func TestAccountThatFillsLinkIsOverload(t *testing.T) {
	w := newWorld(linkMbps)
	w.run(10*time.Second, 0.3, 5*time.Millisecond)
	qt.Assert(t, w.run(5*time.Second, 0.95, 5*time.Millisecond) <= window+Interval, qt.IsTrue)
	qt.Assert(t, w.gauge.Last().Cause, qt.Equals, LinkTaken)
	qt.Assert(t, w.gauge.Last().BytesPerSecond > 1_100_000, qt.IsTrue)
	w.run(12*time.Second, 0.3, 5*time.Millisecond)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsTrue)
	w.run(window, 0.3, 5*time.Millisecond)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
}

// Guards against a link saturated by callers and servers together, and against blaming callers for one that is
// saturated without them.
func TestSaturatedLinkIsOverloadIfCallersTakeMuchOfIt(t *testing.T) {
	w := newWorld(linkMbps)
	w.run(5*time.Second, 0.3, 400*time.Millisecond)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
	qt.Assert(t, w.run(time.Second, 0.5, 200*time.Millisecond) <= window+Interval, qt.IsTrue)
	qt.Assert(t, w.gauge.Last().Cause, qt.Equals, LinkSaturated)
}

// Guards against bytes that piled up while the process was frozen, and against an overload that outlasts a freeze.
func TestFreezeIsNoOverload(t *testing.T) {
	w := newWorld(linkMbps)
	w.run(time.Second, 0.3, 0)
	w.now = w.now.Add(3 * time.Second)
	w.run(Interval, 80, time.Second)
	w.run(window-Interval, 0.3, time.Second)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
	w.run(time.Second, 1, 0)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsTrue)
	qt.Assert(t, w.gauge.Overloaded(w.now.Add(Hold)), qt.IsFalse)
}

// Guards against a router of unknown link that refuses readiness.
func TestUnknownLinkIsNeverOverloaded(t *testing.T) {
	w := newWorld(0)
	w.run(10*time.Second, 50, time.Second)
	qt.Assert(t, w.gauge.Overloaded(w.now), qt.IsFalse)
}

// Guards against bytes that bypass the count, and against connections that lose the methods of TCP connections.
func TestListenerCountsBytesFromCallers(t *testing.T) {
	c := qt.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &Listener{TCPListener: plain.(*net.TCPListener)}
	defer func() { c.Check(l.Close(), qt.IsNil) }()
	for _, read := range []func(net.Conn) error{
		func(conn net.Conn) error { _, err := io.ReadAll(conn); return err },
		func(conn net.Conn) error { _, err := io.Copy(io.Discard, conn); return err },
	} {
		before := l.Received()
		caller, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		accepted, err := l.Accept()
		c.Assert(err, qt.IsNil)
		_, err = caller.Write(make([]byte, 10_000))
		c.Assert(err, qt.IsNil)
		c.Assert(caller.Close(), qt.IsNil)
		c.Assert(read(accepted), qt.IsNil)
		c.Assert(l.Received()-before, qt.Equals, int64(10_000))
		_, ok := accepted.(interface{ CloseWrite() error })
		c.Assert(ok, qt.IsTrue)
		c.Assert(accepted.Close(), qt.IsNil)
	}
}
