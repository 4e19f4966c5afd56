package balance

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Obstacle is why none of a service's servers can take a request, whatever the request.
type Obstacle int

const (
	// Free: one may take it.
	Free Obstacle = iota
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

// Outlook is whether a service's servers can take a request now.
type Outlook struct {
	Obstacle Obstacle
	// Delay is the time after which another try makes sense; only for AllCold and AllLimited.
	Delay time.Duration
	// Scarce: one may take it, but all that may bear few requests.
	Scarce bool
}

// Outlook says whether any of a service's servers can take a request now.
func (c *Chooser) Outlook(servers []*fleet.Server) Outlook {
	now := c.now()
	out := Outlook{Obstacle: NoServers}
	bounded := false
	for _, s := range servers {
		switch {
		case s.Leaving():
		case s.Evacuated():
			if out.Obstacle == NoServers {
				out.Obstacle = AllEvacuated
			}
		case !c.pacer.Paced(s):
			return Outlook{}
		case c.pacer.CanAcquire(s):
			out.Scarce = true
		default:
			wait := c.pacer.Delay(s)
			if !bounded || wait < out.Delay {
				out.Delay = wait
			}
			if out.Obstacle != AllLimited {
				out.Obstacle = AllCold
			}
			if s.ColdFor(now) == 0 {
				out.Obstacle = AllLimited
			}
			bounded = true
		}
	}
	if out.Scarce {
		out.Obstacle = Free
	}
	return out
}
