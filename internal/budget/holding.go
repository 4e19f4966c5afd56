package budget

import (
	"math"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// UnknownHeld as a View's HeldElsewhere: others may hold something.
const UnknownHeld id.Tokens = -1

// holding is this router's side of one budget.
type holding struct {
	known    Holder    // the durable holder, as last learned
	issued   uint64    // the highest Seq of any draw issued
	spent    id.Tokens // settled, cumulative
	reserved id.Tokens // by running requests
	rate     rate
	parked   map[id.Request]parked
	retired  bool

	inFlight *Draw // its outcome is not known
	mayRetry bool  // inFlight was not written; send it again at retryAt
	retryAt  time.Time
	failures int

	view       View // of the record, as last seen
	viewAt     time.Time
	shorts     int // draws in a row that did not cover their need
	shortSince time.Time
	needAt     time.Time // no raise before that a request waits for
	raiseAt    time.Time // no other raise before
	drawnAt    time.Time // of the last draw that was applied
	lastUse    time.Time
}

// parked is a request that waits for a draw.
type parked struct {
	tokens id.Tokens
	since  time.Time
	tried  time.Time
}

func newHolding() *holding {
	return &holding{parked: map[id.Request]parked{}, view: View{HeldElsewhere: UnknownHeld}}
}

// limit is what may be spent, cumulative. A raise counts only once it is known
// durable: until then the money may go to another router. A return counts as
// soon as it is issued, because it may take effect at any time from then on:
// whoever draws the returned money must not find it spent here as well.
func (h *holding) limit() id.Tokens {
	if h.inFlight != nil {
		return min(h.known.Granted, h.inFlight.Target)
	}
	return h.known.Granted
}

// floor is what can't be given back.
func (h *holding) floor() id.Tokens {
	return h.spent + h.reserved
}

func (h *holding) free() id.Tokens {
	if h.retired {
		return 0
	}
	return max(h.limit()-h.floor(), 0)
}

func (h *holding) park(now time.Time, req id.Request, n id.Tokens) {
	p, found := h.parked[req]
	if !found {
		p.since = now
	}
	p.tokens = n
	p.tried = now
	h.parked[req] = p
}

// exhausted tells whether a parked request may be refused. An old view can't
// decide it: a top-up may have come since. Nor can a fresh one alone while
// others hold grants: they are given time to return what lies idle.
func (h *holding) exhausted(now time.Time, req id.Request, n id.Tokens, policy Policy) bool {
	seen := !h.viewAt.IsZero()
	fresh := seen && (!h.viewAt.Before(h.parked[req].since) || now.Sub(h.viewAt) <= policy.ViewFresh)
	if !fresh || n <= h.free()+h.view.Available {
		return false
	}
	if h.view.HeldElsewhere == 0 {
		return true
	}
	return !h.shortSince.IsZero() && h.viewAt.Sub(h.shortSince) >= policy.CallBackWait
}

// landed takes in a view of the record. It returns false when the record is
// ahead of all that this process issued: another process runs under its name,
// so nothing may be spent here.
func (h *holding) landed(now time.Time, view View, policy Policy) bool {
	stored := view.Holder
	if !view.Found {
		stored = Holder{}
	}
	if stored.Seq > h.issued {
		return false
	}
	// A read that was under way while a later draw landed tells nothing new. That
	// the holder is gone for good is told by View.Retired or a refused draw.
	if stored.Seq < h.known.Seq {
		return true
	}
	h.see(now, view)
	if stored.Seq == h.known.Seq {
		return true
	}
	draw := h.inFlight
	h.inFlight = nil
	h.mayRetry = false
	h.failures = 0
	h.known = stored
	h.drawnAt = now
	if draw != nil {
		h.noteEffect(now, draw, policy)
	}
	return true
}

func (h *holding) see(now time.Time, view View) {
	h.view = view
	h.viewAt = now
}

// noteEffect paces the next raise by how much of the draw was granted.
func (h *holding) noteEffect(now time.Time, draw *Draw, policy Policy) {
	if h.known.Granted < draw.Need {
		h.noteShort(now, policy)
		return
	}
	h.shorts = 0
	h.shortSince = time.Time{}
	if h.known.Granted < draw.Target {
		h.raiseAt = now.Add(policy.ShortRetryMax)
	}
}

func (h *holding) noteShort(now time.Time, policy Policy) {
	// A want that is as old as this was forgotten by the record, so others were
	// not asked to give back since.
	if h.shortSince.IsZero() || now.Sub(h.needAt) >= policy.WantTTL {
		h.shortSince = now
		h.shorts = 0
	}
	h.needAt = now.Add(backoff(h.shorts, policy.ShortRetry, policy.ShortRetryMax))
	h.shorts++
}

// failed takes in that the draw in flight was not written. A raise is dropped,
// so that the next one can ask for what is needed by then. If an old copy of it
// should land after all, it only adds to the grant, and its Seq keeps the new
// one out. A return stays as it is: if it were dropped, its limit would be
// raised again, and an old copy could take away money that is spent by then.
func (h *holding) failed(now time.Time, policy Policy) {
	if h.inFlight == nil {
		return
	}
	h.retryAt = now.Add(backoff(h.failures, policy.FailRetry, policy.FailRetryMax))
	h.failures++
	if h.inFlight.Target >= h.known.Granted {
		h.inFlight = nil
		return
	}
	h.mayRetry = true
}

// noRecord takes in that the budget was never topped up: nobody holds anything.
func (h *holding) noRecord(now time.Time, policy Policy) {
	h.inFlight = nil
	h.see(now, View{})
	h.noteShort(now, policy)
}

// backoff doubles from first up to most.
func backoff(failures int, first, most time.Duration) time.Duration {
	wait := first
	for range failures {
		if wait >= most {
			break
		}
		wait *= 2
	}
	return min(wait, most)
}

// rate is a moving average of tokens spent a second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, n id.Tokens, window time.Duration) {
	r.perSecond = r.value(now, window) + float64(n)/window.Seconds()
	r.at = now
}

// value is the rate at now: what was spent longer ago weighs exponentially less.
func (r *rate) value(now time.Time, window time.Duration) float64 {
	age := max(now.Sub(r.at), 0)
	return r.perSecond * math.Exp(-age.Seconds()/window.Seconds())
}
