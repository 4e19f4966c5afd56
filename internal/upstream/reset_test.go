package upstream

import (
	"bufio"
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

// longUpload is more than the buffers of two sockets hold.
var longUpload = bytes.Repeat([]byte("u"), 32<<20)

// unreadFor is longer than unacknowledged data may wait.
const unreadFor = 2 * time.Second

// startEarlyServer starts a server that calls answer as soon as the head of a request has come, and then closes the
// connection.
func startEarlyServer(t *testing.T, answer func(connection *net.TCPConn, upload io.Reader)) *fleet.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	go func() {                                // returns when the listener is closed
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }() // the test fails without it
				r, err := http.ReadRequest(bufio.NewReader(connection))
				if err == nil {
					answer(connection.(*net.TCPConn), r.Body)
				}
			}()
		}
	}()
	return fleet.NewServer(fleet.Entry{ID: "s1", Address: listener.Addr().String()})
}

// upload sends a long upload and returns the reply, once its head has come.
func upload(t *testing.T, server *fleet.Server) *Reply {
	r := &request.Request{ID: "r1", Method: http.MethodPost, Host: "h", RequestURI: "/x", Body: longUpload}
	reply, err := newClient().Do(context.Background(), &Attempt{Request: r, Server: server})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(reply.Close)
	return reply
}

// waitUntilWritten waits until the upload has ended, well or not.
func waitUntilWritten(reply *Reply) {
	for len(reply.written) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func send(connection net.Conn, answer string) {
	_, _ = io.WriteString(connection, answer) // the test fails without an answer
}

const unframed = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"

// Guards against a part of an answer that passes for the whole because the reset was reported to the upload alone.
func TestAnswerCutByResetDuringUploadIsError(t *testing.T) {
	c := qt.New(t)
	server := startEarlyServer(t, func(connection *net.TCPConn, _ io.Reader) {
		send(connection, unframed+"part")
		_ = connection.SetLinger(0) // makes Close reset the connection
	})
	reply := upload(t, server)
	waitUntilWritten(reply)
	body, err := io.ReadAll(reply)
	c.Assert(err, qt.IsNotNil, qt.Commentf("%q passes for the whole answer", body))
}

// Guards against a part of an answer that passes for the whole because the upload alone was told that the server takes
// no more.
func TestAnswerCutByTimeoutDuringUploadIsError(t *testing.T) {
	c := qt.New(t)
	server := startEarlyServer(t, func(connection *net.TCPConn, _ io.Reader) {
		send(connection, unframed+"part")
		time.Sleep(unreadFor)
		_ = connection.SetLinger(0) // makes Close reset the connection
	})
	body, err := io.ReadAll(upload(t, server))
	c.Assert(err, qt.IsNotNil, qt.Commentf("%q passes for the whole answer", body))
}

// Guards against giving up a server that begins to read a long upload late.
func TestLongUploadWaitsForServer(t *testing.T) {
	for name, test := range map[string]struct{ early, late string }{
		"answers then":  {"", unframed + "ok"},
		"answers early": {unframed + "o", "k"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := startEarlyServer(t, func(connection *net.TCPConn, upload io.Reader) {
				send(connection, test.early)
				time.Sleep(unreadFor)
				_, _ = io.Copy(io.Discard, upload) // the test fails without it
				send(connection, test.late)
			})
			body, err := io.ReadAll(upload(t, server))
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "ok")
		})
	}
}

// Guards against whole answers that are dropped because the server did not want the rest of the upload.
func TestWholeAnswerDuringUploadIsRead(t *testing.T) {
	closed := make(chan struct{})
	defer close(closed)
	for name, test := range map[string]struct {
		head        string
		end         func(*net.TCPConn, io.Reader)
		uploadFails bool
	}{
		"closes its side, reads nothing": {unframed, func(connection *net.TCPConn, _ io.Reader) {
			_ = connection.CloseWrite() // the test fails without it
			<-closed
		}, false},
		"closes its side, then resets": {unframed, func(connection *net.TCPConn, _ io.Reader) {
			_ = connection.CloseWrite() // as above
			time.Sleep(50 * time.Millisecond)
		}, true},
		"reads all, then closes": {unframed, func(_ *net.TCPConn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload) // as above
		}, false},
		"states the length, then resets": {response("r1", ""), func(connection *net.TCPConn, _ io.Reader) {
			_ = connection.SetLinger(0) // makes Close reset the connection
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reply := upload(t, startEarlyServer(t, func(connection *net.TCPConn, upload io.Reader) {
				send(connection, test.head+"ok")
				test.end(connection, upload)
			}))
			if test.uploadFails {
				waitUntilWritten(reply)
			}
			body, err := io.ReadAll(reply)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "ok")
		})
	}
}
