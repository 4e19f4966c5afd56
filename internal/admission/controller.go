package admission

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Metrics counts decisions while a service's capacity is short.
type Metrics interface {
	// CountAdmission counts a decision on a request. outcome is AdmittedAtOnce, AdmittedLater or the cause of a
	// refusal.
	CountAdmission(priority int, outcome string)
}

// Outcomes beside the causes of refusals.
const (
	AdmittedAtOnce = "admitted"
	AdmittedLater  = "admitted after a wait"
)

// Options are what a Controller needs.
type Options struct {
	// Eligible returns the incarnations of a service's servers that may get requests. Servers whose requests
	// are limited by other means (cold, rate-limited) are not among them.
	Eligible func(service string) []string
	Metrics  Metrics
	Log      *event.Log
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Controller admits requests of all services. It is safe for concurrent use.
type Controller struct {
	options Options

	mu    sync.Mutex
	gates map[string]*sharedGate // by service
}

// sharedGate is a Gate with its lock.
type sharedGate struct {
	service string
	mu      sync.Mutex
	gate    *Gate
	// admitted and refused count decisions since the last log line.
	admitted, refused int
	loggedAt          time.Time
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Controller{options: o, gates: make(map[string]*sharedGate)}
}

func (c *Controller) gate(service string) *sharedGate {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gates[service]
	if g == nil {
		g = &sharedGate{service: service, gate: NewGate(ByPriority)}
		c.gates[service] = g
	}
	return g
}

// LimitedServices returns the number of services whose capacity is short.
func (c *Controller) LimitedServices() int {
	count := 0
	for _, g := range c.all() {
		if g.limited() {
			count++
		}
	}
	return count
}

// all returns the gates of all services. Their locks must not be taken while c.mu is held: it would hold up the
// requests of all services while one gate is busy.
func (c *Controller) all() []*sharedGate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.gates))
}

func (g *sharedGate) limited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Limited()
}

// Short reports whether a service's capacity is short.
func (c *Controller) Short(service string) bool {
	g := c.gate(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Short(c.options.Now())
}

// Ticket is held by an admitted request.
type Ticket struct {
	controller *Controller
	gate       *sharedGate
	admitted   *Waiter
}

// Admit decides on a request, which may wait for capacity for up to a tenth of its goal. If refused is
// nil, Done must be called on the ticket when the request ends.
func (c *Controller) Admit(ctx context.Context, r Request) (ticket *Ticket, refused *Refusal) {
	g := c.gate(r.Service)
	w, limited, wait := c.offer(g, r)
	if w.ready != nil {
		c.wait(ctx, g, w, wait)
	}
	if limited && (w.Refusal == nil || w.Refusal.Cause != Abandoned) {
		c.count(g, w)
	}
	if w.Refusal != nil {
		return nil, w.Refusal
	}
	return &Ticket{controller: c, gate: g, admitted: w}, nil
}

// offer offers a request to its gate. limited is set if the limit applies, and wait is the longest time for which
// the request may wait if it has to.
func (c *Controller) offer(g *sharedGate, r Request) (w *Waiter, limited bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := c.options.Now()
	c.evaluate(g, now)
	limited = g.gate.Limited()
	g.settle(now)
	w = g.gate.Offer(r, now)
	if !w.Settled {
		w.ready = make(chan struct{})
		g.settle(now)
	}
	// Another request may change the end of the wait once the lock is released.
	return w, limited, w.Until.Sub(now)
}

// wait waits until a request is settled, for up to the given time.
func (c *Controller) wait(ctx context.Context, g *sharedGate, w *Waiter, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-w.ready:
		return
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Settled {
		return
	}
	if ctx.Err() != nil {
		g.gate.Withdraw(w)
		return
	}
	// The end of the wait settles the request, even if the clock lags behind the timer.
	g.settle(laterOf(c.options.Now(), w.Until))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settle lets waiting requests continue that can. g.mu must be held.
func (g *sharedGate) settle(now time.Time) {
	for _, w := range g.gate.Next(now) {
		close(w.ready)
	}
}

// Observe takes over what a server's response says about its load.
func (c *Controller) Observe(service string, s Signal) {
	g := c.gate(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := c.options.Now()
	g.gate.Observe(s, now)
	c.evaluate(g, now)
}

// Done records the end of the request that holds the ticket. A nil ticket is of a request that was not
// subject to admission.
func (t *Ticket) Done(o Outcome) {
	if t == nil {
		return
	}
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := t.controller.options.Now()
	g.gate.Done(t.admitted, o, now)
	g.settle(now)
}

// evaluate changes the limit if it is time to. g.mu must be held.
func (c *Controller) evaluate(g *sharedGate, now time.Time) {
	if !g.gate.Due(now) || g.gate.Rest(now) {
		return
	}
	switched := g.gate.Evaluate(c.options.Eligible(g.service), now)
	g.settle(now)
	c.log(g, switched, now)
}

// count counts the decision on a request.
func (c *Controller) count(g *sharedGate, w *Waiter) {
	outcome := AdmittedAtOnce
	switch {
	case w.Refusal != nil:
		outcome = string(w.Refusal.Cause)
	case w.Waited:
		outcome = AdmittedLater
	}
	c.options.Metrics.CountAdmission(min(max(w.Request.Priority, 0), maxLevel), outcome)
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Refusal != nil {
		g.refused++
	} else {
		g.admitted++
	}
}

// logInterval is how often the state of a limited service is logged.
const logInterval = 10 * time.Second

// log writes a line when the limit begins or ends to apply, and one each logInterval in between. The limit
// applies for openAfter at least, so the number of lines is bounded.
func (c *Controller) log(g *sharedGate, switched bool, now time.Time) {
	limited := g.gate.Limited()
	number := event.AdmissionState
	switch {
	case switched && limited:
		number = event.AdmissionLimited
	case switched:
		number = event.AdmissionUnlimited
	case !limited || now.Sub(g.loggedAt) < logInterval:
		return
	}
	p := g.gate.pressure
	c.options.Log.Emit(number, slog.String("service", g.service),
		slog.Float64("limit", g.gate.limiter.limit), slog.Int("in_progress", g.gate.inProgress),
		slog.Int("servers", p.Eligible), slog.Int("reported", p.Known), slog.Int("full", p.Full), slog.Int("rejecting", p.Rejecting),
		slog.Float64("slots", p.Slots), slog.Float64("load", p.Load), slog.Int64("report_age_ms", p.Age.Milliseconds()),
		slog.Float64("rejected", g.gate.rejected.value(now)), slog.Float64("answered", g.gate.answered.value(now)),
		slog.Float64("request_s", g.gate.durations.seconds(0)),
		slog.Int("admitted", g.admitted), slog.Int("refused", g.refused), slog.Int("waiting", len(g.gate.waiting)))
	g.loggedAt, g.admitted, g.refused = now, 0, 0
}
