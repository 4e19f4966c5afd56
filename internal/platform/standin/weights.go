package standin

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"golang.org/x/time/rate"
)

// weightStore answers each name with a blob of its own, within a rate.
type weightStore struct {
	now  func() time.Time
	size int

	mu     sync.Mutex
	bucket *rate.Limiter // in bytes; nil: no limit
}

func newWeightStore(now func() time.Time, size int, bytesPerSecond float64) *weightStore {
	w := &weightStore{now: now, size: size}
	if bytesPerSecond > 0 {
		// The bucket holds at least one blob, else none would ever go out.
		burst := max(size, int(math.Ceil(bytesPerSecond)))
		w.bucket = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return w
}

// admit takes one blob's bytes off the rate, or tells when to come back.
func (w *weightStore) admit() (wait time.Duration, ok bool) {
	if w.bucket == nil {
		return 0, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.bucket.AllowN(now, w.size) {
		return 0, true
	}
	missing := float64(w.size) - w.bucket.TokensAt(now)
	seconds := missing / float64(w.bucket.Limit())
	return time.Duration(seconds * float64(time.Second)), false
}

// blob is the same for each call with one name.
func (w *weightStore) blob(name string) []byte {
	var seed [32]byte
	copy(seed[:], strconv.FormatUint(xxhash.Sum64String(name), 10))
	data := make([]byte, w.size)
	// ChaCha8's Read never fails.
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

func (s *Server) getWeights(c *fiber.Ctx) error {
	wait, ok := s.weights.admit()
	if !ok {
		seconds := int(math.Ceil(wait.Seconds()))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(max(1, seconds)))
		return fiber.NewError(fiber.StatusTooManyRequests, "standin: weight store is over its rate")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(s.weights.blob(c.Params("name")))
}
