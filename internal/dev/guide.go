package dev

import (
	"fmt"
	"io"
)

// PrintGuide writes the fleet's addresses and API keys, and example commands.
func (f *Fleet) PrintGuide(w io.Writer) {
	first := f.Routers[0].Settings().CallerAddr
	account := f.Accounts[0]
	fmt.Fprintf(w, "chicorytiller runs: %d routers, %d engines, 1 plain service, the store (%s), in this process.\n\n",
		len(f.Routers), len(f.Engines), f.StoreAddr)
	for i, r := range f.Routers {
		s := r.Settings()
		fmt.Fprintf(w, "router %d (%s): callers http://%s  metrics http://%s/metrics\n", i+1, domain(i), s.CallerAddr, s.MetricsAddr)
	}
	fmt.Fprintln(w)
	for _, a := range f.Accounts {
		fmt.Fprintf(w, "client account %s: key %s\n", a.Name, a.Key)
	}
	fmt.Fprintf(w, `
Which addresses to use:
  curl -s http://%[1]s/v1/entry
A streamed answer:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: demo-1' \
    -d '{"model":"%[3]s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Is the hull of the Albatros sound? len=20"}]}'
The same request again: one run, one answer (same key).
A call that runs at most once:
  curl -s http://%[1]s/v1/services/%[4]s/confirm -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: transfer-7' -d '{"id":"mooring-7"}'
Budgets, as an operator:
  go run ./cmd/chicoryctl --store %[5]s budget list

Stop with Ctrl-C.
`, first, account.Key, Model, ServiceName, f.StoreAddr)
}
