// Package request holds one caller's request as the router works on it, free of
// the names that it had on the wire.
package request

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/policy"
)

// HeaderField is a header field that is passed on as it came.
type HeaderField struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt. Requests share parts; backend servers keep what they have
// read of them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request, read whole.
type Request struct {
	ID      string // chosen by the caller, one for each of its attempts
	Method  string
	Host    string
	Target  string // path and query, as sent
	Path    string // the target's path
	Headers []HeaderField
	Body    []byte
	// Key is the caller's API key; empty if it sent none.
	Key string

	Arrived time.Time
	// Timeout is how long the caller waits from Arrived on; zero if it didn't say.
	Timeout time.Duration

	// HasTokenUsage says that PromptTokens and OutputTokens were given.
	HasTokenUsage   bool
	PromptTokens    int
	MaxOutputTokens int // at most
	PromptParts     []PromptPart

	// ResumeAfter is the id of the last event that the caller has, if HasResume.
	ResumeAfter int64
	HasResume   bool

	// Idempotency is set if the caller wants one run and one answer for all its requests that
	// carry the same key.
	Idempotency *Idempotency

	// Account and Route are found by the router.
	Account *policy.Account
	Route   *policy.Route
	Service string
}

// Idempotency is what a caller sent for its repeats to be told from new requests.
type Idempotency struct {
	Key         string
	RequestHash string // of what was asked: a key belongs to one request
}

// MaxTokens is the most tokens that the request can consume.
func (r *Request) MaxTokens() int64 {
	return int64(r.PromptTokens) + int64(r.MaxOutputTokens)
}

// SharedTokens is the prompt tokens that other requests may share: all parts but
// the last, which is the request's own.
func (r *Request) SharedTokens() int {
	sum := 0
	for i := 0; i < len(r.PromptParts)-1; i++ {
		sum += r.PromptParts[i].Tokens
	}
	return sum
}

// LastSharedPartID is the last part that other requests may share, empty if none.
func (r *Request) LastSharedPartID() string {
	if len(r.PromptParts) < 2 {
		return ""
	}
	return r.PromptParts[len(r.PromptParts)-2].ID
}

// Priority is the rank of the request: the account's, if it has one, else the route's.
func (r *Request) Priority() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}
