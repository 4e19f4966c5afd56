// Package intake decides whether the requests that callers send to a router saturate its own link. On a
// small link the bodies of requests arrive whatever the router answers, so refusing them saves nothing:
// only callers that connect to another router relieve it.
package intake

import "time"

// Bounds of the decision.
const (
	// window is how long callers must have taken the link. A shorter burst is served without anyone
	// noticing, and a large body takes less.
	window = 300 * time.Millisecond
	// takenShare is the share of the link's rate from which on callers' bytes alone overload the router.
	// The rest carries servers' answers, tokens and the lists of servers and routers.
	takenShare = 0.7
	// saturatedShare is the share from which on callers count as the cause of a saturated link.
	saturatedShare = 0.4
	// saturatedDelay is the round-trip time of a saturated link, far above that between failure domains.
	saturatedDelay = 150 * time.Millisecond
	// Hold is how long an overload lasts beyond its last cause. When it ends the same callers return and
	// saturate the link again, and go without answers until they have left once more, for some three seconds.
	Hold = 30 * time.Second
	// maxSampleGap is the longest time between two samples that belong to one window. The bytes of a
	// longer gap have come while this process or its VM was frozen, and say nothing about the link now.
	maxSampleGap = time.Second
)

// Interval is the time between two samples. An overload is noticed within window and Interval.
const Interval = 50 * time.Millisecond

// Sample is what a router observes at one time.
type Sample struct {
	At time.Time
	// Received is the number of bytes received from callers since the start of the process.
	Received int64
	// Delay is the round-trip time over the router's own link; 0 if unknown.
	Delay time.Duration
}

// Cause tells why a router is overloaded.
type Cause string

// Causes of an overload.
const (
	LinkTaken     Cause = "bytes of callers"                  // callers' bytes take most of the link
	LinkSaturated Cause = "round-trip time, bytes of callers" // the link is saturated, and callers take much of it
)

// Overload is the state of a Gauge with the figures that it is based on.
type Overload struct {
	// Last is the last time at which callers overloaded the link; zero if they never did.
	Last  time.Time
	Cause Cause
	// BytesPerSecond is the rate of callers' bytes over the window, and Delay the round-trip time, then.
	BytesPerSecond float64
	Delay          time.Duration
}

// Gauge decides whether a router is overloaded by its callers' bytes. It has no clock and does no I/O. It is
// not safe for concurrent use.
type Gauge struct {
	rate    float64  // of the link, in bytes per second; 0: unknown, never overloaded
	samples []Sample // of the window, oldest first
	last    Overload
}

// NewGauge returns a gauge for a link of the given rate in Mbit/s. With 0, which means that the rate is not
// known, the router is never overloaded.
func NewGauge(linkMbps float64) *Gauge {
	const bytesPerMbit = 1e6 / 8
	return &Gauge{rate: linkMbps * bytesPerMbit}
}

// Observe adds a sample. Samples are in order of time.
func (g *Gauge) Observe(s Sample) {
	if g.rate <= 0 {
		return
	}
	if n := len(g.samples); n > 0 && s.At.Sub(g.samples[n-1].At) > maxSampleGap {
		g.samples = g.samples[:0]
	}
	g.samples = append(g.samples, s)
	for len(g.samples) > 2 && s.At.Sub(g.samples[1].At) >= window {
		g.samples = g.samples[1:]
	}
	elapsed := s.At.Sub(g.samples[0].At)
	if elapsed < window {
		return
	}
	taken, received := g.taken()
	cause := LinkTaken
	if taken < takenShare*elapsed.Seconds() {
		if s.Delay < saturatedDelay || taken < saturatedShare*elapsed.Seconds() {
			return
		}
		cause = LinkSaturated
	}
	g.last = Overload{Last: s.At, Cause: cause, BytesPerSecond: float64(received) / elapsed.Seconds(), Delay: s.Delay}
}

// taken returns for how many seconds of the window callers' bytes have taken the link, and how many they
// were. Bytes count as arriving between two samples, at most at the link's rate: one large read counts for
// its interval only, so that a burst shorter than the window is no overload.
func (g *Gauge) taken() (seconds float64, received int64) {
	for i, s := range g.samples[1:] {
		before := g.samples[i]
		bytes := s.Received - before.Received
		received += bytes
		seconds += min(float64(bytes)/g.rate, s.At.Sub(before.At).Seconds())
	}
	return seconds, received
}

// Overloaded reports whether the router is overloaded at a time.
func (g *Gauge) Overloaded(now time.Time) bool {
	return !g.last.Last.IsZero() && now.Sub(g.last.Last) < Hold
}

// Last returns the last overload, which may be over.
func (g *Gauge) Last() Overload {
	return g.last
}
