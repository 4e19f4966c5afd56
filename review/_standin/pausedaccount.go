package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Sizes of the case.
const (
	prepaid      = 200_000
	promptTokens = 1500
	stride       = 9 // tokens of an event
	eventCount   = 10
	requestMax   = promptTokens + stride*eventCount
)

// account is an entry of the configuration's `tenants`.
type account struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Prepaid  int64    `json:"prepaid"`
}

// writeConfig writes a version of the configuration as the operator does.
func writeConfig(s *kvStore, version int, accounts ...account) {
	config, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-draft", "host": "review.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000,
			"goal_ms": 800, "gap_target_ms": 500, "priority": 1, "service": "model", "max_attempts": 1, "public": false, "sticky": true, "resumable": false}},
		"services": []map[string]any{{"name": "model", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity": 444000, "stride": stride, "models": []map[string]any{{"name": "m"}}}}},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": accounts,
	})
	check(err)
	s.write("op/config", base64.StdEncoding.EncodeToString(config))
	names := make([]string, 0, len(accounts))
	for _, t := range accounts {
		names = append(names, fmt.Sprintf("%s (prepaid %d)", t.Name, t.Prepaid))
	}
	note("operator: configuration %d acknowledged, client accounts: %s", version, strings.Join(names, ", "))
}

var attempts atomic.Int64

// draft sends one request and returns the answer's status and the tokens that were delivered: the prompt and
// the events that came whole.
func draft(address, key string) (status int, tokens int64) {
	number := attempts.Add(1)
	attempt := fmt.Sprintf("%016x", 0x51aa0000+number)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/draft/1", strings.NewReader("a question"))
	check(err)
	request.Host = "review.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Chicorytiller-Attempt-Id", attempt)
	request.Header.Set("Chicorytiller-Model", "m")
	request.Header.Set("Chicorytiller-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, stride*eventCount))
	request.Header.Set("Chicorytiller-Prompt-Prefix", fmt.Sprintf("%08x:%d", number, promptTokens))
	request.Header.Set("Chicorytiller-Time-Left-Ms", "6000")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	client := http.Client{Transport: transport, Timeout: 6 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		note("client: %s at %s: no answer: %v", attempt, address, err)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		note("client: %s at %s: %d %s", attempt, address, response.StatusCode, body)
		return response.StatusCode, 0
	}
	events := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	tokens = int64(promptTokens + stride*events)
	note("client: %s at %s: 200 with %d events, %d tokens, seal %s", attempt, address, events, tokens, response.Header.Get("Chicorytiller-Server-Seal"))
	return response.StatusCode, tokens
}

// pausedAccount: a client account that has used most of what it paid for is left out of one version of the
// configuration. All routers are killed and start again, and the next version has the client account as before.
// Whatever happens, it must not get more tokens than it has paid for.
func pausedAccount(dir string, trouble bool) bool {
	s := newStore()
	go s.expireLoop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s.handler()) }()
	domains := []string{"a", "b", "c"}
	for i, domain := range domains {
		startBackend(s, fmt.Sprintf("i-%02d", i+1), "model", domain)
	}
	alpha := account{Name: "alpha", Keys: []string{"key-of-alpha"}, Priority: 1, Prepaid: prepaid}
	beta := account{Name: "beta", Keys: []string{"key-of-beta"}, Priority: 1, Prepaid: prepaid}
	writeConfig(s, 3, alpha, beta)
	routers := newRouters(dir, l.Addr().String(), domains...)
	startAll := func() {
		for _, r := range routers {
			r.start()
		}
		awaitReady(routers)
		note("platform: all routers are ready")
	}
	killAll := func() {
		for _, r := range routers {
			r.kill()
		}
	}
	cleanup = append(cleanup, killAll)
	startAll()
	time.Sleep(2 * time.Second)

	delivered := int64(0)
	for i := 0; delivered < prepaid*7/10; i++ {
		_, tokens := draft(routers[i%len(routers)].front, alpha.Keys[0])
		delivered += tokens
		if i > 500 {
			fail("tokens can't be used")
		}
	}
	note("alpha has got %d of %d tokens", delivered, prepaid)
	time.Sleep(2 * time.Second)

	writeConfig(s, 5, beta)
	time.Sleep(4 * time.Second)
	if trouble {
		killAll()
		note("platform: SIGKILL to all routers")
		time.Sleep(500 * time.Millisecond)
		startAll()
	}
	time.Sleep(2 * time.Second)
	writeConfig(s, 9, alpha, beta)
	time.Sleep(4 * time.Second)

	refused := 0
	for i := 0; refused < 60 && delivered <= 2*prepaid; i++ {
		status, tokens := draft(routers[i%len(routers)].front, alpha.Keys[0])
		delivered += tokens
		if status == http.StatusOK {
			refused = 0
			continue
		}
		refused++
		time.Sleep(200 * time.Millisecond)
	}
	note("alpha has got %d tokens; it had paid for %d", delivered, prepaid)
	return delivered <= prepaid
}
