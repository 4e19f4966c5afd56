package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// DecodeEntry makes an Entry from an item of the registry.
type DecodeEntry func(store.Item) (Entry, error)

// Registry follows the backend servers' entries. It is a store.Sink, and safe for
// concurrent use.
type Registry struct {
	decode DecodeEntry
	log    *event.Log
	now    func() time.Time

	mu      sync.Mutex
	servers map[string]*tracked
	lapses  lapses
	view    atomic.Pointer[View]
}

// tracked is a server with what the registry's last word on it was.
type tracked struct {
	server   *Server
	revision store.Revision
	item     store.Item // as it was stored last
	// lapsedUntil is set while the entry is missing and the server still used.
	lapsedUntil time.Time
}

// View is the servers by service, in the order of their ids. It never changes.
type View struct {
	ByService map[string][]*Server
	Total     int
}

// NewRegistry makes an empty registry. A nil now means time.Now.
func NewRegistry(decode DecodeEntry, log *event.Log, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	r := &Registry{decode: decode, log: log, now: now, servers: make(map[string]*tracked), lapses: lapses{now: now}}
	r.view.Store(&View{ByService: map[string][]*Server{}})
	return r
}

// View returns the servers known now.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Contact implements store.Sink. Lapsed entries get their time to come back anew
// with each return of the store.
func (r *Registry) Contact(reached bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if !known.lapsedUntil.IsZero() {
			known.lapsedUntil = r.now().Add(lapseGrace)
		}
	}
	LogContact(r.log, "backend servers", reached, cause)
}

// Reset implements store.Sink.
func (r *Registry) Reset(items []store.Item, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses.noteGap(gap)
	reset(r, items)
	r.publish()
}

// Apply implements store.Sink.
func (r *Registry) Apply(events []store.Event, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses.noteGap(gap)
	apply(r, events)
	r.publish()
}

// Seed takes another router's knowledge, before the store was ever reached.
func (r *Registry) Seed(items []store.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.put(item)
	}
	r.lapses.seeded = true
	r.publish()
}

// Items returns the entries as they were stored last, for another router.
func (r *Registry) Items() []store.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]store.Item, 0, len(r.servers))
	for _, known := range r.servers {
		items = append(items, known.item)
	}
	return items
}

func (r *Registry) put(item store.Item) {
	known := r.servers[item.Key]
	if known != nil && item.Revision <= known.revision {
		return
	}
	entry, err := r.decode(item)
	if err != nil {
		r.log.Emit(event.EntryRejected, slog.String("key", item.Key), slog.Any(event.KeyCause, err))
		return
	}
	if known == nil {
		r.servers[item.Key] = &tracked{server: NewServer(entry), revision: item.Revision, item: item}
		r.log.Emit(event.BackendFound, slog.String(event.KeyBackend, entry.ID), slog.String("address", entry.Address),
			slog.Int64("revision", int64(item.Revision)), slog.Bool("draining", entry.Draining))
		return
	}
	known.revision, known.item = item.Revision, item
	known.lapsedUntil = time.Time{}
	if entry.Draining {
		r.leave(known, "draining")
	}
}

func (r *Registry) keys() []string {
	return slices.Collect(maps.Keys(r.servers))
}

func (r *Registry) missing(key string) {
	known := r.servers[key]
	if known == nil {
		return
	}
	if until, lenient := r.lapses.grace(); lenient {
		if known.lapsedUntil.IsZero() {
			known.lapsedUntil = until
		}
		return
	}
	r.drop(key, known)
}

func (r *Registry) drop(key string, known *tracked) {
	r.leave(known, "gone")
	delete(r.servers, key)
}

func (r *Registry) leave(known *tracked, how string) {
	if known.server.Leaving() {
		return
	}
	known.server.Leave()
	r.log.Emit(event.BackendLeaving, slog.String(event.KeyBackend, known.server.ID), slog.String("how", how),
		slog.Int64("revision", int64(known.revision)))
}

func (r *Registry) publish() {
	now := r.now()
	view := &View{ByService: make(map[string][]*Server)}
	for key, known := range r.servers {
		if !known.lapsedUntil.IsZero() && !now.Before(known.lapsedUntil) {
			r.drop(key, known)
			continue
		}
		if known.server.Leaving() {
			continue
		}
		service := known.server.Service
		view.ByService[service] = append(view.ByService[service], known.server)
		view.Total++
	}
	for _, servers := range view.ByService {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	r.view.Store(view)
}

// LogContact writes that a dependency was lost or regained.
func LogContact(log *event.Log, what string, reached bool, cause error) {
	if reached {
		log.Emit(event.StoreReachable, slog.String("follows", what))
		return
	}
	log.Emit(event.StoreUnreachable, slog.String("follows", what), slog.Any(event.KeyCause, cause))
}
