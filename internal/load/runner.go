package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// maxInFlight bounds the open loop. When it is reached the loop falls behind its
// schedule, which the report shows as start lag.
const maxInFlight = 20000

// Pace says how many requests a run makes and how fast.
type Pace struct {
	Requests    int           // 0: until Duration is over
	Duration    time.Duration // 0: until Requests are made
	Rate        float64       // requests a second, open loop; 0: closed loop
	Concurrency int           // of the closed loop
}

func (p Pace) validate() error {
	switch {
	case p.Requests <= 0 && p.Duration <= 0:
		return errors.Wrap(ErrInvalidConfig, "give a number of requests or a duration")
	case p.Rate < 0:
		return errors.Wrap(ErrInvalidConfig, "the rate must be positive")
	case p.Rate == 0 && p.Concurrency < 1:
		return errors.Wrap(ErrInvalidConfig, "give a rate or a concurrency")
	}
	return nil
}

// Target is a way to carry out requests, under the name that the report gives it.
type Target struct {
	Name   string
	Caller *Caller
}

// Runner runs a workload. With two targets each request goes to both, one after
// the other, in alternating order: measurements are then paired.
type Runner struct {
	workload *Workload
	pace     Pace
	targets  []Target
	records  []*Recorder
	pairs    *pairRecorder
}

// NewRunner makes a runner over one or two targets. Its error wraps ErrBadConfig.
func NewRunner(workload *Workload, pace Pace, targets ...Target) (*Runner, error) {
	if err := pace.validate(); err != nil {
		return nil, err
	}
	if len(targets) < 1 || len(targets) > 2 {
		return nil, errors.Wrap(ErrInvalidConfig, "one or two targets are needed")
	}
	runner := &Runner{workload: workload, pace: pace, targets: targets, pairs: &pairRecorder{}}
	for range targets {
		runner.records = append(runner.records, NewRecorder())
	}
	return runner, nil
}

// Run makes the requests and returns once each has ended. An ended ctx stops new
// requests and waits no longer between tries.
func (r *Runner) Run(ctx context.Context) *Run {
	start := time.Now()
	if r.pace.Rate > 0 {
		r.openLoop(ctx, start)
	} else {
		r.closedLoop(ctx, start)
	}
	return &Run{Elapsed: time.Since(start), targets: r.targets, records: r.records, pairs: r.pairs}
}

// more tells whether the request of this index is still to be made.
func (r *Runner) more(ctx context.Context, index int, start time.Time) bool {
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
				if !r.more(ctx, index, start) {
					return
				}
				r.one(ctx, index, 0)
			}
		})
	}
	group.Wait()
}

func (r *Runner) openLoop(ctx context.Context, start time.Time) {
	var group conc.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for index := 0; r.more(ctx, index, start); index++ {
		due := start.Add(time.Duration(float64(index) / r.pace.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 && sleep(ctx, wait) != nil {
			break
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r.one(ctx, index, time.Since(due))
		})
	}
	group.Wait()
}

// one carries out the request of an index at each target.
func (r *Runner) one(ctx context.Context, index int, lag time.Duration) {
	request := r.workload.Request(index)
	results := make([]Result, len(r.targets))
	for turn := range r.targets {
		which := (turn + index) % len(r.targets)
		results[which] = r.targets[which].Caller.Call(ctx, request)
		r.records[which].Add(&results[which])
	}
	if r.pace.Rate > 0 {
		r.records[0].AddLag(lag)
	}
	if len(results) == 2 && results[0].Status == StatusOK && results[1].Status == StatusOK {
		r.pairs.add(results[0].TimeToFirstToken - results[1].TimeToFirstToken)
	}
}

// pairRecorder keeps what the first target took longer than the second to the
// first token, pair by pair.
type pairRecorder struct {
	mu          sync.Mutex
	differences []time.Duration
}

func (p *pairRecorder) add(difference time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.differences = append(p.differences, difference)
}
