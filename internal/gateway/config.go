package gateway

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/contract"
)

// Defaults of Config.
const (
	DefaultBodyLimit      = 4 << 20 // bytes
	DefaultHeaderLimit    = 16 << 10
	DefaultMaxConnections = 32768
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultWriteTimeout   = 20 * time.Second
	DefaultCancelTimeout  = 2 * time.Second
	DefaultMaxDeadline    = time.Duration(contract.MaxWindowMS) * time.Millisecond
	DefaultEntryTTL       = 15 * time.Second
	DefaultMaxMessages    = 2048
	DefaultMaxOutputAsked = 1 << 24 // tokens
	DefaultMaxAnswerBytes = 4 << 20
	DefaultResumeAttempts = 2
)

// Config holds the limits of the callers' listener. A zero field means its default.
type Config struct {
	// BodyLimit is the largest request body in bytes.
	BodyLimit int
	// HeaderLimit is the largest request line and headers together, in bytes.
	HeaderLimit int
	// MaxConnections bounds the open connections, and with them the memory.
	MaxConnections int
	// ReadTimeout bounds the time to receive one whole request, headers included.
	ReadTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a kept connection.
	IdleTimeout time.Duration
	// WriteTimeout bounds each single write to a caller: a caller that reads
	// nothing for so long is taken as gone.
	WriteTimeout time.Duration
	// CancelTimeout bounds the cancellation of a stream at an engine.
	CancelTimeout time.Duration
	// MaxDeadline bounds every request, also where the contract sets no window.
	MaxDeadline time.Duration
	// EntryTTL is how long callers may keep the answer of /v1/entry.
	EntryTTL time.Duration
	// MaxMessages is the largest number of messages in one completion request.
	MaxMessages int
	// MaxOutputAsked is the largest max_tokens that is not refused as absurd.
	MaxOutputAsked int64
	// MaxAnswerBytes bounds the text of one answer; a longer one is cut there
	// with finish reason "length".
	MaxAnswerBytes int
	// ResumeAttempts is how often in a row, without a new token, one broken
	// stream is resumed before the request moves to another backend server.
	ResumeAttempts int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// withDefaults fills the fields that are zero.
func (c Config) withDefaults() Config {
	setDefault(&c.BodyLimit, DefaultBodyLimit)
	setDefault(&c.HeaderLimit, DefaultHeaderLimit)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.CancelTimeout, DefaultCancelTimeout)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.EntryTTL, DefaultEntryTTL)
	setDefault(&c.MaxMessages, DefaultMaxMessages)
	setDefault(&c.MaxOutputAsked, DefaultMaxOutputAsked)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.ResumeAttempts, DefaultResumeAttempts)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
