package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/predict"
	"chicorytiller.example/chicorytiller/internal/request"
)

// spreadMs is the range of a term that differs for each request and server. Without it, all routers send what
// no server has in its cache to the first of the servers that they know nothing about.
const spreadMs = 6

// prediction is what the estimates of one choice have in common.
type prediction struct {
	active bool // the service's servers report a pace
	params predict.Params
	seed   uint64
	share  float64 // of the servers that are compared, above 1 for all
}

// maxPredicted is about how many servers of a service are compared for a request, beside the home of its prompt.
// The cheapest of that many, which differ for each request, is hardly worse than that of some thousand.
const maxPredicted = 400

// skips reports whether the server with index i is not compared.
func (p *prediction) skips(i int) bool {
	return p.active && p.share < 1 && p.fraction(i+1<<20) >= p.share
}

// maxPredictedPrompt is the length in tokens of the longest prompts whose server is chosen by prediction, some two
// chunks that a server reads between tokens of its streams. Longer ones stay with the estimate that favors the
// servers which have their parts in the cache: by predicted pauses they are spread over more servers, which then
// read the same parts again, and have less time for everything else.
const maxPredictedPrompt = 4000

// isPredictable reports whether the server of a request may be chosen by prediction: that of a call without
// token counts, or of a stream with a short prompt. Answers with token counts that are not streams bring nothing
// until they are complete, which looks like a server that stalls.
func isPredictable(r *request.Request) bool {
	if !r.HasTokenUsage {
		return true
	}
	return r.Route != nil && r.Route.Kind == policy.Streaming && r.PromptTokens <= maxPredictedPrompt
}

func (c *Chooser) prediction(r *request.Request, now time.Time) prediction {
	params, active := c.params(r.Service, now)
	if !active || !isPredictable(r) {
		return prediction{}
	}
	return prediction{active: true, params: params, seed: xxhash.Sum64String(r.ID)}
}

func (c *Chooser) params(service string, now time.Time) (predict.Params, bool) {
	if c.looking {
		return c.model.LookParams(service, now)
	}
	return c.model.Params(c.model.Service(service), now)
}

// predict estimates the cost of a request at the server with index i.
func (c *Chooser) predict(p *prediction, s *fleet.Server, i int, status fleet.Status, r *request.Request, isHome bool, now time.Time) Choice {
	choice := Choice{Server: s, predicted: true}
	w := &choice.work
	w.Own, w.Slots, w.Queued, w.TokensPerEvent = status.Outstanding, status.Slots, status.Prefill, r.TokensPerEvent
	if r.Route != nil {
		w.LatencyGoal, w.GapGoal = r.Route.LatencyGoal, r.Route.GapGoal
	}
	if r.HasTokenUsage {
		w.Tokens = true
		w.Unread = max(0, float64(r.PromptTokens-c.cachedTokens(s, r, isHome, now)))
		choice.UncachedTokens = w.Unread
	}
	choice.Estimate = c.model.Estimate(&p.params, &s.Prediction, w, now)
	choice.CostMs = choice.Estimate.CostMs + spreadMs*p.fraction(i)
	if s.Domain != c.domain {
		choice.CostMs += crossDomainMs
	}
	return choice
}

// fraction returns a pseudo-random number in [0, 1) for a server's index.
func (p *prediction) fraction(i int) float64 {
	x := (p.seed ^ uint64(i+1)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return float64(x>>11) / (1 << 53)
}

// Begin records that a request is sent to the chosen server. The result receives its events and must be ended.
// It is nil if the server was not chosen by prediction.
func (c *Chooser) Begin(choice Choice, r *request.Request) *predict.Stream {
	if !choice.predicted {
		return nil
	}
	return c.model.Begin(c.model.Service(r.Service), &choice.Server.Prediction, choice.work, choice.Estimate, c.now())
}

// ObserveLoad records the load and the pace that a server reported.
func (c *Chooser) ObserveLoad(s *fleet.Server, l fleet.Load) {
	if l.Pace > 0 {
		others := max(0, l.Running+l.Waiting-s.Outstanding())
		c.model.ObservePace(c.model.Service(s.Service), &s.Prediction, l.Pace, others, c.now())
	}
}
