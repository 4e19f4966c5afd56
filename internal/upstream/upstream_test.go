package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/tunnel"
)

var codec = HeaderCodec{Names: HeaderNames{RequestID: "X-Id", ServerID: "X-Server", TimeLeft: "X-Left", LastEventID: "Last-Event-Id",
	Account: "X-Account", Priority: "X-Urgency", NotExecuted: "X-Not-Run", Load: "X-Load"}}

// closeAfter at the end of a response makes the fakeBackend close the connection after it.
const closeAfter = "\x00"

// fakeBackend answers each request with the next of the responses that the test passed to
// startBackend, which may be any bytes.
type fakeBackend struct {
	server   *fleet.Server
	accepted chan struct{} // receives a value for each accepted connection
}

func startBackend(t *testing.T, responses ...string) *fakeBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	b := &fakeBackend{accepted: make(chan struct{}, 16)}
	b.server = fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()})
	script := make(chan string, len(responses))
	for _, response := range responses {
		script <- response
	}
	go func() { // returns when the listener is closed
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			b.accepted <- struct{}{}
			go serveScript(connection, script)
		}
	}()
	return b
}

func serveScript(connection net.Conn, script <-chan string) {
	defer func() { _ = connection.Close() }() // a failed close does not matter here
	reader := bufio.NewReader(connection)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response, last := strings.CutSuffix(<-script, closeAfter)
		if _, err := io.WriteString(connection, response); err != nil || last {
			return
		}
	}
}

// noCarriers stands for a router without others.
type noCarriers struct{}

func (noCarriers) Open(context.Context, *fleet.Server) (net.Conn, string, error) {
	return nil, "", tunnel.ErrNoCarrier
}

// switchedCarriers connect directly while they are on.
type switchedCarriers struct {
	on atomic.Bool
}

func (s *switchedCarriers) Open(ctx context.Context, server *fleet.Server) (net.Conn, string, error) {
	if !s.on.Load() {
		return nil, "", tunnel.ErrNoCarrier
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Address)
	return conn, "vm-2", err
}

func newTestClient(codec Codec, carriers Carriers) *Client {
	return NewClient(Options{Codec: codec, Dials: prometheus.NewCounter(prometheus.CounterOpts{Name: "dials"}), Link: linkdelay.New(nil),
		Carriers: carriers, Log: event.Discard()})
}

func newClient() *Client {
	return newTestClient(codec, noCarriers{})
}

// do sends a request with the given ID and returns the body of the response.
func (b *fakeBackend) do(c *Client, id string) (string, error) {
	r := &request.Request{ID: id, Method: http.MethodPost, Host: "h", RequestURI: "/x", Body: []byte("body")}
	reply, err := c.Do(context.Background(), &Attempt{Request: r, Server: b.server})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
}

func TestAppendHead(t *testing.T) {
	r := &request.Request{ID: "r1", Method: http.MethodPost, Host: "h", RequestURI: "/x?y=1", Body: []byte("abc"), HasTokenUsage: true,
		Headers: []request.HeaderField{{Name: "A", Value: "b"}}, Account: &policy.Account{Name: "boatyard", Priority: 12, HasPriority: true}}
	a := &Attempt{Request: r, Server: fleet.NewServer(fleet.Entry{ID: "s1"}), Timeout: 1500 * time.Millisecond, Resume: true, ResumeAfter: 7}
	qt.Assert(t, string(codec.AppendHead(nil, a)), qt.Equals, "POST /x?y=1 HTTP/1.1\r\nHost: h\r\nA: b\r\nX-Id: r1\r\nX-Server: s1\r\n"+
		"X-Left: 1500\r\nLast-Event-Id: 7\r\nX-Account: boatyard\r\nX-Urgency: 9\r\nContent-Length: 3\r\n\r\n")
}

func TestParseMeta(t *testing.T) {
	meta := codec.ParseMeta(200, http.Header{"X-Id": {"r1"}, "X-Load": {"3, 0,8"}, "X-Not-Run": {"1"}, "Keep-Alive": {"max=9, timeout=5"}})
	qt.Assert(t, meta, qt.Equals, Meta{RequestID: "r1", NotExecuted: true, Load: fleet.Load{Running: 3, Slots: 8}, HasLoad: true, KeepAlive: 5 * time.Second})
}

// Guards against load reports that are dropped for an unusual fourth figure, and against a pace that is taken
// from one that can't be valid.
func TestParseLoad(t *testing.T) {
	counts := fleet.Load{Running: 1, Waiting: 2, Slots: 3}
	withPace := func(pace float64) fleet.Load { l := counts; l.Pace = pace; return l }
	for _, c := range []struct {
		value string
		want  fleet.Load
		fault LoadFault
	}{
		{"1,2,3", counts, ""},
		{"1,2,3,4", withPace(4), ""},
		{"1, 2, 3, 250 ", withPace(250), ""},
		{"1,2,3,112.5", withPace(112.5), ""},
		{"1,2,3,100000", withPace(100_000), ""},
		{"1,2,3,100001", counts, LoadPaceInvalid},
		{"1,2,3,0", counts, LoadPaceInvalid},
		{"1,2,3,-100", counts, LoadPaceInvalid},
		{"1,2,3,", counts, LoadPaceInvalid},
		{"1,2,3,fast", counts, LoadPaceInvalid},
		{"1,2,3,NaN", counts, LoadPaceInvalid},
		{"1,2,3,Inf", counts, LoadPaceInvalid},
		{"1,2,3,1e999", counts, LoadPaceInvalid},
		{"1,2,3,120,7", withPace(120), LoadTooLong},
		{"1,2,3,120,x,y,,", withPace(120), LoadTooLong},
		{"1,2,3,x,7", counts, LoadPaceInvalid},
	} {
		meta := codec.ParseMeta(200, http.Header{"X-Load": {c.value}})
		qt.Check(t, meta.HasLoad, qt.IsTrue, qt.Commentf("%q", c.value))
		qt.Check(t, meta.Load, qt.Equals, c.want, qt.Commentf("%q", c.value))
		qt.Check(t, meta.LoadFault, qt.Equals, c.fault, qt.Commentf("%q", c.value))
	}
	for value, fault := range map[string]LoadFault{"": "", " ": "", "1,2": LoadUnreadable, "1,2,x": LoadUnreadable,
		"1,2,-3": LoadUnreadable, "1,2,x,100": LoadUnreadable, ",,,": LoadUnreadable, "1,,3,100": LoadUnreadable} {
		meta := codec.ParseMeta(200, http.Header{"X-Load": {value}})
		qt.Check(t, meta.HasLoad, qt.IsFalse, qt.Commentf("%q", value))
		qt.Check(t, meta.LoadFault, qt.Equals, fault, qt.Commentf("%q", value))
	}
}

// Requests that follow each other use one connection.
func TestConnectionIsReused(t *testing.T) {
	b := startBackend(t, response("r1", "ok"), response("r2", "ok"))
	c := newClient()
	for _, id := range []string{"r1", "r2"} {
		body, err := b.do(c, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, b.accepted, qt.HasLen, 1)
}

// The next request must not take a second response to the first one for its own.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	b := startBackend(t, response("r1", "ok")+response("r1", "no"), response("r2", "ok"))
	c := newClient()
	_, err := b.do(c, "r1")
	qt.Assert(t, err, qt.IsNil)
	body, err := b.do(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	qt.Assert(t, b.accepted, qt.HasLen, 2)
}

// The next request must not take the rest of an unread body for its response.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	head, _ := strings.CutSuffix(response("r1", "ok"), "ok") // the body is never sent
	b := startBackend(t, head, response("r2", "ok"))
	c := newClient()
	r := &request.Request{ID: "r1", Method: http.MethodGet, Host: "h", RequestURI: "/x"}
	reply, err := c.Do(context.Background(), &Attempt{Request: r, Server: b.server})
	qt.Assert(t, err, qt.IsNil)
	reply.Close()
	_, err = b.do(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.accepted, qt.HasLen, 2)
}

// A response to another request that comes first is skipped; the connection is then not reused.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	b := startBackend(t, response("r0", "no")+response("r1", "ok"), response("r2", "ok"))
	c := newClient()
	body, err := b.do(c, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	_, err = b.do(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.accepted, qt.HasLen, 2)
}

// A body that ends before its stated length must not pass for a complete one.
func TestTruncatedBodyIsError(t *testing.T) {
	b := startBackend(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nhalf"+closeAfter)
	_, err := b.do(newClient(), "r1")
	qt.Assert(t, err, qt.IsNotNil)
}

// A request that may have run must not be reported as not sent.
func TestErrNotSentAndErrBroken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	unreachable := &fakeBackend{server: fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()})}
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = unreachable.do(newClient(), "r1")
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue)
	_, err = startBackend(t, closeAfter).do(newClient(), "r1")
	qt.Assert(t, errors.Is(err, ErrBroken), qt.IsTrue)
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsFalse)
}

// A server may announce that it is leaving while the connection is opened; the request must then
// not be sent.
func TestNothingIsSentToLeavingServer(t *testing.T) {
	b := startBackend(t)
	b.server.MarkLeaving()
	c := newTestClient(codec, noCarriers{})
	_, err := c.Do(context.Background(), &Attempt{Request: &request.Request{ID: "r1", Method: http.MethodGet, Route: &policy.Route{}}, Server: b.server})
	qt.Assert(t, err, qt.ErrorIs, ErrNotSent)
}
