package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

// startEndless starts a server that answers with head and then with filler until its caller closes the connection,
// which closes the channel.
func startEndless(t *testing.T, head, filler string) (*fleet.Server, <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }() // as above
		_, err = connection.Read(make([]byte, readBufferSize))
		if err == nil {
			_, err = io.WriteString(connection, head)
		}
		block := bytes.Repeat([]byte(filler), readBufferSize)
		for err == nil {
			_, err = connection.Write(block)
		}
	}()
	return fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()}), closed
}

// Guards against a head without end that is read into memory until the request's time is over.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, message := range map[string][2]string{
		"status line":          {"HTTP/1.1 200 ", "x"},
		"header line":          {"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Long: ", "x"},
		"header lines":         {"HTTP/1.1 200 OK\r\nX-Id: r1\r\n", "X-More: y\r\n"},
		"informational heads":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"no response in HTTP":  {"", "\r\n"},
		"header without colon": {"HTTP/1.1 200 OK\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, closed := startEndless(t, message[0], message[1])
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, err := newClient().Do(ctx, &Attempt{Request: &request.Request{ID: "r1", Method: "GET", RequestURI: "/"}, Server: server})
			c.Assert(err, qt.ErrorIs, ErrBroken)
			c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("it was read until the deadline"))
			<-closed
		})
	}
}

// Guards against idle connections on which a server goes on sending after a whole answer.
func TestBytesAfterAnswerCloseConnection(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\nfull"
	server, closed := startEndless(t, head, "x")
	client := newClient()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	reply, err := client.Do(ctx, &Attempt{Request: &request.Request{ID: "r1", Method: "GET", RequestURI: "/"}, Server: server})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(reply)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(string(body), qt.Equals, "full")
	reply.Close()
	select {
	case <-closed:
	case <-time.After(2 * sweepInterval):
		c.Fatal("the connection stays open")
	}
}

// Guards against closing the connection after a body of exactly the limit, and against reusing it after a longer one.
func TestDiscardReadsBodiesUpToLimit(t *testing.T) {
	c := qt.New(t)
	for length, fits := range map[string]bool{"3": true, "4": true, "5": false} {
		head := "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: " + length + "\r\n\r\n"
		server, _ := startEndless(t, head, "x")
		reply, err := newClient().Do(t.Context(), &Attempt{Request: &request.Request{ID: "r1", Method: "GET", RequestURI: "/"}, Server: server})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Discard(4, time.Second) == nil, qt.Equals, fits, qt.Commentf("%s bytes", length))
		reply.Close()
	}
}
