package fleet

import (
	"log/slog"

	"chicorytiller.example/chicorytiller/internal/event"
)

// presence counts a service's servers that are neither leaving nor evacuated.
type presence struct {
	known, missing int
}

// enough reports whether two thirds or more of the servers have entries. The missing ones are then more
// likely to have left than to have expired with all others in an outage, and the service can do without
// them until their entries return.
func (p presence) enough() bool {
	return p.missing > 0 && 3*(p.known-p.missing) >= 2*p.known
}

// serviceVersion is a software version of a service's servers.
type serviceVersion struct {
	service, version string
}

// updateMissing decides for each service whether servers without an entry get new requests during the
// grace period, and logs changes of the decision. Missing servers of a version of which no other server can
// take requests stay in use: requests that are tied to the version can't go elsewhere. While the store is
// unreachable all missing servers stay in use, since none can register again.
func (r *Registry) updateMissing() {
	services := make(map[string]presence, len(r.unused))
	for service := range r.unused {
		services[service] = presence{}
	}
	present := make(map[serviceVersion]bool)
	for _, known := range r.servers {
		server := known.server
		if server.Leaving() || server.Evacuated() {
			continue
		}
		p := services[server.Service]
		p.known++
		if known.expired || known.unreadable {
			p.missing++
		} else {
			present[serviceVersion{server.Service, server.Version}] = true
		}
		services[server.Service] = p
	}
	unused := make(map[string]bool)
	for _, known := range r.servers {
		server := known.server
		missing := r.reachable && known.expired && services[server.Service].enough() && present[serviceVersion{server.Service, server.Version}]
		server.setMissing(missing)
		if missing && !server.Leaving() && !server.Evacuated() {
			unused[server.Service] = true
		}
	}
	for service, p := range services {
		if unused[service] == r.unused[service] {
			continue
		}
		r.unused[service] = unused[service]
		r.log.Emit(event.MissingUnused, slog.String("service", service), slog.Bool("unused", unused[service]),
			slog.Int("missing", p.missing), slog.Int("known", p.known), slog.Int64("unheard_ms", r.sinceLastAnswer().Milliseconds()))
	}
}

// HasMissing implements store.OutageVerifier.
func (r *Registry) HasMissing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if known.expired {
			return true
		}
	}
	return false
}

// RefuteOutage implements store.OutageVerifier. It drops the servers whose entries are missing: they have left.
func (r *Registry) RefuteOutage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grace.cancel()
	for key, known := range r.servers {
		if known.expired {
			r.drop(key, known, "gone")
		}
	}
	r.publish()
}
