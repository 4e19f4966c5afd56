package load

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the HTTP client.
const (
	maxConnsPerAddress = 65536
	readBufferBytes    = 32 << 10
	maxBodyBytes       = 16 << 20
	getTimeout         = 2 * time.Second
	dialTimeout        = 2 * time.Second
)

// Client sends requests without retries. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
	keys []string // bearer tokens, one per client account

	streams sync.Pool // of *streamReader
}

// NewClient returns a Client that authenticates with the given keys.
func NewClient(keys []string) *Client {
	client := &Client{keys: keys}
	client.http = &fasthttp.Client{
		Name:                "chicory-load",
		MaxConnsPerHost:     maxConnsPerAddress,
		ReadBufferSize:      readBufferBytes,
		MaxResponseBodySize: maxBodyBytes,
		StreamResponseBody:  true,
		Dial:                dial,
		// Retries within the HTTP client would be missing from the report.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
	client.streams.New = func() any { return &streamReader{events: newEventReader()} }
	return client
}

func dial(address string) (net.Conn, error) {
	return fasthttp.DialTimeout(address, dialTimeout)
}

// EntryFetcher returns a function that requests the entry response with an account's key.
func (c *Client) EntryFetcher(accountIndex int) FetchEntryFunc {
	return func(address string) (EntryResponse, error) {
		body, err := c.get("http://"+address+"/v1/entry", c.keys[accountIndex])
		if err != nil {
			return EntryResponse{}, err
		}
		return parseEntry(body)
	}
}

// get returns the body of a successful GET. An empty key is not sent.
func (c *Client) get(url, key string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.SetTimeout(getTimeout)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if err := c.http.Do(request, response); err != nil {
		return nil, errors.Wrapf(ErrNoResponse, "GET %s: %v", url, err)
	}
	body, err := readBody(response)
	if err != nil {
		return nil, errors.Wrapf(err, "GET %s", url)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(parseRefusal(body, response.StatusCode(), ""), "GET %s", url)
	}
	return body, nil
}

// try sends req once to address and reads the complete answer. The error is nil if the
// answer is the expected one; otherwise it is a *Refusal or wraps ErrNoResponse,
// ErrInterrupted, ErrMismatch or ErrTruncated.
func (c *Client) try(address string, req *Request, deadline time.Time, out *tryResult) error {
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return errors.Wrap(ErrNoResponse, "deadline exceeded before the request was sent")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + req.Path)
	request.SetTimeout(timeout)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+c.keys[req.Account])
	if !req.Unkeyed {
		request.Header.Set("Idempotency-Key", req.Key)
	}
	request.SetBodyRaw(req.Body)

	if err := c.http.Do(request, response); err != nil {
		return errors.Wrap(ErrNoResponse, err.Error())
	}
	defer response.CloseBodyStream() //nolint:errcheck // a failure to close does not change the result
	out.status = response.StatusCode()
	out.requestID = string(response.Header.Peek("X-Request-ID"))
	return c.readResponse(response, req, out)
}

func (c *Client) readResponse(response *fasthttp.Response, req *Request, out *tryResult) error {
	if out.status == fasthttp.StatusOK && isEventStream(response) {
		return c.readStream(response.BodyStream(), req, out)
	}
	body, err := readBody(response)
	if err != nil {
		return err
	}
	if out.status != fasthttp.StatusOK {
		refusal := parseRefusal(body, out.status, string(response.Header.Peek("Retry-After")))
		if refusal.RequestID == "" {
			refusal.RequestID = out.requestID
		}
		return refusal
	}
	out.recordContent(time.Now())
	if req.Kind == KindConfirm {
		return checkConfirm(body, req.Key)
	}
	checker := newAnswerChecker(req.Want)
	if err := out.readJSON(body, checker); err != nil {
		return err
	}
	return out.checkUsage(req.Want)
}

func (c *Client) readStream(body io.Reader, req *Request, out *tryResult) error {
	reader := c.streams.Get().(*streamReader)
	defer c.streams.Put(reader)
	checker := newAnswerChecker(req.Want)
	if err := reader.read(body, checker, out); err != nil {
		return err
	}
	return out.checkUsage(req.Want)
}

func isEventStream(response *fasthttp.Response) bool {
	return bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream"))
}

// readBody reads a complete body. Its error wraps ErrInterrupted.
func readBody(response *fasthttp.Response) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil { // no body
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(ErrInterrupted, err.Error())
	}
	return body, nil
}
