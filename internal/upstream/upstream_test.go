package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
)

var codec = HeaderCodec{Names: HeaderNames{RequestID: "X-Id", ServerID: "X-Server", TimeLeft: "X-Left", LastEventID: "Last-Event-Id",
	Account: "X-Account", Priority: "X-Urgency", NotExecuted: "X-Not-Run", Load: "X-Load"}}

// closing at the end of an answer closes the connection behind it.
const closing = "\x00"

// backend answers each connection's requests with bytes of the test's own, one after the
// other.
type backend struct {
	server      *fleet.Server
	connections chan struct{} // one for each that was opened
}

func startBackend(t *testing.T, answers ...string) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	b := &backend{connections: make(chan struct{}, 16)}
	b.server = fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()})
	script := make(chan string, len(answers))
	for _, answer := range answers {
		script <- answer
	}
	go func() { // ends with its listener
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			b.connections <- struct{}{}
			go play(connection, script)
		}
	}()
	return b
}

func play(connection net.Conn, script <-chan string) {
	defer func() { _ = connection.Close() }() // the script is over
	reader := bufio.NewReader(connection)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, last := strings.CutSuffix(<-script, closing)
		if _, err := io.WriteString(connection, answer); err != nil || last {
			return
		}
	}
}

func newClient() *Client {
	return NewClient(codec, prometheus.NewCounter(prometheus.CounterOpts{Name: "dials"}))
}

// ask sends a request and reads its whole answer.
func (b *backend) ask(c *Client, id string) (string, error) {
	r := &request.Request{ID: id, Method: http.MethodPost, Host: "h", RequestURI: "/x", Body: []byte("body")}
	reply, err := c.Do(context.Background(), &Attempt{Request: r, Server: b.server})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 2\r\n\r\n" + body
}

func TestHeadCarriesWhatTheServerMustKnow(t *testing.T) {
	r := &request.Request{ID: "r1", Method: http.MethodPost, Host: "h", RequestURI: "/x?y=1", Body: []byte("abc"), HasTokenUsage: true,
		Headers: []request.HeaderField{{Name: "A", Value: "b"}}, Account: &policy.Account{Name: "boatyard", Priority: 12, HasPriority: true}}
	a := &Attempt{Request: r, Server: fleet.NewServer(fleet.Entry{ID: "s1"}), Timeout: 1500 * time.Millisecond, Resume: true, ResumeAfter: 7}
	qt.Assert(t, string(codec.AppendHead(nil, a)), qt.Equals, "POST /x?y=1 HTTP/1.1\r\nHost: h\r\nA: b\r\nX-Id: r1\r\nX-Server: s1\r\n"+
		"X-Left: 1500\r\nLast-Event-Id: 7\r\nX-Account: boatyard\r\nX-Urgency: 9\r\nContent-Length: 3\r\n\r\n")
}

func TestMetaIsReadOrLeftOut(t *testing.T) {
	meta := codec.ParseMeta(200, http.Header{"X-Id": {"r1"}, "X-Load": {"3, 0,8"}, "X-Not-Run": {"1"}, "Keep-Alive": {"max=9, timeout=5"}})
	qt.Assert(t, meta, qt.Equals, Meta{RequestID: "r1", NotExecuted: true, Load: fleet.Load{Running: 3, Slots: 8}, HasLoad: true, KeepAlive: 5 * time.Second})
	for _, load := range []string{"", "1,2", "1,2,x", "1,2,-3", "1,2,3,4"} {
		qt.Check(t, codec.ParseMeta(200, http.Header{"X-Load": {load}}).HasLoad, qt.IsFalse, qt.Commentf("%q", load))
	}
}

// One connection serves requests one after the other.
func TestCleanConnectionIsUsedAgain(t *testing.T) {
	b := startBackend(t, answer("r1", "ok"), answer("r2", "ok"))
	c := newClient()
	for _, id := range []string{"r1", "r2"} {
		body, err := b.ask(c, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
	}
	qt.Assert(t, b.connections, qt.HasLen, 1)
}

// Guards against a second answer that the next request takes for its own.
func TestConnectionWithBytesLeftIsNotUsedAgain(t *testing.T) {
	b := startBackend(t, answer("r1", "ok")+answer("r1", "no"), answer("r2", "ok"))
	c := newClient()
	_, err := b.ask(c, "r1")
	qt.Assert(t, err, qt.IsNil)
	body, err := b.ask(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	qt.Assert(t, b.connections, qt.HasLen, 2)
}

// Guards against the rest of an answer that the next request takes for its own.
func TestConnectionOfAnUnreadAnswerIsNotUsedAgain(t *testing.T) {
	head, _ := strings.CutSuffix(answer("r1", "ok"), "ok") // the body is still to come
	b := startBackend(t, head, answer("r2", "ok"))
	c := newClient()
	r := &request.Request{ID: "r1", Method: http.MethodGet, Host: "h", RequestURI: "/x"}
	reply, err := c.Do(context.Background(), &Attempt{Request: r, Server: b.server})
	qt.Assert(t, err, qt.IsNil)
	reply.Close()
	_, err = b.ask(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.connections, qt.HasLen, 2)
}

// Guards against another request's answer that comes first.
func TestAnotherRequestsAnswerIsSkipped(t *testing.T) {
	b := startBackend(t, answer("r0", "no")+answer("r1", "ok"), answer("r2", "ok"))
	c := newClient()
	body, err := b.ask(c, "r1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	_, err = b.ask(c, "r2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.connections, qt.HasLen, 2)
}

// A body that ends before its stated length is an error, never a whole answer.
func TestShortBodyIsNotWhole(t *testing.T) {
	b := startBackend(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nhalf"+closing)
	_, err := b.ask(newClient(), "r1")
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against taking a request that may have run for one that was not sent.
func TestNotSentIsToldFromBroken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	gone := &backend{server: fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()})}
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = gone.ask(newClient(), "r1")
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue)
	_, err = startBackend(t, closing).ask(newClient(), "r1")
	qt.Assert(t, errors.Is(err, ErrBroken), qt.IsTrue)
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsFalse)
}

// Guards against a send to a server that said it leaves while the connection came about.
func TestServerThatLeftIsNotSentTo(t *testing.T) {
	b := startBackend(t)
	b.server.MarkLeaving()
	c := NewClient(codec, prometheus.NewCounter(prometheus.CounterOpts{}))
	_, err := c.Do(context.Background(), &Attempt{Request: &request.Request{ID: "r1", Method: http.MethodGet, Route: &policy.Route{}}, Server: b.server})
	qt.Assert(t, err, qt.ErrorIs, ErrNotSent)
}
