package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// ParseEvacuationKey parses a store key as an operator's order to evacuate a failure domain.
// isOrder is false if the key is not an evacuation order; domain is empty if the order names none.
type ParseEvacuationKey func(key string) (domain string, isOrder bool)

// Evacuations tracks the operators' orders to evacuate failure domains. While an order exists,
// the backend servers of its domain get no new requests. If the store is unreachable, the last
// known orders stay in force.
type Evacuations struct {
	parseKey ParseEvacuationKey
	registry *Registry
	log      *event.Log

	mu sync.Mutex
	// orders holds the orders in force by store key.
	orders map[string]store.Item
}

// NewEvacuations returns an empty set of orders that applies each order to registry.
func NewEvacuations(parseKey ParseEvacuationKey, registry *Registry, log *event.Log) *Evacuations {
	return &Evacuations{parseKey: parseKey, registry: registry, log: log, orders: make(map[string]store.Item)}
}

// Reset replaces all orders with those in items.
func (e *Evacuations) Reset(items []store.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reset(e, items)
}

// Apply applies store changes in order.
func (e *Evacuations) Apply(events []store.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	apply(e, events)
}

// Items returns the stored items of the orders in force, to send to another router.
func (e *Evacuations) Items() []store.Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.orders))
}

func (e *Evacuations) put(item store.Item) {
	domain, isOrder := e.parseKey(item.Key)
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
			slog.String(event.KeyCause, "evacuation order names no failure domain"))
		return
	}
	servers := e.registry.evacuate(domain)
	e.log.Emit(event.DomainEvacuated, slog.String("failure_domain", domain), slog.Int64("revision", int64(item.Revision)),
		slog.Int("servers", servers))
}

func (e *Evacuations) remove(key string) {
	order, inForce := e.orders[key]
	if !inForce {
		return
	}
	delete(e.orders, key)
	domain, _ := e.parseKey(key)
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
