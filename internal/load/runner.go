package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// maxInFlight limits the concurrent requests of an open loop. At the limit the loop falls
// behind its schedule, which the report shows as start lag.
const maxInFlight = 20000

// Pace sets the number of requests of a run and their rate or concurrency.
type Pace struct {
	Requests    int           // 0: unlimited
	Duration    time.Duration // 0: unlimited
	Rate        float64       // requests per second of an open loop; 0: closed loop
	Concurrency int           // of the closed loop
}

func (p Pace) validate() error {
	switch {
	case p.Requests <= 0 && p.Duration <= 0:
		return errors.Wrap(ErrInvalidConfig, "a number of requests or a duration is required")
	case p.Rate < 0:
		return errors.Wrap(ErrInvalidConfig, "the rate must not be negative")
	case p.Rate == 0 && p.Concurrency < 1:
		return errors.Wrap(ErrInvalidConfig, "a rate or a concurrency is required")
	}
	return nil
}

// Target is a destination of requests, with its name in the report.
type Target struct {
	Name   string
	Caller *Caller
}

// Runner runs a workload. With two targets it sends each request to both, one after the
// other in alternating order, so that their latencies can be compared in pairs.
type Runner struct {
	workload  *Workload
	pace      Pace
	targets   []Target
	recorders []*Recorder
	pairs     *pairRecorder
}

// NewRunner returns a Runner for one or two targets. Its error wraps ErrInvalidConfig.
func NewRunner(workload *Workload, pace Pace, targets ...Target) (*Runner, error) {
	if err := pace.validate(); err != nil {
		return nil, err
	}
	if len(targets) < 1 || len(targets) > 2 {
		return nil, errors.Wrap(ErrInvalidConfig, "one or two targets are required")
	}
	runner := &Runner{workload: workload, pace: pace, targets: targets, pairs: &pairRecorder{}}
	for range targets {
		runner.recorders = append(runner.recorders, NewRecorder())
	}
	return runner, nil
}

// Run sends the requests and returns once all have ended. When ctx is done, it sends no
// new requests, and those in flight end with their current try instead of waiting to retry.
func (r *Runner) Run(ctx context.Context) *Run {
	start := time.Now()
	if r.pace.Rate > 0 {
		r.openLoop(ctx, start)
	} else {
		r.closedLoop(ctx, start)
	}
	return &Run{Elapsed: time.Since(start), targets: r.targets, recorders: r.recorders, pairs: r.pairs}
}

// shouldSend reports whether the request with this index is within the pace's limits.
func (r *Runner) shouldSend(ctx context.Context, index int, start time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	if r.pace.Requests > 0 && index >= r.pace.Requests {
		return false
	}
	return r.pace.Duration <= 0 || time.Since(start) < r.pace.Duration
}

func (r *Runner) closedLoop(ctx context.Context, start time.Time) {
	var next atomic.Int64
	var group conc.WaitGroup
	for range r.pace.Concurrency {
		group.Go(func() {
			for {
				index := int(next.Add(1)) - 1
				if !r.shouldSend(ctx, index, start) {
					return
				}
				r.send(ctx, index, 0)
			}
		})
	}
	group.Wait()
}

func (r *Runner) openLoop(ctx context.Context, start time.Time) {
	var group conc.WaitGroup
	inFlight := make(chan struct{}, maxInFlight)
	for index := 0; r.shouldSend(ctx, index, start); index++ {
		scheduled := start.Add(time.Duration(float64(index) / r.pace.Rate * float64(time.Second)))
		if wait := time.Until(scheduled); wait > 0 && sleep(ctx, wait) != nil {
			break
		}
		inFlight <- struct{}{}
		group.Go(func() {
			defer func() { <-inFlight }()
			r.send(ctx, index, time.Since(scheduled))
		})
	}
	group.Wait()
}

// send sends the request with this index to each target and records the results.
func (r *Runner) send(ctx context.Context, index int, lag time.Duration) {
	request := r.workload.Request(index)
	results := make([]Result, len(r.targets))
	for step := range r.targets {
		target := (step + index) % len(r.targets)
		results[target] = r.targets[target].Caller.Call(ctx, request)
		r.recorders[target].Add(&results[target])
	}
	if r.pace.Rate > 0 {
		r.recorders[0].AddLag(lag)
	}
	if len(results) == 2 && results[0].Status == StatusOK && results[1].Status == StatusOK {
		r.pairs.add(results[0].TimeToFirstToken - results[1].TimeToFirstToken)
	}
}

// pairRecorder collects the differences in time to first token between the two targets,
// one per request.
type pairRecorder struct {
	mu          sync.Mutex
	differences []time.Duration
}

func (p *pairRecorder) add(difference time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.differences = append(p.differences, difference)
}
