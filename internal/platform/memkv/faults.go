package memkv

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Faults says how the store misbehaves. The zero value is a healthy store
// without rate limits.
type Faults struct {
	// Outage makes each call fail with platform.ErrUnavailable before it takes
	// effect, and ends all watches.
	Outage bool `json:"outage"`
	// Delay is the real time that each call waits before it is looked at.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of coming CAS, Delete and GrantLease calls that
	// take effect and yet return platform.ErrOutcomeUnknown. Calls without
	// effect (a conflict, for instance) and KeepAlive do not use it up.
	LoseAnswers int `json:"lose_answers"`
	// WritesPerSecond limits CAS, Delete, GrantLease and KeepAlive calls. The
	// burst is one second's worth. Zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond limits Get and Watch calls likewise.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Counts tells how often each call was made since the store's start, refused
// calls included, and what the store holds now.
type Counts struct {
	Gets          int64 `json:"gets"`
	CASes         int64 `json:"cases"`
	Deletes       int64 `json:"deletes"`
	LeaseGrants   int64 `json:"lease_grants"`
	KeepAlives    int64 `json:"keep_alives"`
	WatchesOpened int64 `json:"watches_opened"`

	Conflicts   int64 `json:"conflicts"`
	Unavailable int64 `json:"unavailable"`
	RateLimited int64 `json:"rate_limited"`
	AnswersLost int64 `json:"answers_lost"`
	LeasesGone  int64 `json:"leases_gone"`

	WatchesWaiting int64 `json:"watches_waiting"`
	LeasesHeld     int64 `json:"leases_held"`
	Keys           int64 `json:"keys"`
	BytesHeld      int64 `json:"bytes_held"`
}

// limiter is a rate limit that can be changed at run time.
type limiter struct {
	perSecond float64
	bucket    *rate.Limiter // nil: no limit
}

// set changes the rate. An unchanged rate keeps its bucket, so that setting
// some other fault does not refill it.
func (l *limiter) set(perSecond float64) {
	if perSecond == l.perSecond {
		return
	}
	l.perSecond = perSecond
	l.bucket = nil
	if perSecond > 0 {
		burst := int(math.Max(1, math.Ceil(perSecond)))
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
}

func (l *limiter) allow(now time.Time) bool {
	return l.bucket == nil || l.bucket.AllowN(now, 1)
}
