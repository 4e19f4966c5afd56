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

func (a *average) value(now time.Time) float64 {
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

// durations estimates how long requests take, by their work. Requests whose work is within a factor
// of two share an estimate.
type durations struct {
	all    estimate
	bySize [32]estimate
}

// estimate is a moving average of durations in seconds.
type estimate struct {
	mean    float64
	samples int
	at      time.Time
}

const (
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

func (d *durations) bucket(work float64) *estimate {
	if work < 1 {
		return &d.bySize[0]
	}
	return &d.bySize[min(len(d.bySize)-1, int(math.Log2(work)))]
}

func (d *durations) add(work float64, took time.Duration, now time.Time) {
	d.all.add(took.Seconds(), now)
	d.bucket(work).add(took.Seconds(), now)
}

// seconds returns how long a request is expected to take.
func (d *durations) seconds(work float64) float64 {
	if b := d.bucket(work); b.samples >= minSamples {
		return max(b.mean, 1e-4)
	}
	if d.all.samples > 0 {
		return max(d.all.mean, 1e-4)
	}
	return defaultDuration
}

// recentSeconds returns how long a request is expected to take if a request of about the same work was
// answered within the last window, and zero otherwise. An older estimate must not refuse requests:
// if it were too high, no request would be sent that corrects it.
func (d *durations) recentSeconds(work float64, now time.Time) float64 {
	b := d.bucket(work)
	if b.samples < minSamples || now.Sub(b.at) > window {
		return 0
	}
	return b.mean
}
