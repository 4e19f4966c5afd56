package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

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
	// lost holds the time at which an order was missing because the store had lost writes, by key. It
	// stays in force until its operator has had time to give it again.
	lost map[string]time.Time
	// followed is set once orders were read from the store.
	followed bool
}

// NewEvacuations returns an empty set of orders that applies each order to registry.
func NewEvacuations(parseKey ParseEvacuationKey, registry *Registry, log *event.Log) *Evacuations {
	return &Evacuations{parseKey: parseKey, registry: registry, log: log, orders: make(map[string]store.Item), lost: make(map[string]time.Time)}
}

// Reset replaces all orders with those in items. If the store has lost writes, missing ones stay in force
// until their operators have had time to give them again.
func (e *Evacuations) Reset(items []store.Item, silence store.Silence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.followed = true
	if !silence.LostWrites {
		clear(e.lost)
		reset(e, items)
		return
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		e.put(item)
	}
	e.keepLost(func(key string) bool { return !present[key] })
}

// Seed takes the orders that another router knows, unless orders were read from the store before: the
// other router's may be older.
func (e *Evacuations) Seed(items []store.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.followed {
		return
	}
	for _, item := range items {
		e.put(item)
	}
}

// Apply applies store changes in order. If the store has lost writes, it is as with Reset.
func (e *Evacuations) Apply(events []store.Event, silence store.Silence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.followed = true
	if silence.LostWrites {
		isDeleted := func(change store.Event) bool { return change.Deleted }
		e.keepLost(func(key string) bool {
			return slices.ContainsFunc(events, func(change store.Event) bool { return isDeleted(change) && change.Key == key })
		})
		events = slices.DeleteFunc(slices.Clone(events), isDeleted)
	}
	apply(e, events)
	e.dropLost()
}

// keepLost keeps the orders that are missing for gracePeriod.
func (e *Evacuations) keepLost(isMissing func(key string) bool) {
	for key := range e.orders {
		if isMissing(key) {
			e.lost[key] = e.registry.now()
		}
	}
}

// dropLost takes back the orders that were not given again in time.
func (e *Evacuations) dropLost() {
	for key, since := range e.lost {
		if e.registry.now().Sub(since) >= gracePeriod {
			e.remove(key)
		}
	}
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
	delete(e.lost, item.Key)
	_, repeated := e.orders[item.Key]
	e.orders[item.Key] = item
	if repeated {
		return
	}
	if domain == "" {
		e.log.Emit(event.EntryRejected, slog.String("key", item.Key), item.Revision.Attr(),
			slog.String(event.KeyCause, "evacuation order names no failure domain"))
		return
	}
	servers := e.registry.evacuate(domain)
	e.log.Emit(event.DomainEvacuated, slog.String("failure_domain", domain), item.Revision.Attr(),
		slog.Int("servers", servers))
}

func (e *Evacuations) remove(key string) {
	order, inForce := e.orders[key]
	if !inForce {
		return
	}
	delete(e.orders, key)
	delete(e.lost, key)
	domain, _ := e.parseKey(key)
	if domain == "" {
		return
	}
	servers := e.registry.restore(domain)
	e.log.Emit(event.DomainRestored, slog.String("failure_domain", domain), order.Revision.Attr(),
		slog.Int("servers", servers))
}

func (e *Evacuations) keys() []string {
	return slices.Collect(maps.Keys(e.orders))
}
