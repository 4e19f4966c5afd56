package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	silentStreams = 6
	streamEvents  = 30
	// preemption is below the 2.4 s after which clients abandon a stream of this route: four times the objective
	// of 600 ms, eight times the pause of 300 ms.
	preemption = 1600 * time.Millisecond
)

// silentStream: a router is stopped as planned while it relays streams of the only backend server that is left of
// a service. The backend server preempts each of them once for a while, and then goes on. All streams must come to their end.
func silentStream(dir string, trouble bool) bool {
	s := newStore()
	go s.expireLoop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s.handler()) }()
	domains := []string{"a", "b", "c"}
	stays, leaves := startBackend(s, "i-01", "model", "a"), startBackend(s, "i-02", "model", "b")
	stays.events, stays.pause = streamEvents, 40*time.Millisecond
	if trouble {
		stays.preempted, stays.preemptedAfter = preemption, 10
	}
	config, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "r-plan", "host": "review.example", "prefix": "/plan/", "kind": "streaming", "timeout_ms": 10000,
			"goal_ms": 600, "gap_target_ms": 300, "priority": 0, "service": "model", "max_attempts": 2, "public": true, "sticky": true, "resumable": true}},
		"services": []map[string]any{{"name": "model", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 444000, "stride": stride, "models": []map[string]any{{"name": "m"}}}}},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
	check(err)
	s.write("op/config", base64.StdEncoding.EncodeToString(config))
	note("operator: configuration 3 acknowledged")
	routers := newRouters(dir, l.Addr().String(), domains...)
	cleanup = append(cleanup, func() {
		for _, r := range routers {
			r.kill()
		}
	})
	for _, r := range routers {
		r.start()
	}
	awaitReady(routers)
	note("platform: all routers are ready")
	time.Sleep(3 * time.Second)
	note("backend server %s drains", leaves.id)
	leaves.leave(s, 2*time.Second)
	note("backend server %s has left, %s is the only one", leaves.id, stays.id)
	time.Sleep(5 * time.Second)

	var clients sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	stopping := routers[0]
	for i := range silentStreams {
		clients.Go(func() {
			if !plan(stopping.front, i) {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	check(stopping.process.Process.Signal(syscall.SIGTERM))
	note("platform: SIGTERM to %s", stopping.name)
	clients.Wait()
	select {
	case <-stopping.ended:
	case <-time.After(9 * time.Second):
	}
	note("%d of %d streams were cut", cut, silentStreams)
	return cut == 0
}

// plan sends a request and reports whether its stream came whole, with its end.
func plan(address string, number int) bool {
	attempt := fmt.Sprintf("%016x", 0x52bb0000+number)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/plan/1", strings.NewReader("a question"))
	check(err)
	request.Host = "review.example"
	request.Header.Set("Chicorytiller-Attempt-Id", attempt)
	request.Header.Set("Chicorytiller-Model", "m")
	request.Header.Set("Chicorytiller-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, stride*streamEvents))
	request.Header.Set("Chicorytiller-Prompt-Prefix", fmt.Sprintf("%08x:%d", number+1, promptTokens))
	request.Header.Set("Chicorytiller-Time-Left-Ms", "10000")
	note("client: %s sent to %s", attempt, address)
	response, err := (&http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		note("client: %s: no answer: %v", attempt, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	events := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	note("client: %s: %d with %d of %d events, end of the body: %v", attempt, response.StatusCode, events, streamEvents, lines.Err())
	return response.StatusCode == http.StatusOK && events == streamEvents && lines.Err() == nil
}
