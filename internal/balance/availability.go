package balance

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// State tells whether any of a service's servers can take a request, and if not, why.
type State int

const (
	// Available means that at least one server can take a request.
	Available State = iota
	// NoServers means that all servers are leaving or that there are none.
	NoServers
	// AllEvacuated means that all servers that are not leaving are in evacuated failure domains.
	AllEvacuated
	// AllCold means that all servers that are not evacuated are cold and that this router may
	// not send them another request now.
	AllCold
	// AllLimited is like AllCold, but at least one of the servers announces a rate limit and
	// is not cold.
	AllLimited
)

// Availability describes whether a service's servers can take a request now.
type Availability struct {
	State State
	// Delay is the time after which another attempt makes sense. It is set only for AllCold and
	// AllLimited.
	Delay time.Duration
	// PacedOnly is set if a server can take a request, but only paced ones can.
	PacedOnly bool
}

// Availability returns whether any of a service's servers can take a request now.
func (c *Chooser) Availability(servers []*fleet.Server) Availability {
	now := c.now()
	result := Availability{State: NoServers}
	blocked := false
	for _, s := range servers {
		switch {
		case s.Leaving():
		case s.Evacuated():
			if result.State == NoServers {
				result.State = AllEvacuated
			}
		case !c.pacer.Paced(s):
			return Availability{}
		case c.pacer.CanAcquire(s):
			result.PacedOnly = true
		default:
			delay := c.pacer.Delay(s)
			if !blocked || delay < result.Delay {
				result.Delay = delay
			}
			if result.State != AllLimited {
				result.State = AllCold
			}
			if s.ColdFor(now) == 0 {
				result.State = AllLimited
			}
			blocked = true
		}
	}
	if result.PacedOnly {
		result.State = Available
	}
	return result
}
