package dev

import (
	"fmt"
	"io"
)

// PrintGuide writes the addresses and calls to copy and paste.
func (f *Fleet) PrintGuide(w io.Writer) {
	first := f.Routers[0]
	account := f.Accounts[0]
	fmt.Fprintf(w, "chicorytiller runs: %d routers, %d engines, 1 plain service, in this process.\n\n", len(f.Routers), len(f.Engines))
	for i, r := range f.Routers {
		fmt.Fprintf(w, "router %d (%s): callers http://%s  operators http://%s\n", i+1, domain(i), r.CallerAddress(), r.OperatorAddress())
	}
	fmt.Fprintf(w, "operators' credential: %s\n\n", f.OperatorKey)
	for _, a := range f.Accounts {
		fmt.Fprintf(w, "client account %s: key %s, budget %s\n", a.Name, a.Key, a.Budget)
	}
	fmt.Fprintf(w, `
Which addresses to use:
  curl -s http://%[1]s/v1/entry -H 'Authorization: Bearer %[2]s'
A streamed answer:
  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: demo-1' \
    -d '{"model":"%[3]s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Is the hull of the Albatros sound? len=20"}]}'
The same request again: one answer, one bill (same key).
A call that runs at most once:
  curl -s http://%[1]s/v1/services/%[4]s/confirm -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: transfer-7' -d '{"id":"mooring-7"}'
Budgets and bills, as an operator:
  curl -s http://%[5]s/v1/budgets -H 'Authorization: Bearer %[6]s'
  curl -s http://%[5]s/v1/bills -H 'Authorization: Bearer %[6]s'

Stop with Ctrl-C.
`, first.CallerAddress(), account.Key, Model, ServiceName, first.OperatorAddress(), f.OperatorKey)
}
