package budget

import (
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// plan is the part of a draw that is a choice.
type plan struct {
	need   id.Tokens // cumulative, as in Draw
	target id.Tokens // cumulative, as in Draw
	resend bool      // send the draw in flight again, as it is
}

// next decides which draw to issue now, if any.
func (h *holding) next(now time.Time, policy Policy, returnAll bool) (plan, bool) {
	if h.retired || now.Before(h.retryAt) {
		return plan{}, false
	}
	if h.inFlight != nil {
		return plan{resend: true}, h.mayRetry
	}
	demand := h.demand()
	if demand.waiting > 0 && !returnAll {
		return h.planForWaiting(now, demand, policy)
	}
	// Draws that no request waits for are paced, so that the service's write
	// rate doesn't follow the request rate.
	if now.Sub(h.drawnAt) < policy.DrawGap {
		return plan{}, false
	}
	if p, wanted := h.planReturn(now, demand, policy, returnAll); wanted {
		return p, true
	}
	if p, wanted := h.planRaise(now, policy); wanted && !returnAll {
		return p, true
	}
	return h.planCheckpoint(now, policy, returnAll)
}

// issue puts the planned draw in flight.
func (h *holding) issue(now time.Time, b id.Budget, self id.Router, p plan) Draw {
	h.mayRetry = false
	if p.resend {
		return *h.inFlight
	}
	h.issued = h.known.Seq + 1
	h.inFlight = &Draw{
		Budget: b,
		Holder: self,
		Seq:    h.issued,
		Spent:  h.spent,
		Floor:  h.floor(),
		Need:   p.need,
		Target: p.target,
		At:     now,
	}
	return *h.inFlight
}

// demand sums up the parked requests.
type demand struct {
	fits    id.Tokens // of those that the free part covers, the smallest first
	waiting id.Tokens // the smallest of the others; 0: there are none
	total   id.Tokens // of all
}

func (h *holding) demand() demand {
	if len(h.parked) == 0 {
		return demand{}
	}
	sizes := make([]id.Tokens, 0, len(h.parked))
	for _, p := range h.parked {
		sizes = append(sizes, p.tokens)
	}
	slices.Sort(sizes)
	var d demand
	free := h.free()
	for _, size := range sizes {
		d.total = min(d.total+size, MaxTotal)
		switch {
		case d.waiting == 0 && d.fits+size <= free:
			d.fits += size
		case d.waiting == 0:
			d.waiting = size
		}
	}
	return d
}

// planForWaiting asks for more. A router that could not get it and knows that
// others starve too gives its free part back along with the question: parts of
// what is needed at several routers could run nothing, so they all would refuse
// while the budget has enough for one.
func (h *holding) planForWaiting(now time.Time, d demand, policy Policy) (plan, bool) {
	if now.Before(h.needAt) {
		return plan{}, false
	}
	need := h.floor() + d.fits + d.waiting
	if h.shorts > 0 && h.view.NeedElsewhere && h.free() > d.fits {
		return plan{need: need, target: h.floor() + d.fits}, true
	}
	target := h.floor() + d.total + h.wantedFree(now, policy)
	return plan{need: need, target: max(target, h.known.Granted)}, true
}

// planReturn gives back what is not needed here.
func (h *holding) planReturn(now time.Time, d demand, policy Policy, returnAll bool) (plan, bool) {
	least := h.floor() + d.fits
	if returnAll {
		least = h.floor()
	}
	if h.known.Granted <= least {
		return plan{}, false
	}
	idle := now.Sub(h.lastUse) >= policy.IdleReturn
	if returnAll || idle || h.view.NeedElsewhere {
		return plan{target: least}, true
	}
	wanted := h.wantedFree(now, policy)
	if float64(h.free()) > policy.ShrinkFactor*float64(wanted) {
		return plan{target: least + wanted}, true
	}
	return plan{}, false
}

// planRaise draws ahead of need, while requests come in.
func (h *holding) planRaise(now time.Time, policy Policy) (plan, bool) {
	inUse := h.known.Seq > 0 && now.Sub(h.lastUse) < policy.IdleReturn
	if !inUse || h.view.NeedElsewhere || now.Before(h.raiseAt) {
		return plan{}, false
	}
	wanted := h.wantedFree(now, policy)
	if float64(h.free()) >= policy.LowWater*float64(wanted) {
		return plan{}, false
	}
	if h.view.Available == 0 && now.Sub(h.viewAt) < policy.Checkpoint {
		return plan{}, false
	}
	return plan{target: max(h.floor()+wanted, h.known.Granted)}, true
}

// planCheckpoint reports what was spent, so that little is in doubt if this
// router dies.
func (h *holding) planCheckpoint(now time.Time, policy Policy, returnAll bool) (plan, bool) {
	if h.spent == h.known.Spent {
		return plan{}, false
	}
	if !returnAll && now.Sub(h.drawnAt) < policy.Checkpoint {
		return plan{}, false
	}
	return plan{target: h.known.Granted}, true
}

// wantedFree is the free part that lasts for the policy's horizon.
func (h *holding) wantedFree(now time.Time, policy Policy) id.Tokens {
	wanted := h.rate.value(now, policy.RateWindow) * policy.Horizon.Seconds()
	if wanted >= float64(policy.MaxGrant) {
		return policy.MaxGrant
	}
	return max(id.Tokens(wanted), policy.MinGrant)
}
