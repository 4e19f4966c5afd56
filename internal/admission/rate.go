package admission

import (
	"math"
	"time"
)

// average is the sum of what was added, decaying with the time constant window. If events of weight w
// seconds are added at a rate of n per second, it approaches n*w: by Little's law the number of
// requests in progress, if w is how long one takes.
type average struct {
	sum float64
	at  time.Time
}

func (a average) value(now time.Time) float64 {
	if a.at.IsZero() || !now.After(a.at) {
		return a.sum
	}
	return a.sum * math.Exp(-now.Sub(a.at).Seconds()/window.Seconds())
}

func (a *average) add(weight float64, now time.Time) {
	a.sum = a.value(now) + weight
	if now.After(a.at) {
		a.at = now
	}
}

// remove takes back what is left of a weight that was added at a time.
func (a *average) remove(weight float64, added, now time.Time) {
	a.sum = max(0, a.value(now)-average{weight, added}.value(now))
	if now.After(a.at) {
		a.at = now
	}
}

// durations estimates how long requests take, by their route and work. Requests of a route whose work is within
// a factor of two share an estimate.
type durations struct {
	all     estimate
	bySize  sizes // of all routes
	byRoute map[string]*sizes
}

// sizes are estimates by work.
type sizes [32]estimate

// estimate is a moving average of durations in seconds.
type estimate struct {
	mean    float64
	samples int
	at      time.Time
	// probedAt is when a request that seemed to be late was last admitted, or first refused.
	probedAt time.Time
}

const (
	// probeInterval is the time between two requests that are sent although the estimate says that they would be
	// late. Without them an estimate above all deadlines that apply to it would never be corrected.
	probeInterval = time.Second
	// maxRoutes bounds the number of routes whose durations are kept. Further ones share their estimates.
	maxRoutes = 256
	// sampleWeight is the weight of a new duration. An estimate that followed the queues of the servers quickly
	// would react to them a second time beside the limit, and the load would swing.
	sampleWeight = 0.03
	// minSamples is the number of durations from which on the estimate for a size is used.
	minSamples = 3
	// defaultDuration is assumed until the first request is answered.
	defaultDuration = 0.1
)

func (e *estimate) add(seconds float64, now time.Time) {
	e.samples++
	e.mean += max(sampleWeight, 1/float64(e.samples)) * (seconds - e.mean)
	e.at = now
}

func (s *sizes) bucket(work float64) *estimate {
	if work < 1 {
		return &s[0]
	}
	return &s[min(len(s)-1, int(math.Log2(work)))]
}

// of returns the estimate for requests of the same route and similar work.
func (d *durations) of(r Request) *estimate {
	route := r.Route
	if d.byRoute[route] == nil && len(d.byRoute) >= maxRoutes {
		route = ""
	}
	if d.byRoute[route] == nil {
		if d.byRoute == nil {
			d.byRoute = make(map[string]*sizes)
		}
		d.byRoute[route] = &sizes{}
	}
	return d.byRoute[route].bucket(r.Work)
}

func (d *durations) add(r Request, took time.Duration, now time.Time) {
	d.all.add(took.Seconds(), now)
	d.bySize.bucket(r.Work).add(took.Seconds(), now)
	d.of(r).add(took.Seconds(), now)
}

// expected returns how long a request is expected to take, in seconds.
func (d *durations) expected(r Request) float64 {
	if e := d.of(r); e.samples >= minSamples {
		return max(e.mean, 1e-4)
	}
	return d.seconds(r.Work)
}

// seconds returns how long requests of the work take, over all routes.
func (d *durations) seconds(work float64) float64 {
	if b := d.bySize.bucket(work); b.samples >= minSamples {
		return max(b.mean, 1e-4)
	}
	if d.all.samples > 0 {
		return max(d.all.mean, 1e-4)
	}
	return defaultDuration
}

// recent returns how long a request is expected to take if one of the same route and about the same work was
// answered within the last window, and zero otherwise. An older estimate must not refuse requests:
// if it were too high, no request would be sent that corrects it.
func (d *durations) recent(r Request, now time.Time) time.Duration {
	e := d.of(r)
	if e.samples < minSamples || now.Sub(e.at) > window {
		return 0
	}
	return time.Duration(e.mean * float64(time.Second))
}

// mayProbe reports whether a request that would be late by the estimate may be sent to correct it.
func (e *estimate) mayProbe(now time.Time) bool {
	if e.probedAt.IsZero() {
		e.probedAt = now
	}
	return now.Sub(e.probedAt) >= probeInterval
}
