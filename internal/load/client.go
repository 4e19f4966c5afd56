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
	entryTimeout       = 2 * time.Second
	dialTimeout        = 2 * time.Second
)

// Client sends single tries. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
	keys []string // bearer keys, one for each client account

	streams sync.Pool // of *streamReader
}

// NewClient makes a client that calls with the given bearer keys.
func NewClient(keys []string) *Client {
	client := &Client{keys: keys}
	client.http = &fasthttp.Client{
		Name:                "chicory-load",
		MaxConnsPerHost:     maxConnsPerAddress,
		ReadBufferSize:      readBufferBytes,
		MaxResponseBodySize: maxBodyBytes,
		StreamResponseBody:  true,
		Dial:                dial,
		// A hidden retry would run a request twice without the report knowing.
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

// FetchEntry asks a router for the entry answer of an account's key.
func (c *Client) FetchEntry(account int) FetchEntry {
	return func(router string) (EntryAnswer, error) {
		body, err := c.get("http://"+router+"/v1/entry", c.keys[account])
		if err != nil {
			return EntryAnswer{}, err
		}
		return parseEntry(body)
	}
}

// get fetches a JSON document. An empty credential sends none.
func (c *Client) get(url, credential string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.SetTimeout(entryTimeout)
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	if err := c.http.Do(request, response); err != nil {
		return nil, errors.Wrapf(ErrNoResponse, "GET %s: %v", url, err)
	}
	body, err := wholeBody(response)
	if err != nil {
		return nil, errors.Wrapf(err, "GET %s", url)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(parseRefusal(body, response.StatusCode(), ""), "GET %s", url)
	}
	return body, nil
}

// try sends req once to address and reads the whole answer. The error is nil
// for a whole and right answer; else it is a *Refusal or wraps ErrNoConnection,
// ErrBroken, ErrDiffers or ErrTruncated.
func (c *Client) try(address string, req *Request, deadline time.Time, out *reply) error {
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return errors.Wrap(ErrNoResponse, "the deadline is past")
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
	defer response.CloseBodyStream() //nolint:errcheck // a stream that can't be closed is of no use
	out.status = response.StatusCode()
	out.requestID = string(response.Header.Peek("X-Request-ID"))
	return c.readAnswer(response, req, out)
}

func (c *Client) readAnswer(response *fasthttp.Response, req *Request, out *reply) error {
	if out.status == fasthttp.StatusOK && isEventStream(response) {
		return c.readStream(response.BodyStream(), req, out)
	}
	body, err := wholeBody(response)
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
	out.mark(time.Now())
	if req.Kind == KindConfirm {
		return checkConfirm(body, req.Key)
	}
	check := answerCheck{want: req.Want}
	if err := out.readJSON(body, &check); err != nil {
		return err
	}
	return out.checkUsage(req.Want)
}

func (c *Client) readStream(body io.Reader, req *Request, out *reply) error {
	reader := c.streams.Get().(*streamReader)
	defer c.streams.Put(reader)
	check := answerCheck{want: req.Want}
	if err := reader.read(body, &check, out); err != nil {
		return err
	}
	return out.checkUsage(req.Want)
}

func isEventStream(response *fasthttp.Response) bool {
	return bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream"))
}

// wholeBody reads a body that isn't streamed. Its error wraps ErrBroken.
func wholeBody(response *fasthttp.Response) ([]byte, error) {
	stream := response.BodyStream()
	if stream == nil { // an answer without a body
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(ErrInterrupted, err.Error())
	}
	return body, nil
}
