package enginestub

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/native"
)

// RateLimitPath is the path that sets the advertised rate limit. The body of the POST request
// is the limit; an empty body removes it.
const RateLimitPath = "/stand-in/rate-limit"

// ProcessActivity lists the rate limits that one backend server process advertised and the
// requests that it received.
type ProcessActivity struct {
	RateLimits []RateLimitChange
	Arrivals   []Arrival
}

// RateLimitChange is a change of the advertised rate limit.
type RateLimitChange struct {
	At time.Time
	// Limit is the value of the rate limit header; empty: the header is not sent.
	Limit string
}

// Arrival is one request.
type Arrival struct {
	Request string
	At      time.Time
	// Answered is when the head of its answer was sent; zero: never.
	Answered time.Time
	// Limit is what the answer named; empty: nothing.
	Limit string
}

// rateLimit names a limit in all answers and notes what arrives. It keeps to none itself:
// that is for the routers.
type rateLimit struct {
	now      func() time.Time
	evidence *evidence

	mu    sync.Mutex
	limit string
}

// set names another limit from now on.
func (l *rateLimit) set(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.evidence.note(evidenceLine{Kind: limitNamed, At: l.now(), Limit: limit})
}

// arrived notes a request and returns the limit to name.
func (l *rateLimit) arrived(request string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence.note(evidenceLine{Kind: requestArrived, At: l.now(), Request: request, Limit: l.limit})
	return l.limit
}

// handle names the limit in an answer and notes when it was sent.
func (l *rateLimit) handle(c *fiber.Ctx, request string) error {
	if limit := l.arrived(request); limit != "" {
		c.Set(native.HeaderRateLimit, limit)
	}
	defer func() { l.evidence.note(evidenceLine{Kind: requestAnswered, At: l.now(), Request: request}) }()
	return c.Next()
}

func (h *httpServer) rateLimitRoutes() {
	h.app.Post(RateLimitPath, func(c *fiber.Ctx) error {
		h.limit.set(strings.Clone(string(c.Body())))
		return nil
	})
}
