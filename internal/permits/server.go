package permits

import (
	"math"
	"slices"
	"time"
)

const (
	// unknownSlots is the limit at which a server starts that doesn't tell its slots.
	unknownSlots = 2
	// maxUnknownLimit bounds the limit of a server that doesn't tell its slots.
	maxUnknownLimit = 256
	// rejectionWindow is the time in which a server counts rejections.
	rejectionWindow = time.Second
	// rejectionPause is how long nothing is granted after a rejection, so that requests on their way
	// to the server show whether it was the only one.
	rejectionPause = 50 * time.Millisecond
	// raiseInterval is the least time between two steps by which the limit rises.
	raiseInterval = 500 * time.Millisecond
	// rejectedLevelTTL is how long a number of requests in progress is avoided at which the server
	// rejected one.
	rejectedLevelTTL = 5 * time.Second
	// rateWindow is the time over which releases and denials are counted.
	rateWindow = time.Second
	// minRetryAfter and maxRetryAfter bound Answer.RetryAfter.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 2 * time.Second
	// minHoldOff and maxHoldOff bound Answer.HoldOff. holdOffPerDenial times the denials of the last
	// second makes it longer, so that the calls to a grantor grow little with the fleet.
	minHoldOff, maxHoldOff = 50 * time.Millisecond, time.Second
	holdOffPerDenial       = 2 * time.Millisecond
)

// server is a grantor's state of one server: a pure state machine that is told the time.
type server struct {
	slots     int // zero if unknown
	tolerated float64
	holders   map[string]*holder
	lingering []time.Time // when requests end that were given up
	waiting   []*waiter   // in the order in which they are granted

	// limit is the number of requests that may be in progress.
	limit    int
	raisedAt time.Time
	// rejectedLevel is the lowest recent number of requests in progress at which the server rejected
	// one; zero if there is none.
	rejectedLevel int
	rejectedAt    time.Time
	rejections    recent
	pausedUntil   time.Time

	// takeoverUntil is when another router can no longer grant permits for the server.
	takeoverUntil time.Time
	formerEnded   bool
	// longest and longestBefore are the longest exchanges since durationsSince and in the window before.
	longest, longestBefore time.Duration
	durationsSince         time.Time
	releases               recent
	denials                recent
	lastUse                time.Time
}

// holder is a router that has requests in progress.
type holder struct {
	permits map[uint64]time.Time // when they were granted
	// foreign are those that another router granted, by the holder's last report.
	foreign []uint64
	others  int // requests without a permit
	heard   time.Time
	expires time.Time
}

// inProgress returns the requests that count: none once the holder has been silent for too long.
func (h *holder) inProgress(now time.Time) int {
	if !now.Before(h.expires) {
		return 0
	}
	return len(h.permits) + len(h.foreign) + h.others
}

// isForgotten reports whether the holder has no requests. Those of a silent one are kept up to holderTTL: they
// count again if it was only slow.
func (h *holder) isForgotten(now time.Time) bool {
	return len(h.permits)+len(h.foreign)+h.others == 0 || now.Sub(h.heard) >= holderTTL
}

// waiter is a request that is answered at once or later, by a single call of answer.
type waiter struct {
	Request
	answer func(Answer)
}

// newServer returns the state of a server.
func newServer(s Server, now time.Time) *server {
	state := &server{holders: make(map[string]*holder), limit: unknownSlots, lastUse: now}
	state.update(s)
	return state
}

// takeOver prepares for permits of another grantor. Nothing is granted until all routers have reported theirs.
// Some routers may ask the other one until they know that it no longer is the grantor, so half of the slots
// are left to it, unless it has ended.
func (s *server) takeOver(now time.Time, ended bool, reportInterval time.Duration) {
	s.pausedUntil = now.Add(reportInterval)
	s.takeoverUntil = now.Add(takeoverTime)
	s.formerEnded = ended
}

// update takes over what a router knows of the server. The least number of slots applies that any
// router knows.
func (s *server) update(known Server) {
	s.tolerated = known.Tolerated
	if known.Slots <= 0 || s.slots > 0 && known.Slots >= s.slots {
		return
	}
	if s.slots == 0 {
		s.limit = known.Slots
	}
	s.slots = known.Slots
	s.limit = min(s.limit, s.slots)
}

// request grants, queues or denies a request.
func (s *server) request(w *waiter, now time.Time) {
	s.update(w.Server)
	s.expire(now)
	s.holder(w.Holder, now).others = w.Others
	s.grantWaiting(now)
	switch {
	case now.Before(s.pausedUntil):
		s.deny(w, now, true)
	case len(s.waiting) == 0 && s.hasRoom(now):
		s.grant(w, now)
	case len(s.waiting) >= s.limit && !s.displace(w, now):
		s.deny(w, now, true)
	case w.Wait <= 0:
		s.deny(w, now, false)
	default:
		s.enqueue(w)
	}
}

// hasRoom reports whether the server can take another request.
func (s *server) hasRoom(now time.Time) bool {
	limit := s.limit
	if now.Before(s.takeoverUntil) && !s.formerEnded {
		limit = max(1, limit/2)
	}
	return s.inProgress(now) < limit
}

// inProgress returns the number of requests in progress of all routers, as far as known.
func (s *server) inProgress(now time.Time) int {
	sum := len(s.lingering)
	for _, h := range s.holders {
		sum += h.inProgress(now)
	}
	return sum
}

// expire removes the requests of routers that were not heard of again, and those that lingered.
func (s *server) expire(now time.Time) {
	s.lastUse = now
	for name, h := range s.holders {
		if h.isForgotten(now) {
			delete(s.holders, name)
		}
	}
	s.lingering = slices.DeleteFunc(s.lingering, func(until time.Time) bool { return !now.Before(until) })
}

// grant gives a permit.
func (s *server) grant(w *waiter, now time.Time) {
	s.holder(w.Holder, now).permits[w.Permit] = now
	w.answer(Answer{Granted: true})
}

// record takes over a permit that another router granted.
func (s *server) record(r Request, now time.Time) {
	s.update(r.Server)
	s.expire(now)
	h := s.holder(r.Holder, now)
	h.permits[r.Permit], h.others = now, r.Others
}

// disconnected shortens the time for which a router's requests count.
func (s *server) disconnected(name string, now time.Time) {
	h, longest := s.holders[name], s.longestExchange(now)
	if until := now.Add(longest); h != nil && longest > 0 && until.Before(h.expires) {
		h.expires = until
	}
}

// longestExchange returns the longest recent time from a permit's grant to its return; zero if unknown.
func (s *server) longestExchange(now time.Time) time.Duration {
	if now.Sub(s.durationsSince) >= 2*durationWindow {
		return 0
	}
	return max(s.longest, s.longestBefore)
}

// recordExchange takes over how long a request took.
func (s *server) recordExchange(took time.Duration, now time.Time) {
	switch age := now.Sub(s.durationsSince); {
	case age >= 2*durationWindow:
		s.longest, s.longestBefore, s.durationsSince = 0, 0, now
	case age >= durationWindow:
		s.longest, s.longestBefore, s.durationsSince = 0, s.longest, now
	}
	s.longest = max(s.longest, took)
}

// silentTTL returns how long the requests of a router count that is not heard of. They may have ended when it
// has missed a report and as much time has passed as requests at the server take.
func (s *server) silentTTL(now time.Time) time.Duration {
	if longest := s.longestExchange(now); longest > 0 {
		return min(holderTTL, silentAfter+longest)
	}
	return holderTTL
}

// holder returns the state of a router that was heard of now.
func (s *server) holder(name string, now time.Time) *holder {
	h := s.holders[name]
	if h == nil {
		h = &holder{permits: make(map[uint64]time.Time)}
		s.holders[name] = h
	}
	h.heard, h.expires = now, now.Add(s.silentTTL(now))
	return h
}

// deny refuses a permit. If holdOff is set, the router is told not to ask again for a while.
func (s *server) deny(w *waiter, now time.Time, holdOff bool) {
	s.denials.add(now, rateWindow)
	answer := Answer{RetryAfter: s.retryAfter(now)}
	if holdOff {
		answer.HoldOff = min(max(minHoldOff, s.pausedUntil.Sub(now), time.Duration(s.denials.count(now, rateWindow))*holdOffPerDenial), maxHoldOff)
	}
	w.answer(answer)
}

// retryAfter estimates when there is a permit for one who asks again: when those who wait have theirs.
func (s *server) retryAfter(now time.Time) time.Duration {
	perSecond := max(1, s.releases.count(now, rateWindow))
	wait := time.Duration(len(s.waiting)+1) * rateWindow / time.Duration(perSecond)
	return min(max(minRetryAfter, s.pausedUntil.Sub(now)+wait), maxRetryAfter)
}

// enqueue adds a request behind those that are as urgent.
func (s *server) enqueue(w *waiter) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].Priority > w.Priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// displace denies the last request of a full queue if it is less urgent than w.
func (s *server) displace(w *waiter, now time.Time) bool {
	last := len(s.waiting) - 1
	if last < 0 || w.Wait <= 0 || s.waiting[last].Priority <= w.Priority {
		return false
	}
	displaced := s.waiting[last]
	s.waiting = s.waiting[:last]
	s.deny(displaced, now, true)
	return true
}

// cancel denies a request that has waited for long enough. It does nothing if the request was answered.
func (s *server) cancel(w *waiter, now time.Time) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.deny(w, now, true)
	}
}

// release takes a permit back.
func (s *server) release(r Release, now time.Time) {
	s.update(r.Server)
	s.expire(now)
	before := s.inProgress(now)
	if h := s.holders[r.Holder]; h != nil {
		if granted, known := h.permits[r.Permit]; known {
			s.recordExchange(now.Sub(granted), now)
		}
		delete(h.permits, r.Permit)
		h.foreign = slices.DeleteFunc(h.foreign, func(permit uint64) bool { return permit == r.Permit })
	}
	switch r.Outcome {
	case Served:
		s.releases.add(now, rateWindow)
		s.raiseLimit(before, now)
	case Rejected:
		s.reject(max(before, r.Load+1), now)
	case Abandoned:
		s.lingering = append(s.lingering, now.Add(lingerTime))
	}
	s.grantWaiting(now)
}

// report takes over a router's requests in progress. A permit that the router doesn't name was lost with the
// answer that granted it, unless it was granted just now. One that is unknown here was granted by another
// router, to which it is returned: it counts until the next report.
func (s *server) report(name string, u Usage, now time.Time) {
	s.update(u.Server)
	s.expire(now)
	h := s.holder(name, now)
	h.others = u.Others
	for permit, grantedAt := range h.permits {
		if now.Sub(grantedAt) >= lostAfter && !slices.Contains(u.Permits, permit) {
			delete(h.permits, permit)
		}
	}
	h.foreign = nil
	if now.Before(s.takeoverUntil) {
		for _, permit := range u.Permits {
			if _, known := h.permits[permit]; !known {
				h.foreign = append(h.foreign, permit)
			}
		}
	}
	s.grantWaiting(now)
}

// grantWaiting grants permits to those who wait, as long as there is room.
func (s *server) grantWaiting(now time.Time) {
	for len(s.waiting) > 0 && !now.Before(s.pausedUntil) && s.hasRoom(now) {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.grant(first, now)
	}
}

// reject lowers the limit after the server rejected a request, with inProgress requests in progress
// including this one, as far as known or reported by the server. After half of the rejections that the
// server survives, nothing is granted until the first of them no longer counts.
func (s *server) reject(inProgress int, now time.Time) {
	s.rejections.add(now, rejectionWindow)
	if s.rejectedLevel == 0 || inProgress < s.rejectedLevel || now.Sub(s.rejectedAt) >= rejectedLevelTTL {
		s.rejectedLevel = max(2, inProgress)
	}
	s.rejectedAt, s.raisedAt = now, now
	s.limit = min(s.limit, s.rejectedLevel-1)
	s.pausedUntil = now.Add(rejectionPause)
	if s.rejections.count(now, rejectionWindow) >= s.maxRejections() {
		s.pausedUntil = s.rejections.oldest().Add(rejectionWindow)
	}
	for _, w := range s.waiting {
		s.deny(w, now, true)
	}
	s.waiting = nil
}

// maxRejections is the number of rejections in a window after which nothing is granted. The other half of
// what the server tolerates is left for requests on their way.
func (s *server) maxRejections() int {
	return max(1, int(math.Ceil(s.tolerated/2)))
}

// raiseLimit raises the limit by one if all of it was in use and the server rejected nothing lately.
func (s *server) raiseLimit(inProgress int, now time.Time) {
	if inProgress < s.limit || s.limit >= s.highestLimit(now) || now.Sub(s.raisedAt) < raiseInterval {
		return
	}
	s.limit++
	s.raisedAt = now
}

// highestLimit returns up to where the limit may rise.
func (s *server) highestLimit(now time.Time) int {
	highest := maxUnknownLimit
	if s.slots > 0 {
		highest = s.slots
	}
	if s.rejectedLevel > 0 && now.Sub(s.rejectedAt) < rejectedLevelTTL {
		highest = min(highest, s.rejectedLevel-1)
	}
	return highest
}

// recent counts events within a window.
type recent struct {
	times []time.Time
}

func (r *recent) add(now time.Time, window time.Duration) {
	r.drop(now, window)
	r.times = append(r.times, now)
}

func (r *recent) count(now time.Time, window time.Duration) int {
	r.drop(now, window)
	return len(r.times)
}

func (r *recent) oldest() time.Time {
	return r.times[0]
}

func (r *recent) drop(now time.Time, window time.Duration) {
	i := 0
	for i < len(r.times) && now.Sub(r.times[i]) >= window {
		i++
	}
	r.times = r.times[i:]
}
