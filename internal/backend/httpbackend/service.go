package httpbackend

import (
	"context"
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// Call sends one call to a plain service and returns its whole answer. An
// answer of any status but the refusals 429 and 503 is the service's own and is
// no error.
func (c *Client) Call(ctx context.Context, to backend.Ref, req backend.ServiceRequest) (backend.ServiceResponse, error) {
	const op = "call"
	var answer backend.ServiceResponse
	path, err := servicePath(req.Path)
	if err != nil {
		return answer, &Error{Kind: backend.ErrRejected, Op: op, Address: to.Address, Cause: err}
	}
	out := newRequest(req.Method, to.Address, path)
	defer fasthttp.ReleaseRequest(out)
	out.Header.Set(HeaderRequestID, string(req.Request))
	out.Header.Set(HeaderAttemptID, string(req.Attempt))
	if req.ContentType != "" {
		out.Header.SetContentType(req.ContentType)
	}
	err = c.setDeadline(out, req.Deadline)
	if err != nil {
		return answer, &Error{Kind: backend.ErrNotRun, Op: op, Address: to.Address, Cause: err}
	}
	if len(req.Body) > 0 {
		out.SetBodyRaw(req.Body)
	}
	x, err := c.do(ctx, op, to.Address, out, false)
	if err != nil {
		return answer, err
	}
	defer c.finish(x, true)
	status := x.resp.StatusCode()
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		return answer, statusError(op, to.Address, status)
	}
	answer.Status = status
	answer.ContentType = string(x.resp.Header.ContentType())
	answer.Body = append([]byte(nil), x.resp.Body()...)
	return answer, nil
}

// servicePath makes the request target. A target with a space or a control
// character would end the request line early and let a caller add headers.
func servicePath(path string) (string, error) {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if strings.Contains(path, " ") {
		return "", errors.Wrap(ErrBadPath, "space")
	}
	_, err := url.ParseRequestURI(path)
	if err != nil {
		return "", errors.WithStack(ErrBadPath)
	}
	return path, nil
}
