package httpbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Paths of the engine protocol.
const (
	pathGenerate = "/v1/chat/completions"
	pathStreams  = "/v1/streams/"
	pathLoad     = "/v1/load"
)

// Headers that tell a backend server what it works on.
const (
	HeaderRequestID = "X-Request-Id" // an engine uses it as the id of its chunks
	HeaderAttemptID = "X-Attempt-Id" // names a stream for resume and cancel
	HeaderDeadline  = "X-Deadline-Ms"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	maxErrorBytes     = 4 << 10 // how much of an error answer is read over
)

// Generate starts a completion. It returns when the engine has accepted the
// request; the first chunk may take longer.
func (c *Client) Generate(ctx context.Context, to backend.Ref, req backend.GenerateRequest) (backend.Stream, error) {
	const op = "generate"
	body, err := engineBody(nil, req)
	if err != nil {
		return nil, &Error{Kind: backend.ErrRejected, Op: op, Address: to.Address, Cause: err}
	}
	out := newRequest(fasthttp.MethodPost, to.Address, pathGenerate)
	defer fasthttp.ReleaseRequest(out)
	out.Header.SetContentType(contentTypeJSON)
	out.Header.Set(HeaderRequestID, string(req.Request))
	out.Header.Set(HeaderAttemptID, string(req.Attempt))
	err = c.setDeadline(out, req.Deadline)
	if err != nil {
		return nil, &Error{Kind: backend.ErrNotRun, Op: op, Address: to.Address, Cause: err}
	}
	out.SetBodyRaw(body)
	return c.openStream(ctx, op, to.Address, out, 0)
}

// Resume continues a stream at the given token offset.
func (c *Client) Resume(ctx context.Context, to backend.Ref, attempt id.Attempt, offset int64) (backend.Stream, error) {
	const op = "resume"
	path := streamPath(attempt) + "?offset=" + strconv.FormatInt(offset, 10)
	out := newRequest(fasthttp.MethodGet, to.Address, path)
	defer fasthttp.ReleaseRequest(out)
	out.Header.Set(HeaderAttemptID, string(attempt))
	stream, err := c.openStream(ctx, op, to.Address, out, offset)
	var failure *Error
	if errors.As(err, &failure) && failure.Status == fasthttp.StatusNotFound {
		failure.Kind = backend.ErrStreamNotFound
	}
	return stream, err
}

// Cancel stops a stream; an engine that doesn't know it answers 404, which is
// as good.
func (c *Client) Cancel(ctx context.Context, to backend.Ref, attempt id.Attempt) error {
	const op = "cancel"
	out := newRequest(fasthttp.MethodDelete, to.Address, streamPath(attempt))
	defer fasthttp.ReleaseRequest(out)
	out.Header.Set(HeaderAttemptID, string(attempt))
	x, err := c.do(ctx, op, to.Address, out, false)
	if err != nil {
		return err
	}
	defer c.finish(x, true)
	status := x.resp.StatusCode()
	if status < 300 || status == fasthttp.StatusNotFound {
		return nil
	}
	return statusError(op, to.Address, status)
}

// Load asks an engine or a plain service for its load report.
func (c *Client) Load(ctx context.Context, to backend.Ref) (backend.LoadReport, error) {
	const op = "load"
	var report backend.LoadReport
	out := newRequest(fasthttp.MethodGet, to.Address, pathLoad)
	defer fasthttp.ReleaseRequest(out)
	x, err := c.do(ctx, op, to.Address, out, false)
	if err != nil {
		return report, err
	}
	defer c.finish(x, true)
	status := x.resp.StatusCode()
	if status != fasthttp.StatusOK {
		return report, statusError(op, to.Address, status)
	}
	err = json.Unmarshal(x.resp.Body(), &report)
	if err != nil {
		cause := errors.Wrap(ErrMalformedBody, err.Error())
		return backend.LoadReport{}, &Error{Kind: backend.ErrBroken, Op: op, Address: to.Address, Cause: cause}
	}
	return report, nil
}

// openStream sends a request whose answer is a stream that starts at token
// offset.
func (c *Client) openStream(ctx context.Context, op, address string, out *fasthttp.Request, offset int64) (backend.Stream, error) {
	x, err := c.do(ctx, op, address, out, true)
	if err != nil {
		return nil, err
	}
	status := x.resp.StatusCode()
	if status != fasthttp.StatusOK {
		c.finish(x, skipError(x.resp))
		return nil, statusError(op, address, status)
	}
	if !bytes.HasPrefix(x.resp.Header.ContentType(), []byte(contentTypeEvents)) {
		c.finish(x, false)
		return nil, &Error{Kind: backend.ErrBroken, Op: op, Address: address, Status: status, Cause: ErrNoEventStream}
	}
	return newStream(ctx, c, x, op, offset), nil
}

// skipError reads over an error answer, so that its connection can be used again,
// and tells whether its end was reached.
func skipError(resp *fasthttp.Response) (whole bool) {
	if resp.BodyStream() == nil {
		return true
	}
	n, err := io.CopyN(io.Discard, resp.BodyStream(), maxErrorBytes+1)
	return err == io.EOF && n <= maxErrorBytes
}

func newRequest(method, address, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetHost(address)
	req.SetRequestURI(path)
	return req
}

func streamPath(attempt id.Attempt) string {
	return pathStreams + url.PathEscape(string(attempt))
}

// setDeadline tells the server the time that is left. A call whose time is
// over isn't sent.
func (c *Client) setDeadline(req *fasthttp.Request, deadline time.Time) error {
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(c.cfg.Now())
	if left <= 0 {
		return context.DeadlineExceeded
	}
	milliseconds := max(left.Milliseconds(), 1)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(milliseconds, 10))
	return nil
}
