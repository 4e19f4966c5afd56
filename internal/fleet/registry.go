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

// Names of the followed data in log lines.
const (
	followedServers = "backend servers"
	followedRouters = "routers"
)

// DecodeEntry decodes a stored item.
type DecodeEntry func(store.Item) (Entry, error)

// Registry tracks the backend servers' entries. It is a store.Sink, and safe for
// concurrent use.
type Registry struct {
	decode DecodeEntry
	log    *event.Log
	now    func() time.Time

	mu      sync.Mutex
	servers map[string]*tracked
	// rejected holds, by key, why the present entry can't be used, so that a writer that
	// repeats a bad entry causes only one log line.
	rejected map[string]string
	// removed holds the last entries of servers that were removed recently, by key.
	removed removedEntries
	// reachable is set by each answer of the store and cleared when a call fails. While it is
	// false, a missing entry can't be written again and is not dropped.
	reachable bool
	grace     grace
	// evacuated holds the failure domains whose servers get no new requests.
	evacuated map[string]bool
	// unused holds, by service, whether its missing servers get no new requests; see updateMissing.
	unused map[string]bool
	// warmUp returns how long a service's servers are cold after a start.
	warmUp func(service string) time.Duration
	// lastAnswer is when the last answer came from the store, or from the router that reads
	// the store on behalf of this one.
	lastAnswer time.Time
	// answeringSince is when the store answered again after the last failed call.
	answeringSince time.Time
	view           atomic.Pointer[View]
	// graceEnd is when the missing entries are to be dropped; nil if none is missing. It holds a
	// time.Time rather than a Unix time for its monotonic reading: with a wall clock that jumped
	// back, a server that left would stay in use for longer.
	graceEnd atomic.Pointer[time.Time]
}

// tracked is a server and its last known entry.
type tracked struct {
	server   *Server
	revision store.Revision
	item     store.Item // last stored item
	// start and seq are those of the last entry.
	start, seq int64
	// expired is set if the entry is missing after an outage and the server is still used
	// for the grace period, unless most others of its service have entries.
	expired bool
	// unreadable is set if the present entry can't be decoded. The server's state is kept,
	// since it may write a valid entry again, and must not get requests then if it was leaving.
	unreadable bool
}

// View is an immutable list of the servers of each service, in order of their IDs.
type View struct {
	ByService map[string][]*Server
	// Versions holds the versions of each service's servers.
	Versions map[string][]string
	Total    int
}

// NewRegistry returns an empty registry. A nil now means time.Now.
func NewRegistry(decode DecodeEntry, log *event.Log, now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	r := &Registry{decode: decode, log: log, now: now, servers: make(map[string]*tracked),
		rejected: make(map[string]string), removed: make(removedEntries), reachable: true, grace: grace{now: now, log: log, entries: followedServers}, evacuated: make(map[string]bool), unused: make(map[string]bool),
		warmUp: func(string) time.Duration { return 0 }}
	r.view.Store(&View{ByService: map[string][]*Server{}})
	return r
}

// View returns the servers known now. Missing entries are dropped here as soon as their grace
// period ends: the next answer of the store may be seconds away, and until then requests would
// be sent to a server that left.
func (r *Registry) View() *View {
	if due := r.graceEnd.Load(); due != nil && !r.now().Before(*due) {
		r.mu.Lock()
		r.publish()
		r.mu.Unlock()
	}
	return r.view.Load()
}

// SetReachable implements store.Sink. Only Reset and Apply, which carry the store's answer, mark it
// reachable again: otherwise missing entries could be dropped before that answer is applied.
func (r *Registry) SetReachable(reachable bool, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reachable {
		r.reachable = false
		r.publish()
	}
	LogReachable(r.log, followedServers, reachable, cause)
}

// Reset implements store.Sink.
func (r *Registry) Reset(items []store.Item, silence store.Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grace.observeSilence(silence)
	reset(r, items)
	r.recordAnswer()
}

// Apply implements store.Sink.
func (r *Registry) Apply(events []store.Event, silence store.Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grace.observeSilence(silence)
	apply(r, events)
	r.recordAnswer()
}

// recordAnswer notes that an answer of the store has been applied, and publishes the new view.
func (r *Registry) recordAnswer() {
	now := r.now()
	if !r.reachable {
		r.answeringSince = now
	}
	r.lastAnswer, r.reachable = now, true
	r.publish()
}

// Seed adds entries learned from another router before the store was first reached.
func (r *Registry) Seed(items []store.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range items {
		r.put(item)
	}
	r.grace.seeded = true
	r.publish()
}

// Same reports whether two entries of one key describe the same server in the same state:
// heartbeats rewrite all entries all the time. A shorter cold time is no difference, since each
// router counts it down by itself; a cold time that did not shrink is one.
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
	one.Seq, other.Seq = 0, 0
	return one == other
}

// HasIncarnation reports whether a server with this incarnation is registered.
func (r *Registry) HasIncarnation(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if known.server.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// maxEntryAge is how long a server may stay listed here after its end: its entry is removed after three
// heartbeats that did not come, and another router may relay the list.
const maxEntryAge = 6 * time.Second

// Fate is what became of a server after some moment.
type Fate int

// Fates of a server.
const (
	FateUnknown Fate = iota
	FateEnded
	FateSurvived
)

// FateOf tells whether a server is still registered so long after the given time that it can't have
// crashed then. A time at which the store did not answer doesn't count, since entries may be kept
// meanwhile.
func (r *Registry) FateOf(incarnation string, since time.Time) Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeringSince.After(since) {
		since = r.answeringSince
	}
	if !r.reachable || r.lastAnswer.Sub(since) < maxEntryAge {
		return FateUnknown
	}
	for _, known := range r.servers {
		switch {
		case known.server.Incarnation != incarnation:
		case known.expired:
			return FateUnknown
		default:
			return FateSurvived
		}
	}
	return FateEnded
}

// Find returns the server with the ID and start time, or nil if none is registered.
func (r *Registry) Find(id string, startUnixMilli int64) *Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if known.server.ID == id && known.server.StartUnixMilli == startUnixMilli {
			return known.server
		}
	}
	return nil
}

// Items returns the last stored entries, to send to another router.
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
		if !r.removed[item.Key].isCopied(item, entry) {
			r.add(item, entry)
		}
		return
	}
	if known.isCopied(item, entry) {
		known.revision, known.expired = item.Revision, false
		return
	}
	supersedes := known.supersedes(entry)
	if known.server.Restarted(entry) && !supersedes {
		r.markLeaving(known, "restarted")
		r.add(item, entry)
		return
	}
	known.revision, known.unreadable, known.expired = item.Revision, false, false
	if supersedes {
		return
	}
	known.seq = entry.Seq
	if entry.Draining || !known.server.Leaving() {
		known.item = item // else a starting router would use the server: an entry from before it began to drain came late
	}
	r.updateCold(known.server, entry)
	if entry.Draining {
		r.markLeaving(known, "draining")
	}
}

// supersedes reports whether e is a late entry of an earlier server process, which must not
// bring a leaving server back.
func (t *tracked) supersedes(e Entry) bool {
	return t.server.Leaving() && e.StartUnixMilli < t.server.StartUnixMilli
}

// add registers a new server or a new incarnation of a known one, without any state of an earlier
// incarnation.
func (r *Registry) add(item store.Item, entry Entry) {
	server := NewServer(entry)
	server.SetEvacuated(r.evacuated[entry.Domain])
	server.MarkCold(r.now(), entry.Cold)
	r.servers[item.Key] = &tracked{server: server, revision: item.Revision, item: item, start: entry.StartUnixMilli, seq: entry.Seq}
	r.log.Emit(event.BackendFound, slog.String(event.KeyBackend, entry.ID), slog.String("address", entry.Address), slog.String("version", entry.Version),
		slog.Int64("born", entry.StartUnixMilli), item.Revision.Attr(), slog.Bool("draining", entry.Draining),
		slog.Int64("cold_ms", entry.Cold.Milliseconds()))
}

// updateCold applies the cold time of a new entry of a known server.
func (r *Registry) updateCold(server *Server, entry Entry) {
	now := r.now()
	if entry.Cold > 0 && server.ColdFor(now) == 0 {
		r.log.Emit(event.BackendCold, slog.String(event.KeyBackend, entry.ID), slog.Int64("cold_ms", entry.Cold.Milliseconds()))
	}
	server.MarkCold(now, entry.Cold)
}

// SetWarmUp sets the function that returns how long a service's servers are cold after a start.
func (r *Registry) SetWarmUp(warmUp func(service string) time.Duration) {
	r.warmUp = warmUp
}

// evacuate stops new requests to a failure domain's servers and returns how many there are.
func (r *Registry) evacuate(domain string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated[domain] = true
	servers := r.eachInDomain(domain, func(s *Server) { s.SetEvacuated(true) })
	r.updateMissing()
	return servers
}

// restore allows new requests to a failure domain's servers again and returns how many there
// are. The servers may have become cold meanwhile, and their entries may report it only after
// the order is removed. A whole domain would then get its usual share of requests at once, under
// which cold servers crash. So they count as cold for as long as after a start.
func (r *Registry) restore(domain string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuated, domain)
	now := r.now()
	servers := r.eachInDomain(domain, func(s *Server) {
		s.MarkCold(now, r.warmUp(s.Service))
		s.SetEvacuated(false)
	})
	r.updateMissing()
	return servers
}

// eachInDomain calls do for each server of a failure domain and returns how many there are.
func (r *Registry) eachInDomain(domain string, do func(*Server)) int {
	servers := 0
	for _, known := range r.servers {
		if known.server.Domain == domain {
			do(known.server)
			servers++
		}
	}
	return servers
}

// reject handles an entry that can't be decoded. The server that the key named before is not
// used until the key holds a valid entry again.
func (r *Registry) reject(item store.Item, known *tracked, cause error) {
	if known != nil {
		known.revision, known.item, known.unreadable = item.Revision, item, true
	}
	if r.rejected[item.Key] == cause.Error() {
		return
	}
	r.rejected[item.Key] = cause.Error()
	r.log.Emit(event.EntryRejected, slog.String("key", item.Key), item.Revision.Attr(), slog.Any(event.KeyCause, cause))
}

func (r *Registry) keys() []string {
	return slices.Collect(maps.Keys(r.servers))
}

func (r *Registry) remove(key string) {
	delete(r.rejected, key)
	known := r.servers[key]
	if known == nil {
		return
	}
	if !r.grace.active() {
		r.drop(key, known, "gone")
		return
	}
	if known.expired {
		return
	}
	known.expired = true
	now := r.now()
	r.log.Emit(event.BackendMissing, slog.String(event.KeyBackend, known.server.ID),
		slog.Int64("silence_ms", r.grace.silence.Milliseconds()), slog.Int64("returned_ms", now.Sub(r.grace.returned).Milliseconds()),
		slog.Int64("kept_ms", r.grace.end.Sub(now).Milliseconds()))
}

func (r *Registry) drop(key string, known *tracked, reason string) {
	r.markLeaving(known, reason)
	delete(r.servers, key)
	r.removed.add(key, known, r.now())
}

func (r *Registry) markLeaving(known *tracked, reason string) {
	if known.server.Leaving() {
		return
	}
	known.server.MarkLeaving()
	r.log.Emit(event.BackendLeaving, slog.String(event.KeyBackend, known.server.ID), slog.String("how", reason),
		known.revision.Attr(), slog.Int64("unheard_ms", r.sinceLastAnswer().Milliseconds()))
}

// MarkLeaving records that a server said in an answer that it leaves. Its entry in the store may tell so
// later, or never.
func (r *Registry) MarkLeaving(server *Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.servers {
		if known.server == server {
			r.markLeaving(known, "said so")
			r.publish()
			return
		}
	}
	server.MarkLeaving()
}

// sinceLastAnswer returns the time since the previous answer, which bounds how late this router
// learns of a change.
func (r *Registry) sinceLastAnswer() time.Duration {
	if r.lastAnswer.IsZero() {
		return 0
	}
	return r.now().Sub(r.lastAnswer)
}

func (r *Registry) publish() {
	view := &View{ByService: make(map[string][]*Server), Versions: make(map[string][]string)}
	var due *time.Time
	for key, known := range r.servers {
		if known.expired && r.reachable {
			if !r.grace.active() {
				r.drop(key, known, "lapsed")
				continue
			}
			end := r.grace.end
			due = &end
		}
		if known.server.Leaving() || known.unreadable {
			continue
		}
		service := known.server.Service
		view.ByService[service] = append(view.ByService[service], known.server)
		if !slices.Contains(view.Versions[service], known.server.Version) {
			view.Versions[service] = append(view.Versions[service], known.server.Version)
		}
		view.Total++
	}
	for _, versions := range view.Versions {
		slices.Sort(versions)
	}
	for _, servers := range view.ByService {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	r.updateMissing()
	r.view.Store(view)
	r.graceEnd.Store(due)
}

// LogReachable logs that the store has become reachable or unreachable; watched names the data that
// the caller watches.
func LogReachable(log *event.Log, watched string, reachable bool, cause error) {
	if reachable {
		log.Emit(event.StoreReachable, slog.String("follows", watched))
		return
	}
	log.Emit(event.StoreUnreachable, slog.String("follows", watched), slog.Any(event.KeyCause, cause))
}
