package admission

import (
	"maps"
	"slices"
	"time"
)

// Look is what Admit would decide on a request now, with what the decision follows from.
type Look struct {
	Limited    bool
	Limit      float64
	InProgress int
	Waiting    int
	// Share of the request's class, or of all small accounts if that limits it more, and what is used of it without
	// this request; set only if Limited. Share is infinite for a class that gets all it asks for.
	Share, Used float64
	// Threshold is the use below which another request like this is admitted, so that the average use is the share.
	// It is set only if Limited and Share is finite.
	Threshold float64
	// Pressure is as of Measured, which is zero if nothing was measured yet.
	Pressure Pressure
	Measured time.Time
	// Duration is how long the request is expected to take, by the estimate for its route and work that decides
	// whether it would be late.
	Duration time.Duration
	// Refusal is nil if the request would be admitted, at once or after a wait of up to Wait.
	Refusal *Refusal
	Waits   bool
	Wait    time.Duration
}

// Look returns what Admit would decide now. It decides on a copy of the service's gate and changes nothing.
func (c *Controller) Look(r Request) Look {
	now := c.options.Now()
	gate := c.copyGate(r.Service)
	if gate.Due(now) && !gate.Rest(now) {
		gate.Evaluate(c.options.Eligible(r.Service), now)
	}
	gate.Next(now)
	inProgress, waiting := gate.inProgress, len(gate.waiting)
	w := gate.Offer(r, now)
	if !w.Settled {
		gate.Next(now)
	}
	look := Look{Limited: gate.limiter.limited, Limit: gate.limiter.limit, InProgress: inProgress, Waiting: waiting,
		Pressure: gate.pressure, Measured: gate.evaluatedAt, Refusal: w.Refusal, Waits: !w.Settled,
		Duration: time.Duration(gate.durations.expected(r) * float64(time.Second))}
	if look.Limited {
		bound := gate.binding(w.class, w.weight, now)
		look.Share, look.Used = gate.share(bound), gate.admitted(bound, now)
		if look.Share < unlimited {
			look.Threshold = threshold(look.Share, w.weight)
		}
		if w.Settled && w.Refusal == nil { // the copy has counted the request
			look.Used = max(0, look.Used-w.weight*gate.correction(now))
		}
	}
	if look.Waits {
		look.Wait = w.Until.Sub(now)
	}
	return look
}

// copyGate returns a copy of a service's gate, or a new one if there is none.
func (c *Controller) copyGate(service string) *Gate {
	c.mu.Lock()
	g := c.gates[service]
	c.mu.Unlock()
	if g == nil {
		return NewGate(ByPriority)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.clone()
}

// clone returns a gate in the same state that shares nothing with this one. Nobody waits for its requests.
func (g *Gate) clone() *Gate {
	c := *g
	c.known, c.durations.byRoute = maps.Clone(g.known), make(map[string]*sizes, len(g.durations.byRoute))
	for route, known := range g.durations.byRoute {
		copied := *known
		c.durations.byRoute[route] = &copied
	}
	c.classes = make(map[class]*usage, len(g.classes))
	for key, u := range g.classes {
		copied := *u
		c.classes[key] = &copied
	}
	c.demands, c.shares = slices.Clone(g.demands), maps.Clone(g.shares)
	c.waiting = make([]*Waiter, len(g.waiting))
	for i, w := range g.waiting {
		copied := *w
		copied.ready = nil
		c.waiting[i] = &copied
	}
	return &c
}
