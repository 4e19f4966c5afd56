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
)

// Obstacle says whether any of a service's servers can take a request now. Where all are
// cold it also says after what time the first is warm.
func (c *Chooser) Obstacle(servers []*fleet.Server) (Obstacle, time.Duration) {
	now := c.now()
	why, warmIn := NoServers, time.Duration(0)
	for _, s := range servers {
		switch {
		case s.Leaving():
		case s.Evacuated():
			if why == NoServers {
				why = AllEvacuated
			}
		case !c.cold.Bounded(s) || c.cold.Room(s):
			return Free, 0
		default:
			if left := s.ColdFor(now); why != AllCold || left < warmIn {
				why, warmIn = AllCold, left
			}
		}
	}
	return why, warmIn
}
