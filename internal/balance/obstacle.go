package balance

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// State is why none of a service's servers can take a request, whatever the request.
type State int

const (
	// Available: one may take it.
	Available State = iota
	// NoServers: all have left, or there never was one.
	NoServers
	// AllEvacuated: operators ordered that none gets anything.
	AllEvacuated
	// AllCold: those that are not evacuated started a moment ago, and this router may send
	// them nothing more now.
	AllCold
	// AllLimited: they bear few requests, some since they name a limit, and this router may
	// send them nothing more now.
	AllLimited
)

// Availability is whether a service's servers can take a request now.
type Availability struct {
	State State
	// Delay is the time after which another try makes sense; only for AllCold and AllLimited.
	Delay time.Duration
	// PacedOnly: one may take it, but all that may bear few requests.
	PacedOnly bool
}

// Availability says whether any of a service's servers can take a request now.
func (c *Chooser) Availability(servers []*fleet.Server) Availability {
	now := c.now()
	out := Availability{State: NoServers}
	bounded := false
	for _, s := range servers {
		switch {
		case s.Leaving():
		case s.Evacuated():
			if out.State == NoServers {
				out.State = AllEvacuated
			}
		case !c.pacer.Paced(s):
			return Availability{}
		case c.pacer.CanAcquire(s):
			out.PacedOnly = true
		default:
			wait := c.pacer.Delay(s)
			if !bounded || wait < out.Delay {
				out.Delay = wait
			}
			if out.State != AllLimited {
				out.State = AllCold
			}
			if s.ColdFor(now) == 0 {
				out.State = AllLimited
			}
			bounded = true
		}
	}
	if out.PacedOnly {
		out.State = Available
	}
	return out
}
