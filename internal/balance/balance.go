// Package balance chooses the backend server for a request: the one that is expected to
// begin its answer first, given the work that each server already has and the part of the
// request's prompt that it has in its cache.
package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/predict"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Terms of the cost estimate, in milliseconds unless stated otherwise.
const (
	// prefillTokensPerMs is the assumed rate at which a server processes prompt tokens. Servers
	// don't report it. Only its ratio to the other terms matters.
	prefillTokensPerMs = 40
	// runningRequestMs is the delay that each running request adds to a new one: its share of a
	// generation step, and of the prompts sent by other routers. A larger value drives requests
	// away from the servers that have their shared prompt parts in the cache.
	runningRequestMs = 2
	// crossDomainMs is the cost of sending to another failure domain: the longer round trip, and
	// traffic that is charged for.
	crossDomainMs = 10
	// serviceRequestMs is the time that a request spends at a server of a service without
	// token counts.
	serviceRequestMs = 20
	// coldPenaltyMs keeps requests away from cold servers unless the warm ones have a longer
	// queue than this.
	coldPenaltyMs = 150
	// probeBonusMs is larger than the estimate of any server that answers at all, so that a
	// server to be probed is always chosen.
	probeBonusMs = 1e6
)

// cacheRetention is how long a server is assumed to cache a prompt part after its last use.
const cacheRetention = 20 * time.Second

// Pacer limits the requests sent to servers that are cold or announce a rate limit.
type Pacer interface {
	// Paced reports whether requests to a server are limited now.
	Paced(*fleet.Server) bool
	// CanAcquire reports whether TryAcquire would allow a request to a paced server.
	CanAcquire(*fleet.Server) bool
	// TryAcquire counts a request to a paced server and returns true, or returns false if
	// the request may not be sent.
	TryAcquire(*fleet.Server) bool
	// ProbeDue reports whether the next request should go to a server whatever its estimate,
	// to learn whether the server still announces its limit.
	ProbeDue(*fleet.Server) bool
	// Delay returns the time after which another request to a paced server makes sense.
	Delay(*fleet.Server) time.Duration
}

// Chooser chooses backend servers. It is safe for concurrent use.
type Chooser struct {
	domain string // failure domain of this router
	pacer  Pacer
	now    func() time.Time
	model  *predict.Model

	// looking is set in the chooser that Looker returns.
	looking bool

	mu        *sync.Mutex              // guards sentParts
	sentParts map[serverPart]time.Time // when this router last sent a prompt part to a server
}

// serverPart is a prompt part at one incarnation of a server. The part is a hash of its ID: callers choose the length
// of IDs, and a part of a header keeps all of it in memory.
type serverPart struct {
	incarnation string
	part        uint64
}

func partAt(s *fleet.Server, partID string) serverPart {
	return serverPart{s.Incarnation, xxhash.Sum64String(partID)}
}

// NewChooser returns a chooser for a router in the given failure domain. A nil now means
// time.Now.
func NewChooser(domain string, pacer Pacer, now func() time.Time) *Chooser {
	if now == nil {
		now = time.Now
	}
	return &Chooser{domain: domain, pacer: pacer, now: now, model: predict.NewModel(), mu: new(sync.Mutex), sentParts: make(map[serverPart]time.Time)}
}

// Choice is a server with its cost estimate for a request.
type Choice struct {
	Server *fleet.Server
	// UncachedTokens is the expected number of prompt tokens that the server doesn't have in its
	// cache and must process.
	UncachedTokens float64
	// CostMs is the estimated cost of sending the request to the server, in milliseconds.
	CostMs float64
	// Estimate has the components of the cost; zero if the server was not chosen by prediction.
	predict.Estimate
	// work is what the estimate is for.
	work      predict.Work
	predicted bool
	// inBackoff is set if the server failed recently, paced if the pacer limits its requests.
	inBackoff, paced bool
}

// Choose returns the cheapest of the servers that are not excluded; Server is nil if there is
// none. A server that failed recently is chosen only if there is no other, a paced one only if
// the pacer allows the request.
func (c *Chooser) Choose(servers []*fleet.Server, r *request.Request, excluded func(*fleet.Server) bool) Choice {
	homeServer := c.homeServer(servers, r.LastSharedPartID())
	best := c.bestChoice(servers, r, homeServer, excluded, c.pacer.CanAcquire)
	if best.paced && !c.pacer.TryAcquire(best.Server) {
		never := func(*fleet.Server) bool { return false }
		return c.bestChoice(servers, r, homeServer, excluded, never) // another request was counted meanwhile
	}
	return best
}

// bestChoice compares the servers that may get the request. canAcquire reports whether a paced
// server may get it.
func (c *Chooser) bestChoice(servers []*fleet.Server, r *request.Request, homeServer *fleet.Server, excluded, canAcquire func(*fleet.Server) bool) Choice {
	best, _ := c.search(servers, r, homeServer, excluded, canAcquire, c.now())
	return best
}

// search is bestChoice that also returns what the estimates had in common.
func (c *Chooser) search(servers []*fleet.Server, r *request.Request, homeServer *fleet.Server, excluded, canAcquire func(*fleet.Server) bool, now time.Time) (Choice, prediction) {
	prediction := c.prediction(r, now)
	prediction.share = float64(maxPredicted) / float64(max(1, len(servers)))
	best := c.compare(servers, &prediction, r, homeServer, excluded, canAcquire, now)
	if prediction.share < 1 && (best.Server == nil || best.inBackoff || best.paced) {
		prediction.share = 1
		best = c.compare(servers, &prediction, r, homeServer, excluded, canAcquire, now)
	}
	return best, prediction
}

// compare returns the cheapest server.
func (c *Chooser) compare(servers []*fleet.Server, prediction *prediction, r *request.Request, homeServer *fleet.Server, excluded, canAcquire func(*fleet.Server) bool, now time.Time) Choice {
	best := Choice{}
	for i, s := range servers {
		if prediction.skips(i) && s != homeServer || excluded(s) {
			continue
		}
		v := c.judge(s, now, canAcquire)
		if v.state != Available {
			continue
		}
		if choice := c.weigh(s, i, prediction, r, homeServer, v, now); best.Server == nil || choice.before(&best) {
			best = choice
		}
	}
	return best
}

// weigh returns a server that may get the request, with its estimate. i is its index.
func (c *Chooser) weigh(s *fleet.Server, i int, prediction *prediction, r *request.Request, homeServer *fleet.Server, v verdict, now time.Time) Choice {
	status := s.Status(now)
	choice := Choice{}
	if prediction.active {
		choice = c.predict(prediction, s, i, status, r, s == homeServer, now)
	} else {
		choice = c.estimate(s, status, r, s == homeServer, now)
	}
	choice.inBackoff, choice.paced = status.InBackoff, v.paced
	if v.paced {
		choice.CostMs += c.pacingAdjustment(s, now)
	}
	return choice
}

// before reports whether a choice is better than another one.
func (c *Choice) before(other *Choice) bool {
	return other.inBackoff && !c.inBackoff || other.inBackoff == c.inBackoff && c.CostMs < other.CostMs
}

// pacingAdjustment returns what is added to the cost of a paced server, in milliseconds.
func (c *Chooser) pacingAdjustment(s *fleet.Server, now time.Time) float64 {
	switch {
	case s.ColdFor(now) > 0:
		return coldPenaltyMs
	case c.pacer.ProbeDue(s):
		return -probeBonusMs
	}
	return 0
}

func (c *Chooser) estimate(s *fleet.Server, status fleet.Status, r *request.Request, isHome bool, now time.Time) Choice {
	costMs := 0.0
	if s.Domain != c.domain {
		costMs += crossDomainMs
	}
	if !r.HasTokenUsage {
		return Choice{Server: s, CostMs: costMs + serviceRequestMs*float64(status.Running)}
	}
	uncached := float64(r.PromptTokens - c.cachedTokens(s, r, isHome, now))
	costMs += (status.Prefill+uncached)/prefillTokensPerMs + runningRequestMs*float64(status.Running)
	return Choice{Server: s, UncachedTokens: uncached, CostMs: costMs}
}

// cachedTokens estimates how many tokens of the prompt a server has in its cache: the longest
// run of leading parts that this router sent it recently, or all shared parts at their home
// server, where every router sends them.
func (c *Chooser) cachedTokens(s *fleet.Server, r *request.Request, isHome bool, now time.Time) int {
	if isHome {
		return r.SharedTokens()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := 0; i < len(r.PromptParts)-1; i++ {
		sentAt, found := c.sentParts[partAt(s, r.PromptParts[i].ID)]
		if !found || now.Sub(sentAt) > cacheRetention {
			break
		}
		sum += r.PromptParts[i].Tokens
	}
	return sum
}

// RecordSent records that the request's shared prompt parts were sent to a server.
func (c *Chooser) RecordSent(s *fleet.Server, r *request.Request) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(r.PromptParts)-1; i++ {
		c.sentParts[partAt(s, r.PromptParts[i].ID)] = now
	}
	c.pruneSentParts(now)
}

// maxSentParts bounds the memory used by sentParts; an entry takes about a hundred bytes.
const maxSentParts = 8192

// pruneSentParts removes expired entries once maxSentParts is reached, and all entries if that
// isn't enough.
func (c *Chooser) pruneSentParts(now time.Time) {
	if len(c.sentParts) < maxSentParts {
		return
	}
	for key, sentAt := range c.sentParts {
		if now.Sub(sentAt) > cacheRetention {
			delete(c.sentParts, key)
		}
	}
	if len(c.sentParts) >= maxSentParts {
		clear(c.sentParts)
	}
}

// homeServer returns the server that all routers prefer for a prompt part, by rendezvous
// hashing: each part is cached at one server, and when a server leaves, only its parts move.
func (c *Chooser) homeServer(servers []*fleet.Server, partID string) *fleet.Server {
	if partID == "" {
		return nil
	}
	var home *fleet.Server
	var highest uint64
	now := c.now()
	for _, s := range servers {
		if !s.AcceptsRequests(now) || c.pacer.Paced(s) {
			continue
		}
		if rank := xxhash.Sum64String(partID + "/" + s.ID); home == nil || rank > highest {
			home, highest = s, rank
		}
	}
	return home
}
