package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/core"
)

// Anyone who reaches the listener sends large bodies under no key or a wrong one, on
// all connections that it takes. Read whole before the key is looked at, they would
// fill the memory, at no cost for the sender. The answer comes on the headers alone,
// here with a body that is never sent; the core isn't asked and reserves nothing.
func TestUnknownKeyIsRefusedBeforeItsBody(t *testing.T) {
	for name, headers := range map[string]string{
		"wrong key":      "Authorization: Bearer no\r\nContent-Length: 60000\r\n",
		"no key":         "Content-Length: 60000\r\n",
		"chunked":        "Authorization: Bearer no\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
		"other scheme":   "Authorization: Basic " + testKey + "\r\nContent-Length: 60000\r\n",
		"larger than ok": "Authorization: Bearer no\r\nContent-Length: 6000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t)
			conn, err := r.listener.Dial()
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil) // only ends a failed run
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: r\r\n%s\r\n", pathChat, headers)
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			c.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
			c.Assert(r.gate.admits, qt.HasLen, 0)
		})
	}
}

// A key that is known still sends bodies up to the limit, and learns of the limit.
func TestKnownKeySendsLargeBodies(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	body := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 6000) + `"}]}`
	got := r.do(http.MethodPost, pathChat, body)
	c.Assert(errorIn(c, got.body).Cause, qt.Equals, core.CauseTooLarge)
	c.Assert(got.body, qt.Contains, "context") // past the model's context, so it was read
}

// BenchmarkUnknownKey is what a refused request costs, the HTTP library, the in-memory
// connection and the client included.
func BenchmarkUnknownKey(b *testing.B) {
	r := newRig(b)
	conn, err := r.listener.Dial()
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	body := fmt.Sprintf(testBody, true)
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer no\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(body), body)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusUnauthorized {
			b.Fatal(err)
		}
		_, _ = reader.Discard(int(response.ContentLength))
	}
}
