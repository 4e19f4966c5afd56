package route

import (
	"sort"

	"chicorytiller.example/chicorytiller/internal/id"
)

// SetTargets takes in a new set of backend servers. What is known of those that
// stay is kept; work dispatched to those that went is forgotten.
func (c *Chooser) SetTargets(targets []Target) {
	kept := make(map[id.Backend]*server, len(targets))
	order := make([]*server, 0, len(targets))
	for _, t := range targets {
		s, found := c.servers[t.Ref.ID]
		if !found {
			s = &server{}
		}
		s.target = t
		kept[t.Ref.ID] = s
		order = append(order, s)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].target.Ref.ID < order[j].target.Ref.ID })
	c.servers = kept
	c.order = order
}

// State is what an operator sees of one backend server.
type State struct {
	Target      Target
	Outstanding id.Tokens
	Running     int
	Leaving     bool
	Failures    int
}

// States lists what is known of all backend servers, by id.
func (c *Chooser) States() []State {
	states := make([]State, 0, len(c.order))
	for _, s := range c.order {
		states = append(states, State{
			Target:      s.target,
			Outstanding: s.outstanding,
			Running:     s.running,
			Leaving:     s.target.Leaving || s.reportedOut,
			Failures:    s.failures,
		})
	}
	return states
}
