package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/httphead"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/tunnel"
)

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request *request.Request
	Server  *fleet.Server
	// Timeout is how long the server may work on the request; zero means no limit.
	Timeout time.Duration
	// ResumeAfter is the ID of the last event that the caller has, if Resume is set.
	ResumeAfter int64
	Resume      bool
	// Sending, if not nil, is called once a connection is there, before anything is sent.
	Sending func()

	// Router is set by Do: the name of this router's process.
	Router string
	// Via is set by Do: the router that carried the connection; empty if it was direct.
	Via string
}

// Meta contains the values of a response's headers that concern the router. Headers that are
// missing or invalid leave zero values, unless stated otherwise.
type Meta struct {
	// RequestID is the ID of the request that is answered.
	RequestID string
	// NotExecuted: the server states that it did not run the request.
	NotExecuted bool
	Load        fleet.Load
	HasLoad     bool
	// LoadFault is what is wrong with the load report; empty if it is valid or missing.
	LoadFault LoadFault
	// ColdFor is how much longer the server will be cold; zero if it is warm.
	ColdFor time.Duration
	// RateLimit is the limit on requests that the server sets. Its State tells a missing header
	// from an invalid one.
	RateLimit fleet.AnnouncedRate
	// Fragile is the number of requests per second that the server can reject without crashing;
	// absent if it doesn't say that it is fragile.
	Fragile fleet.AnnouncedRate
	// Leaving: the server is about to end and wants no new requests.
	Leaving bool
	// RetryAfter is how long a server that rejected the request wants no other one from this router; zero if
	// it doesn't say.
	RetryAfter time.Duration
	// OutputTokens is the number of output tokens of a response that is not a stream. It is
	// OutputUnknown if the dialect has a header for it and the header is missing or invalid.
	OutputTokens int
	// KeepAlive is how long the server keeps an idle connection open; 0 if it doesn't say.
	KeepAlive time.Duration
}

// OutputUnknown is the value of OutputTokens if the server did not report them. The request is
// then charged for all output tokens that it asked for.
const OutputUnknown = -1

// Codec encodes request heads and decodes response heads in the backend servers' dialect.
type Codec interface {
	// AppendHead appends the request line and headers, including the empty line at the end.
	AppendHead(buf []byte, a *Attempt) []byte
	// ParseMeta returns the Meta of a response with the given status and headers.
	ParseMeta(status int, header http.Header) Meta
}

var (
	// ErrNotSent: nothing of the request was sent.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken: the connection failed after the request was sent, or the response was not to
	// this request. The request may have run.
	ErrBroken = errors.New("upstream: exchange broken")
)

// errServerIneligible: the server left, or its failure domain was evacuated, after it was chosen.
var errServerIneligible = errors.New("upstream: server became ineligible while connecting")

// Error is the error of a failed exchange.
type Error struct {
	Kind  error // ErrNotSent or ErrBroken
	Cause error
}

func (e *Error) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap makes the kind and the cause visible to errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}

// Reply is a response whose body has not been read yet. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	Meta
	// Length is the length of the body, or -1 if the response doesn't state it.
	Length int64
	// Unframed: the body has neither a length nor chunks, so that it ends with its connection.
	Unframed bool

	client   *Client
	server   *fleet.Server
	conn     *conn
	response *http.Response
	stop     func() bool  // keeps the end of ctx from closing the connection; false: ctx has ended
	written  <-chan error // receives the result of writing the request
	bodyRead bool         // the body was read to its proper end
	unusable bool         // the connection carried a response to another request
}

const (
	// maxSkipped bounds how many responses to other requests are skipped before the right one.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// maxSyncWrite is the size up to which a request is written before its response is read. It fits
// any socket buffer, so that the write does not block if the server responds early.
const maxSyncWrite = 2048

// Do sends an attempt and waits for the response head. When ctx ends, the connection is closed,
// which makes the server drop the request. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, a *Attempt) (*Reply, error) {
	connection, err := c.connect(ctx, a.Server)
	if err != nil {
		return nil, &Error{Kind: ErrNotSent, Cause: err}
	}
	a.Via, a.Router = connection.via, c.router
	if !a.Server.AcceptsRequests(time.Now()) {
		// Connecting takes time, in which the server may have been marked as leaving or unavailable, or its
		// failure domain as evacuated. It must get no request after that.
		_ = connection.Close() // nothing was sent on it
		return nil, &Error{Kind: ErrNotSent, Cause: errServerIneligible}
	}
	if a.Sending != nil {
		a.Sending()
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() }) // closing twice is harmless
	reply, err := c.exchange(connection, a)
	if err != nil {
		stop()
		_ = connection.Close() // the exchange's error is the one to report
		c.observeFailure(a.Server, connection, err)
		return nil, &Error{Kind: ErrBroken, Cause: err}
	}
	reply.stop = stop
	return reply, nil
}

func (c *Client) exchange(connection *conn, a *Attempt) (*Reply, error) {
	message := c.codec.AppendHead(make([]byte, 0, 1024+len(a.Request.Body)), a)
	message = append(message, a.Request.Body...)
	written := make(chan error, 1)
	if len(message) <= maxSyncWrite {
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
	reply := &Reply{client: c, server: a.Server, conn: connection, written: written}
	if err := reply.readHead(a); err != nil {
		return nil, err
	}
	return reply, nil
}

// readHead reads the response head. A server may send a second response to an earlier request;
// such responses are recognised by their request ID and skipped. An error status may come without
// a request ID.
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
			r.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
			return nil
		}
		r.unusable = true
		if skipped == maxSkipped {
			return errors.New("responses to other requests only")
		}
		n, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes)
		if err != io.EOF {
			return errors.Errorf("response to another request, %d bytes read: %v", n, err)
		}
	}
}

// readResponse reads one response and skips informational ones (1xx).
func (r *Reply) readResponse(method string) (*http.Response, error) {
	r.conn.limiter.remaining = maxHeadBytes
	defer func() { r.conn.limiter.remaining = noHeadLimit }()
	for {
		response, err := r.conn.readHead(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at the proper end: after the stated length or the
// last chunk, or, if the body has neither, after an orderly close of the connection.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		if malformed := httphead.CheckFieldNames(r.response.Trailer); malformed != nil {
			return n, malformed
		}
		r.bodyRead = true
	} else if err != nil {
		r.client.observeFailure(r.server, r.conn, err)
	}
	return n, err
}

// Discard reads the body and drops it, so that the connection can be used again. It fails if the body is
// longer than limit bytes or doesn't end within wait.
func (r *Reply) Discard(limit int64, wait time.Duration) error {
	if err := r.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	n, err := io.CopyN(io.Discard, r.response.Body, limit+1) // the end shows only to a read beyond it
	if err != io.EOF {
		return errors.Errorf("%d bytes read: %v", n, err)
	}
	r.bodyRead = true
	return r.conn.SetReadDeadline(time.Time{})
}

// Close returns the connection to the pool if it can be reused, and closes it otherwise.
func (r *Reply) Close() {
	ctxEnded := !r.stop() // if so, the connection is being closed
	if ctxEnded || !r.reusable() {
		_ = r.conn.Close() // the rest of the response is not needed
		return
	}
	idle := defaultIdleTimeout
	if r.KeepAlive > 0 {
		idle = r.KeepAlive - idleMargin
	}
	r.conn.expiresAt = time.Now().Add(idle)
	r.client.pool(r.server.Incarnation).put(r.conn)
}

// reusable reports whether the exchange has ended on both sides, so that the connection can carry
// another request. One that another router carries is not used again: that router may stop. (Bytes that arrive later are noticed when it is taken from the pool.) The
// request must have been written whole: a server may respond before it has read a long body, and
// would take the next request for the rest of that body.
func (r *Reply) reusable() bool {
	if !r.bodyRead || r.unusable || r.response.Close || r.conn.via != "" || r.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// observeFailure closes the idle connections to a server if not even its kernel acknowledged what was
// sent on another one: they would fail as late.
func (c *Client) observeFailure(server *fleet.Server, connection *conn, err error) {
	if connection.via == "" && IsTimeout(err) && !c.isLinkSlow() {
		c.pool(server.Incarnation).closeAll()
	}
}

// IsCarrierFailure reports whether an exchange broke off because the router that carried it failed,
// which says nothing of the server.
func IsCarrierFailure(err error) bool {
	return errors.Is(err, tunnel.ErrCarrierLost)
}

// IsTimeout reports whether err is a network timeout: the server did not even acknowledge data, for
// example because its VM lost power or its network.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
