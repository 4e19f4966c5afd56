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

// engine is a stand-in for a sound engine of one service.
type engine struct {
	id, service, address, zone string
	slots                      int
	// events is the number of events of each stream, and pause the time between two of them.
	events int
	pause  time.Duration

	mu   sync.Mutex
	runs map[string]int // by attempt
	busy int
}

// startEngine starts an engine that registers itself in the store.
func startEngine(s *kvStore, id, service, zone string) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{id: id, service: service, address: l.Addr().String(), zone: zone, slots: 64, events: 10, pause: 5 * time.Millisecond, runs: map[string]int{}}
	go func() { _ = (&http.Server{Handler: e, IdleTimeout: 10 * time.Second}).Serve(l) }()
	go e.beat(s)
	return e
}

// beat writes the engine's entry.
func (e *engine) beat(s *kvStore) {
	for seq := 1; ; seq++ {
		entry, err := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
			"state": "ready", "cold_left_ms": 0, "seq": seq})
		check(err)
		s.write("servers/"+e.id, base64.StdEncoding.EncodeToString(entry))
		time.Sleep(heartbeat)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	e.runs[attempt]++
	e.busy++
	busy := e.busy
	e.mu.Unlock()
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
			return
		case <-time.After(e.pause):
		}
	}
}
