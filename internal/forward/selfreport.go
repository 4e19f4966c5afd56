package forward

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// observe takes over what a server says of itself in the head of an answer, whatever the answer is. sent is
// when the request was sent.
func (f *Forwarder) observe(server *fleet.Server, reply *upstream.Reply, sent time.Time) {
	now := time.Now()
	if reply.HasLoad {
		server.SetLoad(reply.Load, now)
		f.Chooser.ObserveLoad(server, reply.Load)
	}
	if reply.LoadFault != "" {
		f.Metrics.LoadFault(reply.LoadFault)
	}
	server.MarkCold(now, reply.ColdFor)
	server.MarkUnavailable(now, reply.RetryAfter)
	f.RateLimits.ObserveResponse(server.Incarnation, reply.RateLimit, sent)
	f.Fragility.ObserveResponse(server.Service, reply.Fragile, sent)
	f.observeLoad(server, reply)
	if reply.Leaving && !server.Leaving() {
		f.MarkLeaving(server)
	}
}
