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
	// rejected holds why the present entry of a key names no server, so that a writer
	// that repeats itself costs one log line.
	rejected map[string]string
	// reached: the store answers. While it doesn't, no missing entry can come back.
	reached bool
	lapses  lapses
	// evacuated are the failure domains whose servers get nothing new.
	evacuated map[string]bool
	// warmUp is how long a service's servers are cold after a start.
	warmUp func(service string) time.Duration
	// heard is when the store, or who reads it for this router, last told something.
	heard time.Time
	view  atomic.Pointer[View]
	// lapseDue is when the first of the missing entries is to be taken as gone; nil: none is
	// missing. Kept as a time with its steady part: by the time of day, which may jump back,
	// a server that left would stay in use for longer.
	lapseDue atomic.Pointer[time.Time]
}

// tracked is a server with what the registry's last word on it was.
type tracked struct {
	server   *Server
	revision store.Revision
	item     store.Item // as it was stored last
	// lapsed: the entry is missing after an outage, and the server still used.
	lapsed bool
	// unreadable: the present entry names no server to use. What is known is kept, since
	// the server may write a good one again, and must not come back if it was leaving.
	unreadable bool
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
	r := &Registry{decode: decode, log: log, now: now, servers: make(map[string]*tracked),
		rejected: make(map[string]string), reached: true, lapses: lapses{now: now}, evacuated: make(map[string]bool),
		warmUp: func(string) time.Duration { return 0 }}
	r.view.Store(&View{ByService: map[string][]*Server{}})
	return r
}

// View returns the servers known now. A missing entry whose time to come back is over is
// left out from then on: an answer of the store, which may be seconds away, would come too
// late for it, and requests would reach a server long after it left.
func (r *Registry) View() *View {
	if due := r.lapseDue.Load(); due != nil && !r.now().Before(*due) {
		r.mu.Lock()
		r.publish()
		r.mu.Unlock()
	}
	return r.view.Load()
}

// Contact implements store.Sink. That the store answers again is taken from the answer
// itself, or entries would be judged before what it tells of them.
func (r *Registry) Contact(reached bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reached {
		r.reached = false
		r.publish()
	}
	LogContact(r.log, "backend servers", reached, cause)
}

// Reset implements store.Sink.
func (r *Registry) Reset(items []store.Item, silence store.Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses.noteSilence(silence)
	reset(r, items)
	r.answered()
}

// Apply implements store.Sink.
func (r *Registry) Apply(events []store.Event, silence store.Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses.noteSilence(silence)
	apply(r, events)
	r.answered()
}

// answered ends what an answer told.
func (r *Registry) answered() {
	r.heard, r.reached = r.now(), true
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

// Same says whether two entries of one key name the same server in the same state:
// heartbeats change all entries all the time. A cold server that gets warm stays the same,
// since each router counts that time down by itself; one that is cold anew does not.
func (r *Registry) Same(before, after store.Item) bool {
	one, err := r.decode(before)
	if err != nil {
		return false
	}
	other, err := r.decode(after)
	if err != nil || other.Cold > 0 && other.Cold >= one.Cold {
		return false
	}
	one.Cold, other.Cold = 0, 0
	return one == other
}

// HasIncarnation says whether a start of a server is registered.
func (r *Registry) HasIncarnation(start string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if known.server.Incarnation == start {
			return true
		}
	}
	return false
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
		r.reject(item, known, err)
		return
	}
	delete(r.rejected, item.Key)
	if known == nil {
		r.found(item, entry)
		return
	}
	if known.server.Restarted(entry) && !known.outdates(entry) {
		r.leave(known, "restarted")
		r.found(item, entry)
		return
	}
	known.revision, known.item, known.unreadable = item.Revision, item, false
	known.lapsed = false
	r.chill(known.server, entry)
	if entry.Draining {
		r.leave(known, "draining")
	}
}

// outdates says whether an entry is a late word of a start before the known one, which
// must not bring back what is leaving.
func (t *tracked) outdates(e Entry) bool {
	return t.server.Leaving() && e.StartUnixMilli < t.server.StartUnixMilli
}

// found takes a server, or a new start of one: nothing of an earlier start is kept.
func (r *Registry) found(item store.Item, entry Entry) {
	server := NewServer(entry)
	server.SetEvacuated(r.evacuated[entry.Domain])
	server.MarkCold(r.now(), entry.Cold)
	r.servers[item.Key] = &tracked{server: server, revision: item.Revision, item: item}
	r.log.Emit(event.BackendFound, slog.String(event.KeyBackend, entry.ID), slog.String("address", entry.Address),
		slog.Int64("born", entry.StartUnixMilli), slog.Int64("revision", int64(item.Revision)), slog.Bool("draining", entry.Draining),
		slog.Int64("cold_ms", entry.Cold.Milliseconds()))
}

// chill takes what an entry says of a known server that has become cold.
func (r *Registry) chill(server *Server, entry Entry) {
	now := r.now()
	if entry.Cold > 0 && server.ColdFor(now) == 0 {
		r.log.Emit(event.BackendCold, slog.String(event.KeyBackend, entry.ID), slog.Int64("cold_ms", entry.Cold.Milliseconds()))
	}
	server.MarkCold(now, entry.Cold)
}

// SetWarmUp says how to look up how long a service's servers are cold after a start.
func (r *Registry) SetWarmUp(warmUp func(service string) time.Duration) {
	r.warmUp = warmUp
}

// evacuate closes a failure domain's servers and returns how many there are.
func (r *Registry) evacuate(domain string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated[domain] = true
	return r.each(domain, func(s *Server) { s.SetEvacuated(true) })
}

// restore opens a failure domain's servers again and returns how many there are. They may
// have become cold meanwhile, and their entries may tell so only after the order's end is
// known: a whole domain would get its usual share at once, under which cold servers crash.
// So they count as cold for as long as after a start.
func (r *Registry) restore(domain string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuated, domain)
	now := r.now()
	return r.each(domain, func(s *Server) {
		s.MarkCold(now, r.warmUp(s.Service))
		s.SetEvacuated(false)
	})
}

// each calls do for a failure domain's servers and returns how many there are.
func (r *Registry) each(domain string, do func(*Server)) int {
	servers := 0
	for _, known := range r.servers {
		if known.server.Domain == domain {
			do(known.server)
			servers++
		}
	}
	return servers
}

// reject takes an entry that names no server: another writer's, or one that was spoiled.
// The server that the key named before is not used until its entry can be read again.
func (r *Registry) reject(item store.Item, known *tracked, cause error) {
	if known != nil {
		known.revision, known.item, known.unreadable = item.Revision, item, true
	}
	if r.rejected[item.Key] == cause.Error() {
		return
	}
	r.rejected[item.Key] = cause.Error()
	r.log.Emit(event.EntryRejected, slog.String("key", item.Key), slog.Int64("revision", int64(item.Revision)), slog.Any(event.KeyCause, cause))
}

func (r *Registry) keys() []string {
	return slices.Collect(maps.Keys(r.servers))
}

func (r *Registry) missing(key string) {
	delete(r.rejected, key)
	known := r.servers[key]
	if known == nil {
		return
	}
	if !r.lapses.lenient() {
		r.drop(key, known, "gone")
		return
	}
	if known.lapsed {
		return
	}
	known.lapsed = true
	now := r.now()
	r.log.Emit(event.BackendMissing, slog.String(event.KeyBackend, known.server.ID),
		slog.Int64("silence_ms", r.lapses.silence.Milliseconds()), slog.Int64("returned_ms", now.Sub(r.lapses.returned).Milliseconds()),
		slog.Int64("kept_ms", r.lapses.until.Sub(now).Milliseconds()))
}

func (r *Registry) drop(key string, known *tracked, how string) {
	r.leave(known, how)
	delete(r.servers, key)
}

func (r *Registry) leave(known *tracked, how string) {
	if known.server.Leaving() {
		return
	}
	known.server.MarkLeaving()
	r.log.Emit(event.BackendLeaving, slog.String(event.KeyBackend, known.server.ID), slog.String("how", how),
		slog.Int64("revision", int64(known.revision)), slog.Int64("unheard_ms", r.unheard().Milliseconds()))
}

// unheard is the time since something was heard before, by which this router may know of
// a change too late at the most.
func (r *Registry) unheard() time.Duration {
	if r.heard.IsZero() {
		return 0
	}
	return r.now().Sub(r.heard)
}

func (r *Registry) publish() {
	view := &View{ByService: make(map[string][]*Server)}
	var due *time.Time
	for key, known := range r.servers {
		if known.lapsed && r.reached {
			if !r.lapses.lenient() {
				r.drop(key, known, "lapsed")
				continue
			}
			until := r.lapses.until
			due = &until
		}
		if known.server.Leaving() || known.unreadable {
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
	r.lapseDue.Store(due)
}

// LogContact writes that a dependency was lost or regained.
func LogContact(log *event.Log, what string, reached bool, cause error) {
	if reached {
		log.Emit(event.StoreReachable, slog.String("follows", what))
		return
	}
	log.Emit(event.StoreUnreachable, slog.String("follows", what), slog.Any(event.KeyCause, cause))
}
