package predict

import (
	"math"
	"time"
)

// Work is a request and what this router knows of the requests at the server that it may be sent to.
type Work struct {
	// Tokens is set if the request has token counts; otherwise all requests of the service count as equal work.
	Tokens bool
	// Unread is the number of the prompt's tokens that the server has to read.
	Unread float64
	// Queued is the number of prompt tokens that this router sent to the server and that are still unread.
	Queued float64
	// Own is the number of this router's requests in progress there.
	Own int
	// Slots is the number of requests that the server runs at the same time; 0 if unknown.
	Slots int
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// LatencyGoal and GapGoal are those of the request's route; 0 if there are none.
	LatencyGoal, GapGoal time.Duration

	running float64 // requests in progress when it was sent
}

// Estimate is the cost of a request at a server, in ms, with its components.
type Estimate struct {
	// FirstMs is the predicted time to the first event, QueueMs and ReadingMs the parts of it that are due to
	// other requests and to the prompt.
	FirstMs, QueueMs, ReadingMs float64
	// Running is the expected number of requests in progress at the server.
	Running float64
	// Pace is the expected tempo; 1 is normal. AgeMs is the age of what was last seen of it, -1 if that is old.
	Pace, AgeMs float64
	// PauseMs is the predicted longest pause.
	PauseMs float64
	// HarmMs is the cost of what the prompt adds to the pauses of the streams at the server.
	HarmMs float64
	// CostMs is the sum that servers are compared by.
	CostMs float64
}

const (
	// chunkTokens is the largest part of a prompt that a server reads between two tokens of its streams.
	chunkTokens = 2000
	// A time costs more from lateFrom of its goal on, since what other routers send is not known, and most at
	// lateTo. lateCost is that cost in parts of the goal: a late answer is worth a third or less.
	lateFrom, lateTo = 0.6, 1.2
	lateCost         = 1.5
	// selection is how much more often servers are slowed than those are that were chosen, and report. 2 is about
	// the factor in simulations of loads of model servers.
	selection = 2
	// runningMs is the cost of each request in progress at a server with token counts. The delay that was learned
	// is the mean, which most of them don't add: as a cost it drove prompts from the homes of their parts.
	runningMs = 2
	// maxHarmed bounds the number of streams that harm is counted for.
	maxHarmed = 100
	// stallIntervals is the number of intervals between events after which a stream counts as stalled, and
	// minStall the shortest such time, in ms: a busy router reads events late by some tens of milliseconds.
	stallIntervals = 3
	minStall       = 80
	// minOverdue is the time after the predicted one, in ms, from which an answer without token counts is overdue.
	minOverdue = 20
	// uncertainty is the standard deviation of the number of other routers' requests in parts of its square root.
	uncertainty = 0.6
	// occupiedCost is the cost of a server whose slots are all taken, beside the wait for one, in parts of a
	// request's work: its requests are late together if the server is slowed unnoticed.
	occupiedCost = 1.5
)

// late returns the cost of the risk that a time exceeds its goal.
func late(ms, goal float64) float64 {
	if goal <= 0 || ms <= lateFrom*goal {
		return 0
	}
	return lateCost * goal * min(1, (ms/goal-lateFrom)/(lateTo-lateFrom))
}

// Estimate predicts the cost of a request at a server.
func (m *Model) Estimate(p *Params, s *Server, w *Work, now time.Time) Estimate {
	s.mu.Lock()
	b := s.belief(p, now)
	queued := w.Queued
	others := s.othersAt(p, now)
	running := others + min(float64(max(w.Own, len(s.streams))), maxRunning)
	if len(s.streams) > 0 {
		b.stall = s.stall(now, p.resumedAt)
		queued = max(queued, s.unread())
	}
	s.mu.Unlock()
	switch {
	case !w.Tokens:
		b.suspectSlow(p)
	case b.stall < max(minStall, stallIntervals*p.gap*b.normal):
		b.stall = 0
	}
	e := Estimate{Running: running, AgeMs: b.ageMs}
	add := func(tempo, weight float64) {
		if weight > 0 {
			e.add(evaluate(p, w, tempo, queued, running, others, b.stall), weight)
		}
	}
	add(b.recent, b.weight)
	slowShare := min(maxSlowShare, selection*p.slowShare)
	add(b.normal, (1-b.weight)*(1-slowShare))
	add(b.normal*p.slowRatio, (1-b.weight)*slowShare)
	return e
}

func (e *Estimate) add(other Estimate, weight float64) {
	e.FirstMs += weight * other.FirstMs
	e.QueueMs += weight * other.QueueMs
	e.ReadingMs += weight * other.ReadingMs
	e.Pace += weight * other.Pace
	e.PauseMs += weight * other.PauseMs
	e.HarmMs += weight * other.HarmMs
	e.CostMs += weight * other.CostMs
}

// belief is what is known of a server's tempo: the recent one with a weight, and the normal one.
type belief struct {
	recent, weight, normal, stall, ageMs float64
}

func (s *Server) belief(p *Params, now time.Time) belief {
	level := s.level
	if level == 0 {
		level = p.level
	}
	b := belief{normal: level, ageMs: -1}
	if s.logSpeed != 0 {
		b.normal *= math.Exp(s.logSpeed)
	}
	if age := now.Sub(s.tempoAt); s.tempo > 0 && age < 6*tempoDecay {
		b.ageMs = milliseconds(max(0, age))
		b.recent, b.weight = s.tempo, math.Exp(-float64(max(0, age))/float64(tempoDecay))
	}
	return b
}

// suspectSlow raises the tempo if an answer is overdue.
func (b *belief) suspectSlow(p *Params) {
	overdue := b.stall - max(minOverdue, p.work*b.normal/2)
	if b.stall = 0; overdue <= 0 {
		return
	}
	weight := min(1, overdue/(p.work*b.normal))
	b.recent, b.weight = (b.weight*b.recent+weight*b.normal*p.slowRatio)/(b.weight+weight), max(b.weight, weight)
	b.stall = overdue
}

// othersAt returns the expected number of other routers' requests in progress.
func (s *Server) othersAt(p *Params, now time.Time) float64 {
	if s.toldAt.IsZero() {
		return p.others
	}
	weight := 0.0
	if age := now.Sub(s.toldAt); age < 4*loadDecay {
		weight = math.Exp(-float64(max(0, age)) / float64(loadDecay))
	}
	return weight*s.others + (1-weight)*s.meanOthers
}

// evaluate returns the cost at a given tempo.
func evaluate(p *Params, w *Work, tempo, queued, running, others, stall float64) Estimate {
	e := Estimate{Pace: tempo}
	latencyGoal, gapGoal := milliseconds(w.LatencyGoal), milliseconds(w.GapGoal)
	if !w.Tokens {
		e.ReadingMs = tempo * p.work
		e.QueueMs = stall + tempo*p.work*occupancy(running, others, w.Slots)
		e.FirstMs = e.QueueMs + e.ReadingMs
		e.CostMs = e.FirstMs + late(e.FirstMs, latencyGoal)
		return e
	}
	e.ReadingMs = tempo * w.Unread / p.rate
	e.QueueMs = stall + tempo*(queued/p.rate+p.queue*running)
	e.FirstMs = e.QueueMs + e.ReadingMs + tempo*p.gap
	// While unread tokens wait, a chunk of them is read before each token, so an event takes at most as many
	// chunks as it has tokens.
	most := float64(max(1, w.TokensPerEvent)) * chunkTokens
	hidden := p.queue * running * p.rate // unread tokens of other routers' requests
	pause := func(unread float64) float64 { return tempo * (p.gap + min(hidden+unread, most)/p.rate) }
	e.PauseMs = pause(queued + p.unread)
	before := max(stall, pause(queued))
	after := max(stall+tempo*min(w.Unread, most)/p.rate, pause(queued+w.Unread))
	e.HarmMs = min(running, maxHarmed) * (late(after, gapGoal) - late(before, gapGoal))
	first := e.FirstMs + tempo*(runningMs-p.queue)*running
	e.CostMs = first + late(first, latencyGoal) + late(e.PauseMs, gapGoal) + e.HarmMs
	return e
}

// occupancy returns the expected delay that the requests in progress cause, in parts of a request's work. others
// of them are those of other routers, whose number is not exact.
func occupancy(running, others float64, slots int) float64 {
	if slots <= 0 {
		return running
	}
	deviation := uncertainty * math.Sqrt(others+0.25)
	excess := (running + 1 - float64(slots)) / deviation
	if excess < 20 {
		excess = math.Log1p(math.Exp(excess))
	}
	return (excess*deviation + occupiedCost*running) / float64(slots)
}
