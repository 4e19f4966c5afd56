package httpbackend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// secret is a word of a caller's prompt, which an engine's answer may repeat.
const secret = "hunter2"

// rawServer answers every connection's first bytes with the same bytes.
func rawServer(c *qt.C, answer string) backend.Ref {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(answer))
			_ = conn.Close()
		}
	})
	c.Cleanup(func() {
		_ = listener.Close()
		tasks.Wait()
	})
	return backend.Ref{Address: listener.Addr().String()}
}

// An engine answers in any wrong way, and repeats the caller's prompt in it. The
// error goes to the router's log and time line, which operators and their tools
// read: its text tells the kind, the status and the cause, and no word of the answer.
func TestErrorsHoldNoTextOfAnAnswer(t *testing.T) {
	head := func(status, contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
	}
	events := func(body string) string { return head("200 OK", contentTypeEvents, body) }
	for name, test := range map[string]struct {
		answer string
		want   error
	}{
		"an error's body":       {head("400 Bad Request", "text/plain", "can't parse: "+secret), backend.ErrRejected},
		"a refusal's body":      {head("503 Unavailable", "text/plain", secret), backend.ErrNotRun},
		"the status line":       {"HTTP/1.1 500 " + secret + "\r\nContent-Length: 0\r\n\r\n", backend.ErrBroken},
		"no HTTP":               {secret + "\r\n\r\n", backend.ErrBroken},
		"a bad header":          {"HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n", backend.ErrBroken},
		"a bad length":          {"HTTP/1.1 200 OK\r\nContent-Length: " + secret + "\r\n\r\n", backend.ErrBroken},
		"the content type":      {head("200 OK", secret, ""), backend.ErrBroken},
		"an event that's cut":   {events("data: {\"x\":\"" + secret + "\n\n"), ErrMalformedChunk},
		"a word for an offset":  {events("data: {\"choices\":[{}],\"offset\":\"" + secret + "\",\"tokens\":1}\n\n"), ErrMalformedChunk},
		"an event after a word": {events("data: " + secret + "\n\n"), ErrMalformedChunk},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient(c, Config{})
			to := rawServer(c, test.answer)
			s, err := client.Generate(context.Background(), to, generateRequest("a1", secret, 10))
			if err == nil {
				defer func() { _ = s.Close() }()
				_, err = s.Next()
			}
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(err.Error(), qt.Not(qt.Contains), secret)
			for cause := err; cause != nil; cause = errors.Unwrap(cause) {
				c.Assert(fmt.Sprintf("%+v", cause), qt.Not(qt.Contains), secret)
			}
			_, err = client.Load(context.Background(), to)
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Not(qt.Contains), secret)
		})
	}
}

// A caller's body or path can't be sent on: neither is told in the error.
func TestErrorsHoldNoTextOfARequest(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, Config{})
	req := generateRequest("a1", "", 10)
	req.Body = []byte(`{"messages":"` + secret)
	_, err := client.Generate(context.Background(), backend.Ref{Address: "127.0.0.1:1"}, req)
	c.Check(err, qt.ErrorIs, ErrMalformedBody)
	c.Check(err.Error(), qt.Not(qt.Contains), secret)
	for _, path := range []string{"/a b?" + secret, "/%zz" + secret, "/\x01" + secret} {
		_, err := client.Call(context.Background(), backend.Ref{Address: "127.0.0.1:1"}, backend.ServiceRequest{Path: path})
		c.Check(err, qt.ErrorIs, ErrBadPath)
		c.Check(err.Error(), qt.Not(qt.Contains), secret)
	}
}

// What an operator needs to mend a fault stays in the text.
func TestErrorsTellTheCause(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, Config{DialTimeout: time.Second})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	_, err = client.Load(context.Background(), backend.Ref{Address: address})
	c.Assert(err, qt.ErrorMatches, ".*"+address+".*connection refused")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Load(ctx, backend.Ref{Address: address})
	c.Assert(err, qt.ErrorMatches, ".*context canceled")
	s := memoryStream([]byte(event(0, 1, "a", "") + event(2, 1, "b", "")))
	_, _, err = readAll(s, 0)
	c.Assert(err, qt.ErrorMatches, ".*gap between chunks.*")
}
