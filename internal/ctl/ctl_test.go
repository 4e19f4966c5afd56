package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/opsapi"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

const credential = "operators-secret"

const modelBody = `{"name":"listing","bytes_per_token":1,"context_tokens":1000}`

// fakeFleet has one router that follows the store and one that stays behind.
type fakeFleet struct {
	opsapi.Fleet
	store  *config.Store
	behind bool
	topUp  func() error
}

func (f *fakeFleet) Routers(context.Context) ([]opsapi.RouterStatus, error) {
	routers := []opsapi.RouterStatus{{Router: id.Router{VM: "vm1", Incarnation: 1}, State: "serving",
		Revision: f.store.State().Revision}}
	if f.behind {
		routers = append(routers, opsapi.RouterStatus{Router: id.Router{VM: "vm2", Incarnation: 5}, State: "suspected"})
	}
	return routers, nil
}

func (f *fakeFleet) TopUp(_ context.Context, t opsapi.TopUp) (opsapi.BudgetStatus, error) {
	return opsapi.BudgetStatus{Budget: t.Budget, ToppedUp: t.Amount}, f.topUp()
}

type bench struct {
	t     *testing.T
	kv    *memkv.Store
	fleet *fakeFleet
	url   string
	flags []string
}

// newBench serves a router's operators' listener on a free port until the test ends.
func newBench(t *testing.T) *bench {
	kv := memkv.New(nil)
	store := config.NewStore(kv, time.Now)
	fleet := &fakeFleet{store: store, topUp: func() error { return nil }}
	server := opsapi.New(opsapi.Config{Store: store, Fleet: fleet,
		Credentials: []opsapi.Credential{{Name: "ops", Hash: contract.HashKey(credential)}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		qt.Check(t, server.Shutdown(), qt.IsNil)
		group.Wait()
	})
	t.Setenv(envCredential, credential)
	return &bench{t: t, kv: kv, fleet: fleet, url: "http://" + listener.Addr().String()}
}

// run runs a command against the bench's router, after the given routers.
func (b *bench) run(stdin string, args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	all := append(append([]string{}, b.flags...), "--operator-url", b.url, "--operator", "jana")
	code = Run("test", append(all, args...), IO{In: strings.NewReader(stdin), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func (b *bench) mustRun(stdin string, args ...string) string {
	b.t.Helper()
	code, out, errText := b.run(stdin, args...)
	qt.Assert(b.t, code, qt.Equals, ExitOK, qt.Commentf(errText))
	return out
}

func TestObjectsFromCreationToDeletion(t *testing.T) {
	b := newBench(t)
	file := filepath.Join(t.TempDir(), "model.json")
	qt.Assert(t, os.WriteFile(file, []byte(modelBody), 0o600), qt.IsNil)
	qt.Assert(t, b.mustRun("", "model", "apply", file), qt.Matches, `(?s)KIND.*model +listing +accepted +1\n`)
	changed := strings.Replace(modelBody, "1000", "2000", 1)
	qt.Assert(t, b.mustRun(changed, "model", "diff", "-"), qt.Matches, `(?s).*context_tokens +1000 +2000\n`)
	b.mustRun(changed, "model", "apply", "-")
	qt.Assert(t, b.mustRun("", "model", "get", "listing"), qt.Contains, `"context_tokens": 2000`)
	qt.Assert(t, b.mustRun("", "model", "list"), qt.Matches, `(?s)NAME.*listing +2 +ops/jana .*`)
	qt.Assert(t, b.mustRun("", "model", "history"), qt.Matches, `(?s).*created.*changed.*`)
	b.mustRun(`{"x":1}`, "setting", "apply", "policy", "-", "--if-match", "none")

	var list opsapi.ObjectList
	qt.Assert(t, json.Unmarshal([]byte(b.mustRun("", "--output", "json", "setting", "list")), &list), qt.IsNil)
	qt.Assert(t, list.Objects[0].Name, qt.Equals, "policy")
	b.mustRun("", "model", "delete", "listing", "--if-match", "2")
	qt.Assert(t, b.mustRun("", "router", "list"), qt.Contains, "vm1@1")
}

func TestExitCodes(t *testing.T) {
	b := newBench(t)
	b.mustRun(modelBody, "model", "apply", "-")
	cases := []struct {
		want  int
		stdin string
		args  []string
		text  string
	}{
		{ExitUsage, "", []string{"nothing"}, "try --help"},
		{ExitUsage, "", []string{"model", "apply", "/does/not/exist"}, "no such file"},
		{ExitUsage, "[]", []string{"model", "apply", "-"}, "not a JSON object"},
		{ExitUsage, "{}", []string{"model", "apply", "-"}, `no "name"`},
		{ExitUsage, modelBody, []string{"model", "apply", "-", "--if-match", "x"}, "--if-match must be"},
		{ExitNotFound, "", []string{"model", "get", "other"}, "no model other"},
		{ExitConflict, modelBody, []string{"model", "apply", "-", "--if-match", "none"}, `by "ops/jana"`},
		{ExitInvalid, `{"name":"x"}`, []string{"model", "apply", "-"}, "bytes_per_token must be 1 to 1024"},
		{ExitUsage, "", []string{"--credential-file", "/does/not/exist", "model", "list"}, "--credential-file"},
		{ExitUsage, "", []string{"--ca-file", os.DevNull, "model", "list"}, "holds no PEM certificate"},
	}
	for _, test := range cases {
		code, _, errText := b.run(test.stdin, test.args...)
		qt.Check(t, code, qt.Equals, test.want, qt.Commentf("%v: %s", test.args, errText))
		qt.Check(t, errText, qt.Contains, test.text)
	}
	t.Setenv(envCredential, "wrong")
	code, _, _ := b.run("", "model", "list")
	qt.Assert(t, code, qt.Equals, ExitUnauthorized)
}

// The first router named is down, so that the second is asked; then the
// platform's service is down, so that no router can do it, and nothing changed.
func TestNextRouterIsTried(t *testing.T) {
	b := newBench(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, closed.Close(), qt.IsNil)
	b.flags = []string{"--operator-url", "http://" + closed.Addr().String()}
	b.mustRun(modelBody, "model", "apply", "-")
	b.kv.SetFaults(memkv.Faults{Outage: true})
	code, _, errText := b.run(modelBody, "model", "apply", "-")
	qt.Assert(t, code, qt.Equals, ExitUnreachable)
	qt.Assert(t, errText, qt.Contains, "no router could do it")
}

// One router takes the change and closes the connection before it answers; the
// next one can't reach the service and says 'not done'. The change may have had
// its effect at the first, so that the operator is told 'not yet known' and how
// to repeat it, and not 'nothing changed'.
func TestNotDoneAfterALostAnswerIsNotYetKnown(t *testing.T) {
	b := newBench(t)
	b.kv.SetFaults(memkv.Faults{Outage: true})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group conc.WaitGroup
	group.Go(func() { closeAfterReading(silent) })
	defer group.Wait()
	defer func() { _ = silent.Close() }()
	b.flags = []string{"--operator-url", "http://" + silent.Addr().String()}
	code, _, errText := b.run(modelBody, "model", "apply", "-", "--if-match", "none")
	qt.Assert(t, code, qt.Equals, ExitNotYetKnown, qt.Commentf(errText))
	qt.Assert(t, errText, qt.Matches, `(?s).*repeat the command with --change-id \S+ --if-match none\n`)

	b.kv.SetFaults(memkv.Faults{})
	b.flags = nil
	words := strings.Fields(errText)
	b.mustRun(modelBody, append([]string{"model", "apply", "-"}, words[len(words)-4:]...)...)
	b.mustRun(modelBody, append([]string{"model", "apply", "-"}, words[len(words)-4:]...)...)
	qt.Assert(t, b.fleet.store.State().Revision, qt.Equals, id.Revision(1))
}

func closeAfterReading(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 4096))
		_ = connection.Close()
	}
}

func TestWaitNamesRoutersThatStayBehind(t *testing.T) {
	b := newBench(t)
	_, _, errText := b.run(modelBody, "model", "apply", "-", "--wait")
	qt.Assert(t, errText, qt.Equals, "revision 1 is in force on all 1 routers\n")
	b.fleet.behind = true
	code, out, errText := b.run(modelBody, "model", "apply", "-", "--wait", "--wait-timeout", "0s")
	qt.Assert(t, code, qt.Equals, ExitNotEverywhere)
	qt.Assert(t, out, qt.Contains, "accepted")
	qt.Assert(t, errText, qt.Contains, "in force on 1 of 2 routers; not yet on: vm2@5 (suspected, at revision 0)")
}

func TestTopUpOutcomes(t *testing.T) {
	b := newBench(t)
	b.mustRun(modelBody, "model", "apply", "-")
	b.mustRun(`{"account":"register","budgets":[{"id":"register-1"}],"requests_per_second":1,"burst":1,
		"concurrency":1,"models":["listing"],"max_tokens":1,"deadline_ms":1}`, "contract", "apply", "-")
	out := b.mustRun("", "budget", "topup", "register-1", "500", "--id", "invoice-1")
	qt.Assert(t, out, qt.Matches, `(?s).*register-1 +500 .*`)
	for err, want := range map[error]int{opsapi.ErrNotYetKnown: ExitNotYetKnown, opsapi.ErrNotDone: ExitUnreachable,
		opsapi.ErrTopUpReused: ExitConflict} {
		b.fleet.topUp = func() error { return err }
		code, _, errText := b.run("", "budget", "topup", "register-1", "500", "--id", "invoice-1")
		qt.Assert(t, code, qt.Equals, want, qt.Commentf(errText))
	}
	code, _, _ := b.run("", "budget", "topup", "other", "500")
	qt.Assert(t, code, qt.Equals, ExitNotFound)
}

func TestNewKeyPrintsItsHash(t *testing.T) {
	var key struct{ Key, Hash string }
	out := newBench(t).mustRun("", "--output", "json", "key", "new")
	qt.Assert(t, json.Unmarshal([]byte(out), &key), qt.IsNil)
	qt.Assert(t, contract.HashKey(key.Key), qt.Equals, contract.KeyHash(key.Hash))
}

func TestCompareNamesFields(t *testing.T) {
	got, err := compare(json.RawMessage(`{"a":1,"b":[1,2],"c":null,"d":"x"}`), json.RawMessage(`{"a":1,"b":[1,3,4],"d":7}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []Difference{{"b[1]", "2", "3"}, {"b[2]", "", "4"}, {"d", `"x"`, "7"}})
}
