package node

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/callers"
	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Explain implements peers.StateSource. It tells what this router would do with a request now, and does not log
// the query, which contains an API key.
func (n *Node) Explain(q explain.Query) (report explain.Report, err error) {
	defer func() {
		if cause := recover(); cause != nil { // net/rpc would let it end the process
			n.log.EmitPanic("explaining a request", cause)
			err = errors.New("the router failed to explain the request; its log has the cause")
		}
	}()
	r := &request.Request{ID: q.ID, Host: q.Host, RequestURI: q.Path, Path: q.Path, APIKey: q.Key, Arrived: time.Now(),
		Timeout: time.Duration(q.TimeoutMS) * time.Millisecond, HasTokenUsage: q.HasTokens, PromptTokens: q.PromptTokens, MaxOutputTokens: q.OutputTokens}
	if n.env.KeyName != nil {
		r.APIKey = n.env.KeyName(q.Key)
	}
	for _, part := range q.Parts {
		r.PromptParts = append(r.PromptParts, request.PromptPart(part))
	}
	report, refusal := n.forward.Explain(r)
	if n.refuses(r) {
		stopping := forward.NewRefusal(forward.RouterStopping)
		refusal = &stopping
	}
	report.Router, report.FailureDomain = n.settings.VM, n.settings.FailureDomain
	if refusal != nil {
		report.Refusal = &explain.Refusal{Cause: string(refusal.Cause), Detail: refusal.Detail,
			Status: callers.StatusCode(refusal.Cause), RetryAfterMS: float64(refusal.RetryAfterMilliseconds())}
	}
	return report, nil
}
