package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request *request.Request
	Server  *fleet.Server
	// Timeout is how long the server may work on it; zero: no bound.
	Timeout time.Duration
	// ResumeAfter is the last event already had, if Resume.
	ResumeAfter int64
	Resume      bool
}

// Meta is what an answer's head says beside its status.
type Meta struct {
	// RequestID is the request that the answer is for; empty if it doesn't say.
	RequestID string
	// NotExecuted: the server says that it did not run the request.
	NotExecuted bool
	Load        fleet.Load
	HasLoad     bool
	// ColdFor is how much longer the server is cold, as it says; zero: it is warm, or doesn't say.
	ColdFor time.Duration
	// RateLimit is what the answer says of the requests that the server takes.
	RateLimit fleet.RateLimit
	// OutputTokens is the output tokens of an answer that isn't a stream; OutputUnknown if
	// the server should have told and didn't.
	OutputTokens int
	// KeepAlive is how long the server keeps the connection idle; 0 if unsaid.
	KeepAlive time.Duration
}

// OutputUnknown stands for as many output tokens as were asked for.
const OutputUnknown = -1

// Codec writes the head of a request and reads the head of an answer in the
// backend servers' dialect.
type Codec interface {
	// AppendHead appends the head up to and with its closing empty line.
	AppendHead(buf []byte, a *Attempt) []byte
	ParseMeta(status int, header http.Header) Meta
}

// Errors of an exchange.
var (
	// ErrNotSent: no connection came about; the server has nothing of the request.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken: the connection broke, or what came back is no answer to the
	// request. The request may have run.
	ErrBroken = errors.New("upstream: exchange broken")
)

// errClosed: the server left, or its failure domain was evacuated, after it was chosen.
var errClosed = errors.New("upstream: server closed meanwhile")

// Error is a failed exchange: what it means for the request, and its cause.
type Error struct {
	Kind  error // ErrNotSent or ErrBroken
	Cause error
}

func (e *Error) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap makes both the meaning and the cause visible to errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}

// Reply is an answer whose body has not been read yet. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	Meta
	// Length of the body; -1 if it isn't known before the end.
	Length int64

	client   *Client
	server   string
	conn     *conn
	response *http.Response
	stop     func() bool
	written  <-chan error
	whole    bool // the body was read to its proper end
	spoiled  bool // the connection can't be used again
}

// skippedMost bounds the foreign answers that are skipped on one connection, and
// skippedBytes the size of each.
const (
	skippedMost  = 2
	skippedBytes = 1 << 20
)

// smallBody is written before the answer is awaited: it fits any socket buffer, so
// that the write can't block on a server that answers early.
const smallBody = 2048

// Do sends an attempt and waits for the answer's head. When ctx ends, the
// connection is closed, which makes servers drop the request.
func (c *Client) Do(ctx context.Context, a *Attempt) (*Reply, error) {
	connection, err := c.connect(ctx, a.Server.Incarnation, a.Server.Address)
	if err != nil {
		return nil, &Error{Kind: ErrNotSent, Cause: err}
	}
	if a.Server.Ineligible() {
		// A connection may take its time to come about. Sent after it, the request would
		// reach a server later than what was known of it when it was chosen.
		_ = connection.Close() // nothing was sent on it
		return nil, &Error{Kind: ErrNotSent, Cause: errClosed}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() }) // a second close changes nothing
	reply, err := c.exchange(connection, a)
	if err != nil {
		stop()
		_ = connection.Close() // the exchange's error is the one to report
		return nil, &Error{Kind: ErrBroken, Cause: err}
	}
	reply.stop = stop
	return reply, nil
}

func (c *Client) exchange(connection *conn, a *Attempt) (*Reply, error) {
	message := c.codec.AppendHead(make([]byte, 0, 1024+len(a.Request.Body)), a)
	message = append(message, a.Request.Body...)
	written := make(chan error, 1)
	if len(message) <= smallBody {
		if _, err := connection.Write(message); err != nil {
			return nil, err
		}
		written <- nil
	} else {
		go func() {
			_, err := connection.Write(message)
			written <- err
		}()
	}
	reply := &Reply{client: c, server: a.Server.Incarnation, conn: connection, written: written}
	if err := reply.readHead(a); err != nil {
		return nil, err
	}
	return reply, nil
}

// readHead reads heads until one is the request's own. A server may send a second
// answer late, at the place where the next one is due; its id tells. A rejection
// may come without an id.
func (r *Reply) readHead(a *Attempt) error {
	for skipped := 0; ; skipped++ {
		response, err := r.readResponse(a.Request.Method)
		if err != nil {
			return err
		}
		meta := r.client.codec.ParseMeta(response.StatusCode, response.Header)
		if meta.RequestID == a.Request.ID || meta.RequestID == "" && response.StatusCode >= http.StatusBadRequest {
			r.Status, r.Header, r.Meta = response.StatusCode, response.Header, meta
			r.Length, r.response = response.ContentLength, response
			return nil
		}
		r.spoiled = true
		if skipped == skippedMost {
			return errors.New("answers of other requests only")
		}
		n, err := io.CopyN(io.Discard, response.Body, skippedBytes)
		if err != io.EOF {
			return errors.Errorf("another request's answer, %d bytes read: %v", n, err)
		}
	}
}

func (r *Reply) readResponse(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at its proper end: after the stated
// length, the last chunk, or, of a body without either, an orderly close.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close gives the connection back if it is clean, and closes it otherwise.
func (r *Reply) Close() {
	ended := !r.stop() // ctx ended: the connection is being closed
	if ended || !r.reusable() {
		_ = r.conn.Close() // whatever was still due on it is not wanted
		return
	}
	idle := idleDefault
	if r.KeepAlive > 0 {
		idle = r.KeepAlive - idleMargin
	}
	r.conn.expires = time.Now().Add(idle)
	r.client.pool(r.server).put(r.conn)
}

// reusable says whether the connection stands between two exchanges, as far as this one
// tells; bytes that come later are seen when it is taken again. A server may answer before it has read a long body and read on later: the next
// request would be taken for the rest of that body.
func (r *Reply) reusable() bool {
	if !r.whole || r.spoiled || r.response.Close {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// IsTimeout says whether an error means that the peer gave no sign of life, as a
// VM without power or behind a cut does.
func IsTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
