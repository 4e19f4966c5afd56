package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvStore is a stand-in for the platform's store, as PROTOCOL.md describes it. It loses nothing, and each
// answer is linearizable.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]kvItem
	events   []kvItem // all changes, oldest first
	leases   map[int64]*kvLease
	changed  chan struct{} // closed and replaced with each change
	// away answers no call but with 503; the operator and the backend servers write directly.
	away bool
	// era is told in each answer. It rises by one when the store comes back from a copy.
	era int64
}

// kvCopy is a copy of the store.
type kvCopy struct {
	revision int64
	items    map[string]kvItem
	leases   map[int64]kvLease
}

// copied returns a copy of the present state.
func (s *kvStore) copied() kvCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := kvCopy{revision: s.revision, items: maps.Clone(s.items), leases: map[int64]kvLease{}}
	for id, lease := range s.leases {
		c.leases[id] = *lease
	}
	return c
}

// restore replaces the state by a copy: what was written since is gone, leases too.
func (s *kvStore) restore(c kvCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.events, s.leases = c.revision, maps.Clone(c.items), nil, map[int64]*kvLease{}
	for id, lease := range c.leases {
		s.leases[id] = &kvLease{ttl: lease.ttl, until: time.Now().Add(lease.ttl)}
	}
	s.signal()
}

type kvItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"` // base64
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
}

// pageItems is the size of a page of kv-range.
const pageItems = 500

func newStore() *kvStore {
	return &kvStore{revision: 1, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, changed: make(chan struct{})}
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.txn)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *kvStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// expireLoop removes the keys of leases that have ended.
func (s *kvStore) expireLoop() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease with its keys. s.mu must be held.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.signal()
}

// remove deletes a key at the present revision. s.mu must be held.
func (s *kvStore) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, kvItem{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// put writes a key at the present revision. s.mu must be held.
func (s *kvStore) put(key, value string, lease int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	item := kvItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write puts or, with an empty value, removes one key on behalf of the operator or a backend server.
func (s *kvStore) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == "" {
		s.remove(key)
	} else {
		s.put(key, value, 0)
	}
	s.signal()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []kvItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, item)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"entries": found, "has_more": more, "at": at})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found, at, changed := []kvItem{}, s.revision, s.changed
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if after > at {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	request := struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}{}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Expect)+len(request.Puts)+len(request.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	for _, e := range request.Expect {
		holds = holds && s.items[e.Key].Revision == e.Revision
	}
	if !holds {
		current := []kvItem{}
		for _, e := range request.Expect {
			if item, found := s.items[e.Key]; found {
				current = append(current, item)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, p := range request.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	request := struct {
		TTL int64 `json:"ttl_ms"`
	}{}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &kvLease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) lease(r *http.Request) (int64, *kvLease) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id, s.leases[id]
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, lease := s.lease(r)
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.until = time.Now().Add(lease.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, lease := s.lease(r)
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
