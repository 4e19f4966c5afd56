package linkdelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// clock is a clock that the test advances.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTestEstimator() (*clock, *Estimator) {
	c := &clock{at: time.Unix(1_800_000_000, 0)}
	return c, New(c.now)
}

// Guards against taking a slow or dead peer for a full link.
func TestSlowPeerIsNoFullLink(t *testing.T) {
	_, e := newTestEstimator()
	e.Observe(400 * time.Millisecond)
	e.Observe(3 * time.Millisecond)
	e.Observe(400 * time.Millisecond)
	qt.Assert(t, e.Delay(), qt.Equals, 3*time.Millisecond)
	qt.Assert(t, e.Timeout(250*time.Millisecond, time.Second), qt.Equals, 250*time.Millisecond)
}

// Guards against timeouts below the round trip of a full link, which end every exchange.
func TestTimeoutFollowsDelay(t *testing.T) {
	c, e := newTestEstimator()
	e.Observe(3 * time.Millisecond)
	c.at = c.at.Add(2 * window)
	e.Observe(400 * time.Millisecond)
	qt.Assert(t, e.Delay(), qt.Equals, 400*time.Millisecond)
	qt.Assert(t, e.Timeout(250*time.Millisecond, time.Second), qt.Equals, 800*time.Millisecond)
	e.Observe(700 * time.Millisecond)
	c.at = c.at.Add(window)
	e.Observe(700 * time.Millisecond)
	qt.Assert(t, e.Delay(), qt.Equals, 400*time.Millisecond, qt.Commentf("still in the window before"))
	c.at = c.at.Add(window)
	qt.Assert(t, e.Delay(), qt.Equals, 700*time.Millisecond)
	qt.Assert(t, e.Timeout(250*time.Millisecond, time.Second), qt.Equals, time.Second)
}

// Guards against long timeouts after a full link has emptied, when nothing is exchanged.
func TestDelayIsForgotten(t *testing.T) {
	c, e := newTestEstimator()
	e.Observe(700 * time.Millisecond)
	c.at = c.at.Add(2 * window)
	qt.Assert(t, e.Delay(), qt.Equals, time.Duration(0))
}

// Guards against a full link that is not seen because exchanges are given up, and against a cut path
// that is taken for one.
func TestExchangesGivenUpDoNotShowSlowLink(t *testing.T) {
	c, e := newTestEstimator()
	start := c.at
	c.at = c.at.Add(time.Second)
	e.ObserveTimeout(400 * time.Millisecond)
	qt.Assert(t, e.WasFull(start), qt.IsTrue)
	qt.Assert(t, e.WasSlow(start), qt.IsFalse)
	e.Observe(300 * time.Millisecond)
	qt.Assert(t, e.WasSlow(start), qt.IsTrue)
}
