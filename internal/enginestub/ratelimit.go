package enginestub

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/native"
)

// RateLimitPath is where a stand-in is told which limit to name (POST, the limit as the
// body; empty: none), and tells what it got (GET).
const RateLimitPath = "/stand-in/rate-limit"

// arrivalsMost bounds the requests that are kept, some hundred bytes each.
const arrivalsMost = 100_000

// RateLimitReport is what a stand-in named, and what it got.
type RateLimitReport struct {
	Named    []NamedLimit `json:"named"`
	Arrivals []Arrival    `json:"arrivals"`
}

// NamedLimit is a limit that is named from a moment on.
type NamedLimit struct {
	At time.Time `json:"at"`
	// Limit is the header's value; empty: none is named.
	Limit string `json:"limit"`
}

// Arrival is one request.
type Arrival struct {
	Request string    `json:"request"`
	At      time.Time `json:"at"`
	// Answered is when the head of its answer was sent.
	Answered time.Time `json:"answered"`
	// Limit is what the answer named; empty: nothing.
	Limit string `json:"limit"`
}

// rateLimit names a limit in all answers and keeps what arrives. It keeps to none itself:
// that is for the routers.
type rateLimit struct {
	now func() time.Time

	mu     sync.Mutex
	limit  string
	report RateLimitReport
}

// set names another limit from now on.
func (l *rateLimit) set(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.report.Named = append(l.report.Named, NamedLimit{At: l.now(), Limit: limit})
}

// arrived keeps a request and returns its number and the limit to name.
func (l *rateLimit) arrived(request string) (number int, limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.report.Arrivals) >= arrivalsMost {
		return -1, l.limit
	}
	l.report.Arrivals = append(l.report.Arrivals, Arrival{Request: request, At: l.now(), Limit: l.limit})
	return len(l.report.Arrivals) - 1, l.limit
}

func (l *rateLimit) answered(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number >= 0 {
		l.report.Arrivals[number].Answered = l.now()
	}
}

func (l *rateLimit) snapshot() RateLimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return RateLimitReport{Named: append([]NamedLimit(nil), l.report.Named...), Arrivals: append([]Arrival(nil), l.report.Arrivals...)}
}

// handle names the limit in an answer and notes when it was sent.
func (l *rateLimit) handle(c *fiber.Ctx, request string) error {
	number, limit := l.arrived(request)
	if limit != "" {
		c.Set(native.HeaderRateLimit, limit)
	}
	defer l.answered(number)
	return c.Next()
}

func (h *httpServer) rateLimitRoutes() {
	h.app.Post(RateLimitPath, func(c *fiber.Ctx) error {
		h.limit.set(strings.Clone(string(c.Body())))
		return nil
	})
	h.app.Get(RateLimitPath, func(c *fiber.Ctx) error {
		return c.JSON(h.limit.snapshot())
	})
}
