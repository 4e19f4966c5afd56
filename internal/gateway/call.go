package gateway

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
)

// Headers of requests.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotent     = "X-Idempotent"
	headerRequestID      = "X-Request-Id" // of answers: names the request to operators
)

const maxIdempotencyKeyBytes = 255

// call is what chat completions and service calls have in common.
type call struct {
	contract       *contract.Contract
	snapshot       *core.Snapshot
	arrived        time.Time
	deadline       time.Time
	idempotencyKey string
	body           []byte // a copy: the run may outlive the connection's buffers
	bodyHash       uint64
}

// newCall authenticates a request and reads its common headers.
func (s *Server) newCall(c *fiber.Ctx) (call, error) {
	snapshot := s.gate.Snapshot()
	found, err := authenticate(c, snapshot)
	if err != nil {
		return call{}, err
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return call{}, err
	}
	// An encoded body would be unpacked without a bound on its size.
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return call{}, refuse(core.CauseBadRequest, fiber.HeaderContentEncoding, "encoded bodies are not supported")
	}
	window, err := callerWindow(c)
	if err != nil {
		return call{}, err
	}
	now := s.config.Now()
	return call{
		contract:       found,
		snapshot:       snapshot,
		arrived:        now,
		deadline:       now.Add(shortest(window, found.Deadline(), s.config.MaxDeadline)),
		idempotencyKey: key,
		body:           bytes.Clone(c.Request().Body()),
		bodyHash:       hashCall(c.Method(), c.Context().RequestURI(), c.Request().Body()),
	}, nil
}

// context ends at the call's deadline. It is not the connection's context, which
// the HTTP library ends at shutdown: requests in flight then go on.
func (s *Server) context(request call) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), request.deadline.Sub(s.config.Now()))
}

func (r call) keyed() bool {
	return r.idempotencyKey != ""
}

func idempotencyKey(c *fiber.Ctx) (string, error) {
	key := c.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return "", refuse(core.CauseBadRequest, headerIdempotencyKey, "the key has more than %d bytes", maxIdempotencyKeyBytes)
	}
	for _, char := range []byte(key) {
		if char < ' ' || char > '~' {
			return "", refuse(core.CauseBadRequest, headerIdempotencyKey, "the key must be printable ASCII")
		}
	}
	return key, nil
}

// callerWindow is the time that the caller allows; zero: it sets none.
func callerWindow(c *fiber.Ctx) (time.Duration, error) {
	text := c.Get(headerDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, refuse(core.CauseBadRequest, headerDeadline, "the header must be a positive number of milliseconds")
	}
	return time.Duration(min(ms, contract.MaxWindowMS)) * time.Millisecond, nil
}

// shortest gives the least of the windows that are set.
func shortest(windows ...time.Duration) time.Duration {
	var least time.Duration
	for _, window := range windows {
		if window > 0 && (least == 0 || window < least) {
			least = window
		}
	}
	return least
}

// hashCall covers method, path and body; the separators keep ("a","bc") and
// ("ab","c") apart.
func hashCall(method string, uri, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(uri)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}
