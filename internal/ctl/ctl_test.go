package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// operator runs commands against an in-memory store.
type operator struct {
	*qt.C
	store *memstore.Store
}

func newOperator(t *testing.T) *operator {
	return &operator{C: qt.New(t), store: memstore.New(nil)}
}

// run runs one command and returns its exit code and its combined standard output and error.
func (o *operator) run(stdin string, args ...string) (int, string) {
	var out bytes.Buffer
	code := Run("test", args, Streams{In: strings.NewReader(stdin), Out: &out, Err: &out}, func(string) store.Store { return o.store })
	return code, out.String()
}

// documentJSON encodes a valid document to which change was applied.
func documentJSON(change func(*native.Document)) string {
	d := &native.Document{
		Models: []contract.Model{{Name: "m", BytesPerToken: 4, ContextTokens: 100, TokensPerEvent: 1, Attempts: 2}},
		Contracts: []contract.Contract{{Account: "boatyard", Keys: []contract.KeyHash{contract.HashKey("k")}, Prepaid: 100,
			RequestsPerSecond: 1, Burst: 1, Concurrency: 1, Models: []id.Model{"m"}, MaxTokens: 10, DeadlineMS: 1000}},
	}
	change(d)
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func noChange(*native.Document) {}

func TestInvalidDocumentIsNotApplied(t *testing.T) {
	o := newOperator(t)
	code, out := o.run(documentJSON(noChange), "config", "apply", "-")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	for want, change := range map[string]func(*native.Document){
		`deadline_ms must be`:             func(d *native.Document) { d.Contracts[0].DeadlineMS = 0 },
		`"n" is no model of the document`: func(d *native.Document) { d.Contracts[0].Models = []id.Model{"n"} },
		`"boatyard" stands twice`:         func(d *native.Document) { d.Contracts = append(d.Contracts, d.Contracts[0]) },
		`attempts must be`:                func(d *native.Document) { d.Models[0].Attempts = 0 },
		`models\[1\]: "m" stands twice`:   func(d *native.Document) { d.Models = append(d.Models, d.Models[0]) },
		`another contract has the key`: func(d *native.Document) {
			c := d.Contracts[0]
			c.Account = "other"
			d.Contracts = append(d.Contracts, c)
		},
	} {
		code, out = o.run(documentJSON(change), "config", "apply", "-")
		o.Check(code, qt.Equals, ExitInvalid)
		o.Check(out, qt.Matches, `(?s).*`+want+`.*`)
	}
	_, out = o.run("", "config", "show")
	o.Assert(out, qt.Contains, `"version": 1`)
}

// Guards against a misspelled field in a file that counts as absent: a document with "modelz" would remove all models.
func TestUnknownFieldIsNamed(t *testing.T) {
	o := newOperator(t)
	document := strings.Replace(documentJSON(noChange), `"max_tokens"`, `"max_token"`, 1)
	server := `{"id": "e1", "kind": "engine", "address": "10.0.4.1:9000", "failure_domain": "d", "model": ["m"]}`
	for _, test := range []struct {
		stdin, field string
		args         []string
	}{
		{document, "max_token", []string{"config", "check", "-"}},
		{document, "max_token", []string{"config", "apply", "-"}},
		{server, "model", []string{"backend", "put", "-"}},
		{strings.Replace(server, `"e1"`, "1", 1), "id", []string{"backend", "put", "-"}},
	} {
		code, out := o.run(test.stdin, test.args...)
		o.Check(code, qt.Equals, ExitInvalid, qt.Commentf("%s", out))
		o.Check(out, qt.Contains, test.field)
	}
	snapshot, err := o.store.Read(context.Background(), "")
	o.Assert(err, qt.IsNil)
	o.Check(snapshot.Items, qt.HasLen, 0)
}

// Guards against a repeated payment that counts twice, and against a payment that is lost
// when an older document without it is applied.
func TestTopUpIsIdempotentAndNotLost(t *testing.T) {
	o := newOperator(t)
	o.run(documentJSON(noChange), "config", "apply", "-")
	for range 2 {
		code, out := o.run("", "budget", "topup", "boatyard", "50", "--id", "p1")
		o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	}
	_, out := o.run("", "budget", "list")
	o.Assert(out, qt.Matches, `(?s).*boatyard +150 .*`)
	code, _ := o.run(documentJSON(noChange), "config", "apply", "-")
	o.Assert(code, qt.Equals, ExitConflict)
	code, _ = o.run("", "budget", "topup", "nobody", "50")
	o.Assert(code, qt.Equals, ExitNotFound)
}

func TestBudgetShow(t *testing.T) {
	o := newOperator(t)
	o.run(documentJSON(noChange), "config", "apply", "-")
	record := escrow.Record{Format: 1, Closed: 30, ClosedSpent: 20, Entries: map[string]map[string]escrow.GrantEntry{"vm-1": {"p1": {Seq: 1, Granted: 40, Spent: 15}}}}
	o.store.Put("chicory-budget/account/boatyard", record.Encode())
	code, out := o.run("", "budget", "show", "boatyard")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	o.Assert(out, qt.Matches, `(?s).*PREPAID +SPENT +FREE +IN DOUBT\n100 +35 +30 +10\n.*vm-1 +silent +40 +15 +40 +unknown +p1\n`)
	code, _ = o.run("", "budget", "show", "nobody")
	o.Assert(code, qt.Equals, ExitNotFound)
	code, out = o.run("", "--json", "budget", "show", "boatyard")
	o.Assert(code, qt.Equals, ExitOK)
	o.Assert(out, qt.Contains, `"in_doubt": 10`)
}

func TestBackendPutDrainRemove(t *testing.T) {
	o := newOperator(t)
	backend := `{"id":"e1","kind":"engine","address":"127.0.0.1:80","failure_domain":"karlin","models":["m","n"]}`
	code, out := o.run(backend, "backend", "put", "-")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	code, _ = o.run("", "backend", "drain", "e1")
	o.Assert(code, qt.Equals, ExitOK)
	_, out = o.run("", "backend", "list")
	o.Assert(strings.Count(out, "true"), qt.Equals, 2)
	code, _ = o.run("", "backend", "remove", "e1")
	o.Assert(code, qt.Equals, ExitOK)
	entries, err := operate.Backends(context.Background(), o.store)
	o.Assert(err, qt.IsNil)
	o.Assert(entries, qt.HasLen, 0)
	code, _ = o.run("", "backend", "drain", "e1")
	o.Assert(code, qt.Equals, ExitNotFound)
}

func TestExitCodes(t *testing.T) {
	o := newOperator(t)
	code, _ := o.run("", "budget", "topup")
	o.Check(code, qt.Equals, ExitUsage)
	code, _ = o.run("", "config", "apply", "/no/such/file")
	o.Check(code, qt.Equals, ExitUsage)
	o.store.SetDown(true)
	code, _ = o.run("", "budget", "list")
	o.Check(code, qt.Equals, ExitUnreachable)
	o.store.SetDown(false)
	o.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.ResponseLost })
	code, _ = o.run(documentJSON(noChange), "config", "apply", "-")
	o.Check(code, qt.Equals, ExitOutcomeUnknown)
	code, out := o.run("", "key", "new")
	o.Check(code, qt.Equals, ExitOK)
	o.Check(out, qt.Contains, "ck_")
}

// Guards against reporting success for a misspelled failure domain.
func TestDomainEvacuateRestore(t *testing.T) {
	o := newOperator(t)
	code, _ := o.run("", "domain", "evacuate", "east")
	o.Assert(code, qt.Equals, ExitNotFound)
	code, out := o.run(`{"id":"e1","kind":"engine","address":"10.0.0.1:80","failure_domain":"east","models":["m"]}`, "backend", "put", "-")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	for range 2 {
		code, out = o.run("", "domain", "evacuate", "east")
		o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	}
	_, out = o.run("", "domain", "list")
	o.Assert(out, qt.Equals, "EVACUATED\neast\n")
	code, _ = o.run("", "domain", "restore", "west")
	o.Assert(code, qt.Equals, ExitNotFound)
	code, out = o.run("", "domain", "restore", "east")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	_, out = o.run("", "domain", "list")
	o.Assert(out, qt.Equals, "EVACUATED\n")
}
