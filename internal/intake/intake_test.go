package intake

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// frozen is the share of a phase in which the process takes no samples.
const frozen = -1

// phase is a time in which callers take a share of a link of 10 Mbit/s. cause is that of the overload at its
// end, "" if there is none.
type phase struct {
	length time.Duration
	share  float64
	delay  time.Duration
	cause  Cause
}

func TestOverload(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	for name, test := range map[string]struct {
		linkMbps float64
		phases   []phase
	}{
		// Guards against callers sent away for a burst that does no harm, or that an idle link lets through at once.
		"short bursts": {10, []phase{{200 * ms, 1, 0, ""}, {200 * ms, 0.05, 0, ""}, {Interval, 40, 0, ""}, {window, 0.05, 0, ""}, {200 * ms, 1, 0, ""},
			{time.Minute, 0.6, 140 * ms, ""}}},
		// Guards against an account that fills the link all day, and callers that return before it has moved.
		"one account": {10, []phase{{10 * s, 0.3, 5 * ms, ""}, {window + Interval, 0.95, 5 * ms, LinkTaken}, {Hold, 0.3, 5 * ms, LinkTaken}, {window, 0.3, 5 * ms, ""}}},
		// Guards against a link saturated by callers and servers together, and blaming callers if it is without them.
		"saturated link": {10, []phase{{5 * s, 0.3, 400 * ms, ""}, {window + Interval, 0.5, 200 * ms, LinkSaturated}}},
		// Guards against blaming callers for bytes that piled up in a freeze, and an overload that outlasts one.
		"freeze": {10, []phase{{s, 0.3, 0, ""}, {3 * s, frozen, 0, ""}, {Interval, 80, s, ""}, {window - Interval, 0.3, s, ""}, {s, 1, 0, LinkTaken}, {Hold, frozen, 0, ""}}},
		// Guards against a router of unknown link that refuses readiness.
		"no setting": {0, []phase{{10 * s, 50, s, ""}}},
	} {
		gauge, now, received := NewGauge(test.linkMbps), time.Unix(1_800_000_000, 0), 0.0
		gauge.Observe(Sample{At: now})
		for i, p := range test.phases {
			for end := now.Add(p.length); now.Before(end); {
				now = now.Add(Interval)
				received += max(0, p.share) * 10e6 / 8 * Interval.Seconds()
				if p.share != frozen {
					gauge.Observe(Sample{At: now, Received: int64(received), Delay: p.delay})
				}
			}
			qt.Check(t, gauge.Overloaded(now), qt.Equals, p.cause != "", qt.Commentf("%s, phase %d", name, i))
			qt.Check(t, p.cause == "" || gauge.Last().Cause == p.cause, qt.IsTrue, qt.Commentf("%s, phase %d", name, i))
		}
	}
}

// Guards against bytes that bypass the count, and against connections that lose the methods of TCP connections.
func TestListenerCountsBytesFromCallers(t *testing.T) {
	c := qt.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &Listener{TCPListener: plain.(*net.TCPListener)}
	defer func() { _ = plain.Close() }() // the test is over
	for i := range int64(2) {
		caller, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		accepted, err := l.Accept()
		c.Assert(err, qt.IsNil)
		_, err = caller.Write(make([]byte, 10_000))
		c.Assert(err, qt.IsNil)
		c.Assert(caller.(*net.TCPConn).CloseWrite(), qt.IsNil)
		source := []io.Reader{accepted, struct{ io.Reader }{accepted}}[i] // with WriterTo and without
		_, err = io.Copy(io.Discard, source)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Received(), qt.Equals, 10_000*(i+1))
		c.Assert(accepted.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
		c.Assert(accepted.Close(), qt.IsNil)
	}
}
