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

// Arrival is a received request.
type Arrival struct {
	Request string // request ID
	Router  string // process of the router that sent it; empty if it didn't say
	At      time.Time
	// Answered is the time just before the response header was sent; zero: never.
	Answered time.Time
	// Limit is the rate limit advertised in the response; empty: none.
	Limit string
}

// advertisedLimit sets the rate limit header in all responses and logs the requests. It does
// not enforce the limit: the routers must do that.
type advertisedLimit struct {
	now      func() time.Time
	activity *activityLogger

	mu    sync.Mutex
	limit string
}

func (l *advertisedLimit) set(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.activity.log(activityRecord{Kind: rateLimitChanged, At: l.now(), Limit: limit})
}

// recordArrival logs a request and returns the limit to advertise in its response.
func (l *advertisedLimit) recordArrival(requestID, router string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activity.log(activityRecord{Kind: requestArrived, At: l.now(), Request: requestID, Router: router, Limit: l.limit})
	return l.limit
}

// handle is a middleware that sets the rate limit header and logs the request's arrival and
// answer.
func (l *advertisedLimit) handle(c *fiber.Ctx, requestID string) error {
	if limit := l.recordArrival(requestID, strings.Clone(c.Get(native.HeaderRouter))); limit != "" {
		c.Set(native.HeaderRateLimit, limit)
	}
	defer func() { l.activity.log(activityRecord{Kind: requestAnswered, At: l.now(), Request: requestID}) }()
	return c.Next()
}

func (h *httpServer) addRateLimitRoute() {
	h.app.Post(RateLimitPath, func(c *fiber.Ctx) error {
		h.rateLimit.set(strings.Clone(string(c.Body())))
		return nil
	})
}
