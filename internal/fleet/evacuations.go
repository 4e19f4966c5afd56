package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// ParseEvacuationKey reads the failure domain that an item of the operators orders to be evacuated.
// isOrder is false for an item that is no such order; its domain is empty if it names none.
type ParseEvacuationKey func(key string) (domain string, isOrder bool)

// Evacuations follows the operators' orders to evacuate failure domains: from an order's
// writing to its removal the backend servers of its domain get nothing new. While the store
// is away the orders known last stay in force.
type Evacuations struct {
	domainOf ParseEvacuationKey
	registry *Registry
	log      *event.Log

	mu sync.Mutex
	// orders are those in force, by key.
	orders map[string]store.Item
}

// NewEvacuations makes a list without orders; registry is told of each.
func NewEvacuations(domainOf ParseEvacuationKey, registry *Registry, log *event.Log) *Evacuations {
	return &Evacuations{domainOf: domainOf, registry: registry, log: log, orders: make(map[string]store.Item)}
}

// Reset replaces all orders by those among the items.
func (e *Evacuations) Reset(items []store.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reset(e, items)
}

// Apply takes changes in their order.
func (e *Evacuations) Apply(events []store.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	apply(e, events)
}

// Items returns the orders in force, for another router.
func (e *Evacuations) Items() []store.Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.orders))
}

func (e *Evacuations) put(item store.Item) {
	domain, isOrder := e.domainOf(item.Key)
	if !isOrder || e.orders[item.Key].Revision >= item.Revision {
		return
	}
	_, repeated := e.orders[item.Key]
	e.orders[item.Key] = item
	if repeated {
		return
	}
	if domain == "" {
		e.log.Emit(event.EntryRejected, slog.String("key", item.Key), slog.Int64("revision", int64(item.Revision)),
			slog.String(event.KeyCause, "evacuation of no failure domain"))
		return
	}
	servers := e.registry.evacuate(domain)
	e.log.Emit(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("revision", int64(item.Revision)),
		slog.Int("servers", servers))
}

func (e *Evacuations) missing(key string) {
	order, inForce := e.orders[key]
	if !inForce {
		return
	}
	delete(e.orders, key)
	domain, _ := e.domainOf(key)
	if domain == "" {
		return
	}
	servers := e.registry.restore(domain)
	e.log.Emit(event.DomainRestored, slog.String("failure_domain", domain), slog.Int64("revision", int64(order.Revision)),
		slog.Int("servers", servers))
}

func (e *Evacuations) keys() []string {
	return slices.Collect(maps.Keys(e.orders))
}
