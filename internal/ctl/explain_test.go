package ctl

import (
	"net"
	"net/rpc"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/explain"
)

// answering is a router that answers with a report.
type answering struct{ report explain.Report }

func (a *answering) Explain(_ explain.Query, report *explain.Report) error {
	*report = a.report
	return nil
}

// older is a router of a version without the call.
type older struct{}

func (*older) Known(struct{}, *struct{}) error { return nil }

func startExplainer(c *qt.C, service any) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	server := rpc.NewServer()
	c.Assert(server.RegisterName("Router", service), qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go server.ServeConn(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against exit codes that hide a refusal or a router that was not asked from scripts.
func TestExplainExitCodes(t *testing.T) {
	o := newOperator(t)
	sent := startExplainer(o.C, &answering{explain.Report{Router: "vm-1", Route: "draft", Servers: []explain.Server{{ID: "e1"}}}})
	rounded := startExplainer(o.C, &answering{explain.Report{Refusal: &explain.Refusal{Cause: "backends_busy", Status: 503, RetryAfterMS: 3675.0363999999998}}})
	refused := startExplainer(o.C, &answering{explain.Report{Refusal: &explain.Refusal{Cause: "backends_busy", Detail: "late", Status: 503, RetryAfterMS: 250}}})
	unable := startExplainer(o.C, &older{})
	for _, test := range []struct {
		router string
		code   int
		text   string
	}{
		{sent, ExitSent, "would be sent"},
		{refused, ExitRefused, "would be refused: 503 backends_busy (late), Retry-After 0.25"},
		{rounded, ExitRefused, "Retry-After 3.676\n"},
		{unable, ExitUnasked, "the router's version can't explain requests"},
	} {
		code, out := o.run("", "explain", "--router", test.router, "--host", "h", "--path", "/x")
		o.Check(code, qt.Equals, test.code)
		o.Check(out, qt.Contains, test.text)
	}
	code, out := o.run("", "--json", "explain", "--router", refused, "--host", "h", "--path", "/x")
	o.Check(code, qt.Equals, ExitRefused)
	o.Check(out, qt.Contains, `"retry_after_ms": 250`)
	code, out = o.run("", "explain", "--host", "h", "--path", "/x")
	o.Check(code, qt.Equals, ExitUnasked)
	o.Check(out, qt.Contains, "the store lists no routers")
	for i, address := range []string{sent, refused} {
		o.store.Put("chicory/router/vm-"+string(rune('1'+i)), []byte(`{"address":"127.0.0.1:1","peer":"`+address+`","failure_domain":"d"}`))
	}
	code, out = o.run("", "explain", "--host", "h", "--path", "/x")
	o.Check(code, qt.Equals, ExitRefused)
	o.Check(out, qt.Matches, `(?s).*vm-1 .*would be sent +e1 .*would be refused: 503.*`)
}

// Guards against an error that does not name the wrong flag, and against one that shows the key.
func TestExplainNamesWrongFlag(t *testing.T) {
	o := newOperator(t)
	for flag, value := range map[string]string{"--router": "nowhere", "--part": "a", "--prompt-tokens": "-1", "--output-tokens": "many",
		"--request-timeout": "2", "--key-file": "/no/such/file"} {
		code, out := o.run("", "explain", "--host", "h", "--path", "/x", flag+"="+value)
		o.Check(code, qt.Equals, ExitUnasked)
		o.Check(out, qt.Contains, flag)
	}
	for _, flag := range []string{"--router", "--host", "--path", "--key", "--prompt-tokens", "--output-tokens", "--part", "--request-timeout", "--id", "--key-file"} {
		args := []string{"explain"}
		for _, other := range []string{"--router=127.0.0.1:1", "--host=h", "--path=/x"} {
			if !strings.HasPrefix(other, flag+"=") {
				args = append(args, other)
			}
		}
		code, out := o.run("", append(args, flag+"=")...)
		o.Check(code, qt.Equals, ExitUnasked, qt.Commentf("%s", out))
		o.Check(out, qt.Contains, "chicoryctl: "+flag+": ", qt.Commentf("an empty text counted as absent"))
	}
	for _, part := range []string{"a:1,b:2", "a,b:2", ":1", "a:"} {
		_, out := o.run("", "explain", "--host", "h", "--path", "/x", "--part", part)
		o.Check(out, qt.Contains, "--part")
	}
	code, out := o.run("", "explain", "--host", "h", "--path", "x", "--key", "secret")
	o.Check(code, qt.Equals, ExitUnasked)
	o.Check(out, qt.Contains, "--path")
	o.Check(strings.Contains(out, "secret"), qt.IsFalse)
}

// Guards against a key that is shown because it was given as the name of the file, and against a file with several
// keys that is taken for one key, which no router knows.
func TestExplainKeyFile(t *testing.T) {
	o := newOperator(t)
	router := startExplainer(o.C, &answering{explain.Report{}})
	for _, test := range []struct {
		file, content string
		code          int
		text          string
	}{
		{"-", "secret\n", ExitSent, "would be sent"},
		{"-", "secret\nother\n", ExitUnasked, "--key-file: the file has more than one line"},
		{"-", " \n", ExitUnasked, "--key-file: the file is empty"},
		{"secret", "", ExitUnasked, "--key-file: no such file"},
		{t.TempDir(), "", ExitUnasked, "--key-file: is a directory"},
	} {
		code, out := o.run(test.content, "explain", "--router", router, "--host", "h", "--path", "/x", "--key-file", test.file)
		o.Check(code, qt.Equals, test.code)
		o.Check(out, qt.Contains, test.text)
		o.Check(strings.Contains(out, "secret"), qt.IsFalse, qt.Commentf("%s", out))
	}
}

// Guards against null in the place of empty lists, at which scripts that read the JSON fail.
func TestExplainJSONHasLists(t *testing.T) {
	o := newOperator(t)
	refused := startExplainer(o.C, &answering{explain.Report{Refusal: &explain.Refusal{Cause: "unknown_key", Status: 401}}})
	_, out := o.run("", "explain", "--json", "--router", refused, "--host", "h", "--path", "/x")
	o.Check(out, qt.Contains, `"servers": []`)
	o.Check(out, qt.Contains, `"left_out": []`)
}

// Guards against errors of entries in the store that don't name the field, and against one such entry that hides the
// other routers' answers.
func TestExplainNamesFieldOfRoutersEntry(t *testing.T) {
	o := newOperator(t)
	sent := startExplainer(o.C, &answering{explain.Report{Router: "vm-1"}})
	o.store.Put("chicory/router/vm-1", []byte(`{"address":"127.0.0.1:1","peer":"`+sent+`","failure_domain":"d"}`))
	o.store.Put("chicory/router/vm-2", []byte(`{"address":"127.0.0.1:2","peer":"nowhere","failure_domain":"d"}`))
	code, out := o.run("", "explain", "--host", "h", "--path", "/x")
	o.Check(code, qt.Equals, ExitUnasked)
	o.Check(out, qt.Matches, `(?s).*vm-1 .*would be sent.*field peer .*"nowhere" is not IP:PORT.*`)
	o.store.Put("chicory/router/vm-2", []byte(`{"address":"127.0.0.1:2","peer":7,"failure_domain":"d"}`))
	code, out = o.run("", "explain", "--host", "h", "--path", "/x")
	o.Check(code, qt.Equals, ExitUnasked)
	o.Check(out, qt.Matches, `(?s).*chicory/router/vm-2.*peer.*`)
}
