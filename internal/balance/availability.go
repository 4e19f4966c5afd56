package balance

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// State tells whether any of a service's servers can take a request, and if not, why. Where servers have
// different reasons, the last of this list applies.
type State int

const (
	// Available means that at least one server can take a request.
	Available State = iota
	// NoServers means that all servers are leaving or missing, or that there are none.
	NoServers
	// AllEvacuated means that all servers that are not leaving are in evacuated failure domains.
	AllEvacuated
	// AllCold means that all servers that are not evacuated are cold and that this router may
	// not send them another request now.
	AllCold
	// AllLimited is like AllCold, but at least one of the servers announces a rate limit and
	// is not cold.
	AllLimited
	// AllUnavailable is like AllLimited, but at least one of the servers wants no requests from this router
	// for some time.
	AllUnavailable
)

// Availability describes whether a service's servers can take a request now.
type Availability struct {
	State State
	// Delay is the time after which another attempt makes sense. It is set only for AllCold, AllLimited and
	// AllUnavailable.
	Delay time.Duration
	// PacedOnly is set if a server can take a request, but only paced ones can.
	PacedOnly bool
}

// Availability returns whether any of a service's servers can take a request now.
func (c *Chooser) Availability(servers []*fleet.Server) Availability {
	now := c.now()
	result := Availability{State: NoServers}
	for _, s := range servers {
		v := c.judge(s, now, c.pacer.CanAcquire)
		switch {
		case v.state == Available && !v.paced:
			return Availability{}
		case v.state == Available:
			result.PacedOnly = true
		case v.delay > 0 && (result.Delay == 0 || v.delay < result.Delay):
			result.Delay = v.delay
		}
		result.State = max(result.State, v.state)
	}
	if result.PacedOnly {
		return Availability{State: Available, PacedOnly: true}
	}
	return result
}

// verdict tells whether one server may get a request now.
type verdict struct {
	// state is Available, or the reason why the server may not get it.
	state State
	// delay is the time after which it may get one, if that is known.
	delay time.Duration
	// paced is set if the pacer limits the requests to the server.
	paced bool
}

// judge tells whether a server may get a request now. canAcquire reports whether a paced server may.
func (c *Chooser) judge(s *fleet.Server, now time.Time, canAcquire func(*fleet.Server) bool) verdict {
	if s.Leaving() || s.Missing() {
		return verdict{state: NoServers}
	}
	if s.Evacuated() {
		return verdict{state: AllEvacuated}
	}
	if wait := s.UnavailableFor(now); wait > 0 {
		return verdict{state: AllUnavailable, delay: wait}
	}
	if !c.pacer.Paced(s) {
		return verdict{}
	}
	switch {
	case canAcquire(s):
		return verdict{paced: true}
	case s.ColdFor(now) > 0:
		return verdict{state: AllCold, delay: c.pacer.Delay(s), paced: true}
	}
	return verdict{state: AllLimited, delay: c.pacer.Delay(s), paced: true}
}
