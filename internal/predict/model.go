// Package predict estimates what a request costs at a backend server: the time to its first event, its longest
// pause, and what its prompt adds to the pauses of the streams that run there. It learns from what servers
// report and from the events of this router's own streams. It has no clock and does no I/O.
package predict

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Priors, bounds and time constants. Times are in milliseconds, rates in tokens per millisecond. A tempo is how
// long work takes at a server, relative to the service's normal time.
const (
	priorRate, minRate, maxRate = 40, 1, 2000
	priorWork, minWork, maxWork = 20, 0.5, 10_000
	priorUnread                 = 2000
	// priorSlowShare and priorSlowRatio describe servers whose machines are shared: one in seven takes 2.5
	// times as long at any moment, and half as many of those that are chosen.
	priorSlowShare, maxSlowShare               = 1.0 / 14, 0.6
	priorSlowRatio, minSlowRatio, maxSlowRatio = 2.5, 1.5, 10
	// slowFrom is the pace, relative to the normal one, from which a server counts as slowed.
	slowFrom           = 1.6
	minTempo, maxTempo = 0.2, 20
	// minSpeed and maxSpeed bound the learned mean speed of a server, as a logarithm.
	maxLogSpeed = 0.7
	maxRunning  = 10_000
	// maxStall bounds the current pause of a stream. Beyond it the request is sent elsewhere anyway.
	maxStall = 1000

	// reportDelay is how old the figures are that a server reports.
	reportDelay = 100 * time.Millisecond
	// tempoDecay is the time constant with which a tempo decays to the server's mean: other work on a
	// server's machine begins or ends about every 0.6 s.
	tempoDecay = 500 * time.Millisecond
	// gapDecay is the time constant with which tempos seen in the events of streams replace each other.
	gapDecay = 100 * time.Millisecond
	// loadDecay is the time constant with which a reported load decays to the server's mean.
	loadDecay = 500 * time.Millisecond
	// freshReport is the age up to which a reported pace is compared with the gaps between events.
	freshReport = 250 * time.Millisecond
	// activeTime is how long after the last report of a pace the service's estimates are used.
	activeTime = 10 * time.Second
	// freezeTime is the time without any observation or estimate after which this process is assumed to
	// have been stopped, so that pauses measured across it say nothing about servers.
	freezeTime = 300 * time.Millisecond
	// seenStep is the accuracy with which the last observation is known.
	seenStep = 10 * time.Millisecond
)

// Model holds what is known about services. It is safe for concurrent use.
type Model struct {
	mu       sync.Mutex
	services map[string]*Service

	// lastSeen is the latest time passed to the model, resumedAt the end of the last freeze.
	lastSeen, resumedAt atomic.Pointer[time.Time]
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{services: make(map[string]*Service)}
}

// Service is what is known about all servers of a service together.
type Service struct {
	mu     sync.Mutex
	params Params
}

// Params is a service's state at one moment.
type Params struct {
	// resumedAt is the end of this process's last freeze.
	resumedAt time.Time
	toldAt    time.Time
	// level is the normal pace of the service's servers; 1 is what they report as 100.
	level float64
	// slowShare is the share of reports with a raised pace, slowRatio by how much it is raised.
	slowShare, slowRatio float64
	// others is the mean number of other routers' requests in progress at a server.
	others float64
	// rate is the prefill rate at tempo 1.
	rate float64
	// gap is the time between events of a stream at tempo 1 while nothing is read; 0 if unknown.
	gap      float64
	gapCount int
	// work is the time for an answer without token counts at tempo 1.
	work float64
	// queue is the delay that each request in progress adds to a new one at tempo 1.
	queue float64
	// unread is the mean number of unread tokens of a prompt.
	unread float64
}

// Service returns the state of the named service.
func (m *Model) Service(name string) *Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		s = &Service{params: Params{level: 1, slowShare: priorSlowShare, slowRatio: priorSlowRatio, rate: priorRate, work: priorWork,
			queue: priorQueue, unread: priorUnread}}
		m.services[name] = s
	}
	return s
}

// Params returns the present state, and whether the service's servers report a pace.
func (m *Model) Params(s *Service, now time.Time) (p Params, active bool) {
	return s.paramsAt(now, m.seen(now))
}

// LookParams is Params without learning that the process runs. Unknown services are not active.
func (m *Model) LookParams(name string, now time.Time) (p Params, active bool) {
	m.mu.Lock()
	s := m.services[name]
	m.mu.Unlock()
	if s == nil {
		return Params{}, false
	}
	resumedAt := now
	if last, resumed := m.lastSeen.Load(), m.resumedAt.Load(); last != nil && now.Sub(*last) <= freezeTime && resumed != nil {
		resumedAt = *resumed
	}
	return s.paramsAt(now, resumedAt)
}

func (s *Service) paramsAt(now, resumedAt time.Time) (p Params, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p = s.params
	p.resumedAt = resumedAt
	return p, !p.toldAt.IsZero() && now.Sub(p.toldAt) < activeTime
}

// seen records that the process runs, and returns the end of its last freeze.
func (m *Model) seen(now time.Time) (resumedAt time.Time) {
	last := m.lastSeen.Load()
	if last == nil || now.Sub(*last) > freezeTime {
		resumedAt := now
		m.resumedAt.Store(&resumedAt)
	}
	if last == nil || now.Sub(*last) > seenStep {
		lastSeen := now
		m.lastSeen.Store(&lastSeen)
	}
	if resumed := m.resumedAt.Load(); resumed != nil {
		return *resumed
	}
	return now
}

// ObservePace records a server's report: its pace in percent of the normal time and the number of other routers'
// requests in progress.
func (m *Model) ObservePace(service *Service, server *Server, pace float64, otherRequests int, now time.Time) {
	m.seen(now)
	if !(pace > 0) {
		return
	}
	told := clamp(pace/100, minTempo, maxTempo)
	others := clamp(float64(otherRequests), 0, maxRunning)
	p := service.observeReport(told, others, now)
	server.observeReport(p, told, others, now)
}

// Weights of one observation in the means of a service and of a server.
const (
	serviceWeight = 0.02
	serverWeight  = 0.1
)

func (s *Service) observeReport(told, others float64, now time.Time) Params {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.params
	first := p.toldAt.IsZero()
	p.toldAt = now
	if first {
		p.others = others
	}
	p.others += serviceWeight * (others - p.others)
	if told < slowFrom*p.level {
		p.level += serviceWeight * (told - p.level)
		p.slowShare -= serviceWeight * p.slowShare
	} else {
		// The level follows upwards if most servers report a higher pace.
		p.level *= 1 + serviceWeight*p.slowShare
		p.slowShare = min(p.slowShare+serviceWeight*(1-p.slowShare), maxSlowShare)
		p.slowRatio = clamp(p.slowRatio+serviceWeight*(told/p.level-p.slowRatio), minSlowRatio, maxSlowRatio)
	}
	return *p
}

// observeGap learns the normal gap from one at a server with a known tempo.
func (s *Service) observeGap(gap, tempo float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.params
	p.gapCount++
	if p.gap == 0 {
		p.gap = gap / tempo
		return
	}
	weight, limit := serviceWeight, maxLogError
	if p.gapCount < firstGaps {
		weight, limit = 1/float64(p.gapCount), math.Inf(1)
	}
	p.gap = clamp(p.gap*math.Exp(weight*clamp(math.Log(gap/(tempo*p.gap)), -limit, limit)), minGap, maxGap)
}

// observeFirst learns the prefill rate, or the time of work without token counts, from the time to a first
// event. ms is that time at tempo 1.
func (s *Service) observeFirst(ms float64, w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.params
	if !w.Tokens {
		p.work = clamp(quantileStep(p.work, ms, 0.4), minWork, maxWork)
		return
	}
	p.unread += serviceWeight * (w.Unread - p.unread)
	if w.Unread >= minRateTokens {
		// Queues only lower the rate that is seen, so a high quantile is taken for the rate.
		p.rate = clamp(quantileStep(p.rate, w.Unread/max(ms-p.gap, ms/4), 0.65), minRate, maxRate)
	}
	excess := max(0, ms-(w.Unread+w.Queued)/p.rate-p.gap)
	p.queue = clamp(p.queue+serviceWeight*(excess/max(1, w.running)-p.queue), minQueue, maxQueue)
}

const (
	// minRateTokens is the size of a prompt from which its reading takes most of the time to its first event.
	minRateTokens = 500
	// The delay that a request in progress adds to a new one.
	priorQueue, minQueue, maxQueue = 2, 0.5, 20
	// maxLogError bounds the effect of one gap: gaps beside prompts that are being read say little about speed.
	maxLogError = 0.3
	// The first gaps count equally. The normal gap is bounded, in ms.
	firstGaps      = 30
	minGap, maxGap = 0.2, 2000
	// quantileWeight is the relative step of a tracked quantile.
	quantileWeight = 0.05
)

// quantileStep moves the estimate of a quantile by one observation.
func quantileStep(estimate, observed, quantile float64) float64 {
	if observed > estimate {
		return estimate * (1 + quantileWeight*quantile)
	}
	return estimate * (1 - quantileWeight*(1-quantile))
}

func clamp(x, low, high float64) float64 {
	if !(x > low) { // also if x is not a number
		return low
	}
	return min(x, high)
}
