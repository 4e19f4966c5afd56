package fleet

import (
	"log/slog"

	"chicorytiller.example/chicorytiller/internal/event"
)

// presence counts a service's servers that are not leaving.
type presence struct {
	known, missing int
}

// enough reports whether two thirds or more of the servers have entries. The missing ones are then more
// likely to have left than to have expired with all others in an outage, and the service can do without
// them until their entries return.
func (p presence) enough() bool {
	return p.missing > 0 && 3*(p.known-p.missing) >= 2*p.known
}

// updateMissing decides for each service whether servers without an entry get new requests during the
// grace period, and logs changes of the decision.
func (r *Registry) updateMissing() {
	services := make(map[string]presence, len(r.unused))
	for _, known := range r.servers {
		if known.server.Leaving() {
			continue
		}
		p := services[known.server.Service]
		p.known++
		if known.expired || known.unreadable {
			p.missing++
		}
		services[known.server.Service] = p
	}
	for _, known := range r.servers {
		known.server.setMissing(known.expired && services[known.server.Service].enough())
	}
	for service, p := range services {
		unused := p.enough()
		if unused == r.unused[service] {
			continue
		}
		r.unused[service] = unused
		r.log.Emit(event.MissingUnused, slog.String("service", service), slog.Bool("unused", unused),
			slog.Int("missing", p.missing), slog.Int("known", p.known), slog.Int64("unheard_ms", r.sinceLastAnswer().Milliseconds()))
	}
}
