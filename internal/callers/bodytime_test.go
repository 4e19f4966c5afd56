package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Guards against a request whose body the saturated link brings too late for its caller, and that gets no answer
// meanwhile, and against a limit that outlasts the body.
func TestBodyThatIsLateIsRefused(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 3) // of the requests' contexts
	protocol := Protocol{
		Decode: func(_ *http.Request, body []byte, _ time.Time, _ *policy.Policy) (*request.Request, *forward.Refusal) {
			return &request.Request{Body: body}, nil
		},
		TimeLeft:    func(http.Header) time.Duration { return time.Second },
		RefusalBody: func(r forward.Refusal, _ *request.Request) []byte { return []byte(r.Cause) },
	}
	router := Router{
		ShuttingDown: func() bool { return false }, MaxBodyBytes: func() int64 { return 0 }, Policy: func() *policy.Policy { return nil },
		BodyTime: func(timeLeft time.Duration) time.Duration { return timeLeft / 10 },
		Refuse:   func(_ *request.Request, caller forward.Caller, refusal forward.Refusal) { caller.Refuse(refusal) },
	}
	router.Serve = func(ctx context.Context, _ *request.Request, caller forward.Caller) {
		time.Sleep(150 * time.Millisecond) // longer than the body may take
		ended <- ctx.Err()
		_ = caller.Answer(http.StatusOK, http.Header{}, nil)
	}
	server := httptest.NewServer(NewHandler(protocol, router))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }() // the server may have closed it
	for i, body := range []string{"body", "", "bo"} {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", []int{4, 0, 4}[i], body)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close() // only the status is needed
		late := i == 2
		c.Assert(response.StatusCode, qt.Equals, map[bool]int{false: http.StatusOK, true: http.StatusServiceUnavailable}[late])
		c.Assert(response.Close, qt.Equals, late)
		c.Assert(late || <-ended == nil, qt.IsTrue)
	}
	c.Assert(ended, qt.HasLen, 0)
}
