package core

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/route"
)

// Config is what a core is made with.
type Config struct {
	// Self is this router, and Member tells the others of it.
	Self   id.Router
	Member member.Config

	BudgetShards int
	ClaimShards  int
	Budget       budget.Policy
	Route        route.Config

	// KeyRetention is how long a request under an idempotency key is remembered.
	KeyRetention time.Duration
	// MaxKeys bounds the keys that this router remembers as their home.
	MaxKeys int
	// KeptAnswersBytes bounds the memory of answers kept for retries.
	KeptAnswersBytes int
	// BillRetention and MaxBills bound the itemised bills kept in memory.
	BillRetention time.Duration
	MaxBills      int
	// SettleAfter is how long a router must not be heard of before the others
	// settle its grants. Earlier costs nothing but fences routers needlessly.
	SettleAfter time.Duration
	// DoubtWait is how long after the loss of a router a request under a key is
	// refused of which the lost router might know. Longer refuses more during a
	// partition; shorter lets a request that is sent to both sides run on both.
	DoubtWait time.Duration
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts int
	// ParkLimit bounds the requests that wait for a draw.
	ParkLimit int
	// Random chooses the targets of heartbeats; seeded in tests.
	Random member.Random
}

// Defaults of Config.
const (
	DefaultKeyRetention     = 10 * time.Minute
	DefaultKeptAnswersBytes = 32 << 20
	DefaultBillRetention    = 30 * time.Minute
	DefaultMaxKeys          = 1_000_000
	DefaultMaxBills         = 200_000
	DefaultSettleAfter      = 5 * time.Second
	DefaultDoubtWait        = 15 * time.Second
	DefaultMaxAttempts      = 4
	DefaultParkLimit        = 4096
)

// Times within a request's path.
const (
	// freshFor is how long a request counts as new since its homes said so. It is
	// less than the time after which others may settle this router.
	freshFor        = time.Second
	awaitAnswerFor  = 2 * time.Second        // longest wait of a peer for an answer
	retrySoon       = 500 * time.Millisecond // told to callers when a state passes by itself
	retryInProgress = time.Second
	retryOutage     = 2 * time.Second
	// retryExhausted: money comes back only by a top-up, or when other requests
	// end below their reservations.
	retryExhausted = 5 * time.Second
)
