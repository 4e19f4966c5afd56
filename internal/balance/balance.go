// Package balance chooses the backend server for a request: the one that is
// expected to begin its answer first, given what each has to read before it and
// what it keeps of the request's prompt.
package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Weights of the estimate, in milliseconds unless said otherwise.
const (
	// tokensPerMs is how fast a server reads a prompt. Servers don't tell. Only its ratio to
	// the other weights matters.
	tokensPerMs = 40
	// runningMs is what a request at the server delays a new one: its share of a
	// step, and of prompts that this router doesn't know of. A larger one drives
	// requests away from the servers that keep their shared parts.
	runningMs = 2
	// domainMs is what crossing into another failure domain costs: the round trip, and bytes
	// that are paid for.
	domainMs = 10
	// serviceMs is one request's stay at a plain service's server.
	serviceMs = 20
	// coldMs keeps work away from cold servers while warm ones have no longer queue than this.
	coldMs = 150
	// dueMs is above the estimate of any server that answers at all.
	dueMs = 1e6
)

// cacheKept is how long a server is taken to keep a part after its last use.
const cacheKept = 20 * time.Second

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

// Chooser chooses servers. It is safe for concurrent use.
type Chooser struct {
	domain string // own failure domain
	pacer  Pacer
	now    func() time.Time

	mu   sync.Mutex
	read map[cached]time.Time // parts that this router had servers read
}

type cached struct {
	start, part string // of the server; of the prompt
}

// NewChooser makes a chooser for a router in the given failure domain. A nil now
// means time.Now.
func NewChooser(domain string, pacer Pacer, now func() time.Time) *Chooser {
	if now == nil {
		now = time.Now
	}
	return &Chooser{domain: domain, pacer: pacer, now: now, read: make(map[cached]time.Time)}
}

// Choice is the chosen server and why.
type Choice struct {
	Server *fleet.Server
	// UncachedTokens is the prompt tokens that the server is expected to have to read.
	UncachedTokens float64
	// CostMs is the estimate that won, in ms.
	CostMs float64
	// avoided: it failed lately. bounded: it bears few requests, and this one needs a permit.
	avoided, bounded bool
}

// Choose returns the best of the servers that are not excluded; its Server is nil
// if there is none. Servers that failed lately are taken only if all others are out, those
// that bear few requests only within their bound.
func (c *Chooser) Choose(servers []*fleet.Server, r *request.Request, excluded func(*fleet.Server) bool) Choice {
	home := c.homeOf(servers, r.LastSharedPartID())
	best := c.best(servers, r, home, excluded, c.pacer.CanAcquire)
	if best.bounded && !c.pacer.TryAcquire(best.Server) {
		none := func(*fleet.Server) bool { return false }
		return c.best(servers, r, home, excluded, none) // another request took the place meanwhile
	}
	return best
}

// best rates the servers that may get the request. room says of a bounded one whether it may.
func (c *Chooser) best(servers []*fleet.Server, r *request.Request, home *fleet.Server, excluded, room func(*fleet.Server) bool) Choice {
	now := c.now()
	best := Choice{}
	for _, s := range servers {
		if s.Ineligible() || excluded(s) {
			continue
		}
		bounded := c.pacer.Paced(s)
		if bounded && !room(s) {
			continue
		}
		status := s.Status(now)
		choice := c.rate(s, status, r, s == home, now)
		choice.avoided, choice.bounded = status.InBackoff, bounded
		if bounded {
			choice.CostMs += c.penalty(s, now)
		}
		better := best.Server == nil ||
			best.avoided && !choice.avoided ||
			best.avoided == choice.avoided && choice.CostMs < best.CostMs
		if better {
			best = choice
		}
	}
	return best
}

// penalty is what is added to the estimate of a server that bears few requests, in ms.
func (c *Chooser) penalty(s *fleet.Server, now time.Time) float64 {
	switch {
	case s.ColdFor(now) > 0:
		return coldMs
	case c.pacer.ProbeDue(s):
		return -dueMs
	}
	return 0
}

func (c *Chooser) rate(s *fleet.Server, status fleet.Status, r *request.Request, isHome bool, now time.Time) Choice {
	score := 0.0
	if s.Domain != c.domain {
		score += domainMs
	}
	if !r.HasTokenUsage {
		return Choice{Server: s, CostMs: score + serviceMs*float64(status.Running)}
	}
	unread := float64(r.PromptTokens - c.kept(s, r, isHome, now))
	score += (status.Prefill+unread)/tokensPerMs + runningMs*float64(status.Running)
	return Choice{Server: s, UncachedTokens: unread, CostMs: score}
}

// kept estimates the tokens of the prompt that a server need not read: the longest
// run of shared parts that it read for this router, or all of them at their home,
// where every router sends them.
func (c *Chooser) kept(s *fleet.Server, r *request.Request, isHome bool, now time.Time) int {
	if isHome {
		return r.SharedTokens()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for i := 0; i < len(r.PromptParts)-1; i++ {
		at, found := c.read[cached{s.Incarnation, r.PromptParts[i].ID}]
		if !found || now.Sub(at) > cacheKept {
			break
		}
		sum += r.PromptParts[i].Tokens
	}
	return sum
}

// RecordSent notes that a server reads the request's parts.
func (c *Chooser) RecordSent(s *fleet.Server, r *request.Request) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(r.PromptParts)-1; i++ {
		c.read[cached{s.Incarnation, r.PromptParts[i].ID}] = now
	}
	c.forget(now)
}

// readMost bounds the memory of parts; some hundred bytes each.
const readMost = 8192

func (c *Chooser) forget(now time.Time) {
	if len(c.read) < readMost {
		return
	}
	for key, at := range c.read {
		if now.Sub(at) > cacheKept {
			delete(c.read, key)
		}
	}
	if len(c.read) >= readMost {
		clear(c.read)
	}
}

// homeOf is the server that all routers prefer for a part (rendezvous hashing): a
// part is then read at one server, and only that server's parts move when it goes.
func (c *Chooser) homeOf(servers []*fleet.Server, part string) *fleet.Server {
	if part == "" {
		return nil
	}
	var home *fleet.Server
	var highest uint64
	for _, s := range servers {
		if s.Ineligible() || c.pacer.Paced(s) {
			continue
		}
		if rank := xxhash.Sum64String(part + "/" + s.ID); home == nil || rank > highest {
			home, highest = s, rank
		}
	}
	return home
}
