// Package policy holds one version of the operator's configuration as immutable objects:
// routes, services, client accounts and limits, with the lookups that serving a request needs.
package policy

import (
	"sort"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Kind tells how often the requests of a route may run.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They may run at most once unless
	// their route is resumable.
	Streaming
)

// Target is a service of a route with its share of the route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route binds a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // upper bound of the time that a caller may wait
	LatencyGoal time.Duration // target latency; a later answer is worth less to the caller
	GapGoal     time.Duration // longest pause between two events of a stream that is still acceptable
	Priority    int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // number of backend servers that one request may be sent to
	Public      bool // requests need no API key
	// Resumable is set if another backend server may continue a stream.
	Resumable bool
}

// IsResumableStream reports whether the route's answers are streams that another server may continue.
func (r *Route) IsResumableStream() bool {
	return r.Kind == Streaming && r.Resumable
}

// Retryable reports whether a request of the route may run a second time.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.IsResumableStream()
}

// PickService returns a service chosen by weight. fraction must be uniformly distributed in [0, 1).
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	remaining := int(fraction * float64(total))
	for _, t := range r.Targets {
		remaining -= t.Weight
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent int
	// WarmUp is how long a server is cold after its start.
	WarmUp time.Duration
	// ColdRate is the number of requests per second that a cold server can take; 0 means as many
	// as a warm one.
	ColdRate float64
}

// Account is a client account, which requests are charged to.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the total number of tokens that the account may consume, if Metered is set.
	Prepaid int64
	// Metered is set if the account has a prepaid budget.
	Metered bool
	// Contract limits what the account may request; nil if it has none.
	Contract *contract.Contract
}

// Catalogue lists the models, and the services that are not models, by name.
type Catalogue struct {
	Models   map[id.Model]contract.Model
	Services map[id.Service]contract.Service
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxBodyBytes int64 // 0 means no limit
}

// Policy is one version of the configuration. It is immutable.
type Policy struct {
	Version  int64
	Limits   Limits
	Accounts map[string]*Account
	Services map[string]*Service
	// Catalogue is what callers of the native API may request.
	Catalogue Catalogue

	byKey  map[string]*Account
	byHost map[string][]*Route // sorted by prefix length, longest first
}

// Definition is the input that New builds a Policy from.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keys     map[string]string // API key to account name
	Limits   Limits

	Catalogue Catalogue
}

// New returns the policy for a definition. The policy shares the definition's slices.
func New(d Definition) *Policy {
	p := &Policy{
		Version: d.Version,
		Limits:  d.Limits,

		Catalogue: d.Catalogue,

		Accounts: make(map[string]*Account, len(d.Accounts)),
		Services: make(map[string]*Service, len(d.Services)),
		byKey:    make(map[string]*Account, len(d.Keys)),
		byHost:   make(map[string][]*Route),
	}
	for i := range d.Services {
		p.Services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		p.Accounts[d.Accounts[i].Name] = &d.Accounts[i]
	}
	for key, name := range d.Keys {
		p.byKey[key] = p.Accounts[name]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		p.byHost[r.Host] = append(p.byHost[r.Host], r)
	}
	for _, routes := range p.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return p
}

// Route returns the host's route with the longest prefix that matches the path, or nil.
func (p *Policy) Route(host, path string) *Route {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that an API key belongs to, or nil.
func (p *Policy) AccountByKey(key string) *Account {
	return p.byKey[key]
}
