// Package policy holds one version of the operator's configuration as immutable
// objects: routes, services, client accounts and limits, with the look-ups that a
// request needs.
package policy

import (
	"sort"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Kind says how often a request may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run once at most.
	NonIdempotent
	// Streaming requests are answered by a series of events. They may run once at
	// most, unless their route is resumable.
	Streaming
)

// Target is one service of a route with its share of the route's requests.
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
	Timeout     time.Duration // longest time that the operator lets a caller wait
	LatencyGoal time.Duration // time within which an answer has its full worth
	GapGoal     time.Duration // longest pause between events that is still on time
	Priority    int           // 0 is the most urgent
	Targets     []Target
	MaxAttempts int  // most backend servers that one request may be sent to
	Public      bool // needs no key
	// Resumable streams may be continued at another backend server.
	Resumable bool
}

// Retryable says whether a request of the route may run a second time.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService picks a service by weight. roll is uniform in [0, 1).
func (r *Route) PickService(roll float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	left := int(roll * float64(total))
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// TokensPerEvent is what one event of a stream holds at most.
	TokensPerEvent int
	// WarmUp is how long a server is cold after a start.
	WarmUp time.Duration
	// ColdRate is the requests a second that a cold server bears; 0: as many as a warm one.
	ColdRate float64
}

// Account is a client account: who pays.
type Account struct {
	Name string
	// Priority replaces that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
	// Prepaid is the tokens that the account may consume in all.
	Prepaid int64
	// Metered is set if the account has a prepaid budget at all.
	Metered bool
	// Contract is set where the account has one; it limits what the account may do.
	Contract *contract.Contract
}

// Catalogue lists models and plain services by name.
type Catalogue struct {
	Models   map[id.Model]contract.Model
	Services map[id.Service]contract.Service
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Policy is one version of the configuration. It is never changed once built.
type Policy struct {
	Version  int64
	Limits   Limits
	Accounts map[string]*Account
	Services map[string]*Service
	// Catalogue is what callers of the product's own interface may ask for.
	Catalogue Catalogue

	byKey  map[string]*Account
	byHost map[string][]*Route // longest prefix first
}

// Definition is what a Policy is built from.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Keys     map[string]string // API key to account name
	Limits   Limits

	Catalogue Catalogue
}

// New builds the indexes of a policy.
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

// Route returns the route with the longest prefix that begins the path, or nil.
func (p *Policy) Route(host, path string) *Route {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that holds an API key, or nil.
func (p *Policy) AccountByKey(key string) *Account {
	return p.byKey[key]
}
