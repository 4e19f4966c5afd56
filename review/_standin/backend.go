package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// backend is a stand-in for a sound backend server of one service.
type backend struct {
	id, service, address, domain string
	slots                        int
	// events is the number of events of each stream, and pause the time between two of them.
	events int
	pause  time.Duration
	// preempted is how long a stream waits after its event preemptedAfter, as one that is preempted and read in
	// again; 0: none does.
	preempted      time.Duration
	preemptedAfter int

	mu       sync.Mutex
	busy     int
	draining bool
	gone     bool
	listener net.Listener
}

// startBackend starts a backend server that registers itself in the store.
func startBackend(s *kvStore, id, service, domain string) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &backend{id: id, service: service, address: l.Addr().String(), domain: domain, slots: 64, events: 10, pause: 5 * time.Millisecond,
		listener: l}
	go func() { _ = (&http.Server{Handler: e, IdleTimeout: 10 * time.Second}).Serve(l) }()
	go e.beat(s)
	return e
}

// beat writes the backend server's entry.
func (e *backend) beat(s *kvStore) {
	for seq := 1; e.writeEntry(s, seq); seq++ {
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the entry, unless the backend server has gone.
func (e *backend) writeEntry(s *kvStore, seq int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.domain, "version": "v1", "slots": e.slots,
		"state": state, "cold_left_ms": 0, "seq": seq})
	check(err)
	s.write("servers/"+e.id, base64.StdEncoding.EncodeToString(entry))
	return true
}

// leave drains the backend server and takes it away: it reports that it drains, serves for a while and ends.
func (e *backend) leave(s *kvStore, drain time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.writeEntry(s, 1_000)
	time.Sleep(drain + time.Second)
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	s.write("servers/"+e.id, "")
	_ = e.listener.Close()
}

func (e *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Chicorytiller-Attempt-Id")
	h := w.Header()
	h.Set("Chicorytiller-Attempt-Id", attempt)
	h.Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("Chicorytiller-Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Chicorytiller-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.busy++
	busy := e.busy
	e.mu.Unlock()
	note("backend server: %s runs %s", e.id, attempt)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy--
	}()
	h.Set("Chicorytiller-Server-Seal", "seal."+e.id+"."+attempt)
	h.Set("Chicorytiller-Server-Load", fmt.Sprintf("%d,0,%d", busy, e.slots))
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 45)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			note("backend server: %s: the connection of %s was closed after event %d", e.id, attempt, i)
			return
		case <-time.After(e.pauseAfter(i)):
		}
	}
}

// pauseAfter returns the time between an event and the next one.
func (e *backend) pauseAfter(event int) time.Duration {
	if event == e.preemptedAfter {
		return e.pause + e.preempted
	}
	return e.pause
}
