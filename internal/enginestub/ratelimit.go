package enginestub

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/native"
)

// RateLimitPath is where a stand-in is told which limit to name (POST, the limit as the
// body; empty: none).
const RateLimitPath = "/stand-in/rate-limit"

// RateLimitReport is what one process of a stand-in named, and what it got.
type RateLimitReport struct {
	Named    []NamedLimit
	Arrivals []Arrival
}

// NamedLimit is a limit that is named from a moment on.
type NamedLimit struct {
	At time.Time
	// Limit is the header's value; empty: none is named.
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
