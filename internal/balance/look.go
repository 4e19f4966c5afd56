package balance

import (
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Looker returns a chooser that decides as this one does now and changes nothing. pacer is a copy of this
// chooser's, and is asked in its place. The result serves Availability and Rank only.
func (c *Chooser) Looker(pacer Pacer) *Chooser {
	look := *c
	look.looking, look.pacer = true, pacer
	return &look
}

// Domain returns the failure domain of this chooser's router.
func (c *Chooser) Domain() string { return c.domain }

// Ranked is a server with its place in the choice, or why it has none.
type Ranked struct {
	Choice
	// State is the reason why the server may not get the request; Available if it may.
	State State
	// Delay is the time after which it may, if that is known.
	Delay time.Duration
	// Skipped is set if the server was not compared for this request, since there are very many.
	Skipped bool
}

// InBackoff reports whether the server failed recently. It is chosen only if there is no other.
func (c *Choice) InBackoff() bool { return c.inBackoff }

// Paced reports whether the pacer limits the requests to the server.
func (c *Choice) Paced() bool { return c.paced }

// Predicted reports whether the cost has the components of Estimate.
func (c *Choice) Predicted() bool { return c.predicted }

// Rank returns all servers: first those that may get the request, in the order in which Choose would
// take them, then the others.
func (c *Chooser) Rank(servers []*fleet.Server, r *request.Request) []*Ranked {
	now, home := c.now(), c.homeServer(servers, r.LastSharedPartID())
	never := func(*fleet.Server) bool { return false }
	_, p := c.search(servers, r, home, never, c.pacer.CanAcquire, now)
	ranked := make([]*Ranked, 0, len(servers))
	for i, s := range servers {
		v := c.judge(s, now, c.pacer.CanAcquire)
		entry := &Ranked{Choice: Choice{Server: s, paced: v.paced}, State: v.state, Delay: v.delay, Skipped: p.skips(i) && s != home}
		if v.state == Available {
			entry.Choice = c.weigh(s, i, &p, r, home, v, now)
		}
		ranked = append(ranked, entry)
	}
	slices.SortStableFunc(ranked, func(a, b *Ranked) int {
		switch aOut, bOut := a.isOut(), b.isOut(); {
		case aOut != bOut:
			if aOut {
				return 1
			}
			return -1
		case aOut:
			return 0
		case a.before(&b.Choice):
			return -1
		case b.before(&a.Choice):
			return 1
		}
		return 0
	})
	return ranked
}

func (r *Ranked) isOut() bool {
	return r.State != Available || r.Skipped
}
