package ctl

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/opsapi"
)

// client calls the operators' listener of one router after the other until one
// answers.
type client struct {
	urls       []string
	credential string
	operator   string
	timeout    time.Duration
	http       *fasthttp.Client
}

func newClient(urls []string, credential, operator string, timeout time.Duration, tlsConfig *tls.Config) *client {
	return &client{
		urls:       urls,
		credential: credential,
		operator:   operator,
		timeout:    timeout,
		http: &fasthttp.Client{
			Name:      "chicoryctl",
			TLSConfig: tlsConfig,
			// Retries are made here, where it is known whether the call may
			// have been sent.
			MaxIdemponentCallAttempts: 1,
			ReadTimeout:               timeout,
			WriteTimeout:              timeout,
		},
	}
}

// call is one call of the operators' API.
type call struct {
	method string
	path   string
	header map[string]string
	body   []byte
	// repeat, for a call that changes something, tells the operator how to send
	// it again safely: by the id that makes it idempotent.
	repeat string
}

func (c call) changes() bool { return c.method != fasthttp.MethodGet }

// answer is a router's answer with a success status.
type answer struct {
	body []byte
	etag string
}

// send tries each URL once, and goes on to the next when a router can't be
// reached or says that it did nothing.
//
// Once one try may have had its effect, a later router's 'not done' speaks only
// of its own try. Reporting it would tell the operator that nothing changed
// though it may have; so the outcome is then not yet known.
func (c *client) send(request call) (answer, error) {
	var last error
	mayHaveRun := false
	for _, url := range c.urls {
		result, err := c.sendTo(url, request, mayHaveRun)
		if err == nil {
			return result, nil
		}
		next, sent := triage(err)
		if !next {
			return answer{}, err
		}
		last = errors.Wrap(err, url)
		mayHaveRun = mayHaveRun || sent
	}
	if mayHaveRun && request.changes() {
		return answer{}, &notYetKnownError{repeat: request.repeat, cause: last}
	}
	return answer{}, &unreachableError{cause: last}
}

// transportError: no answer came.
type transportError struct {
	cause error
	sent  bool // the call may have reached the router
}

func (e *transportError) Error() string { return e.cause.Error() }

// triage tells whether to go on to the next router, and whether the failed try
// may have had its effect.
func triage(err error) (next, sent bool) {
	var transport *transportError
	if errors.As(err, &transport) {
		return true, transport.sent
	}
	var detail *opsapi.ErrorDetail
	if !errors.As(err, &detail) {
		return false, true
	}
	switch detail.Code {
	case opsapi.CodeNotDone:
		return true, false
	case opsapi.CodeNotYetKnown, opsapi.CodeInternal:
		return true, true
	}
	return false, false
}

func (c *client) sendTo(url string, request call, resent bool) (answer, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(strings.TrimSuffix(url, "/") + request.path)
	req.Header.SetMethod(request.method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.credential)
	req.Header.Set(opsapi.HeaderOperator, c.operator)
	for name, value := range request.header {
		req.Header.Set(name, value)
	}
	if resent {
		req.Header.Set(opsapi.HeaderChangeResent, "true")
	}
	if request.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(request.body)
	}
	if err := c.http.DoTimeout(req, res, c.timeout); err != nil {
		return answer{}, &transportError{cause: err, sent: !isDialError(err)}
	}
	if res.StatusCode() >= fasthttp.StatusBadRequest {
		return answer{}, errorOf(res)
	}
	return answer{body: append([]byte(nil), res.Body()...), etag: string(res.Header.Peek("ETag"))}, nil
}

// isDialError tells that no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

func errorOf(res *fasthttp.Response) error {
	var body opsapi.ErrorBody
	if err := json.Unmarshal(res.Body(), &body); err != nil || body.Error.Code == "" {
		return errors.Errorf("the answer with status %d is not one of a router", res.StatusCode())
	}
	return &body.Error
}

// getJSON reads a path into target.
func (c *client) getJSON(path string, target any) error {
	result, err := c.send(call{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(result.body, target), "read the answer")
}
