// Package request defines a caller's request as the router handles it, independent of the API
// that it arrived on.
package request

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/policy"
)

// HeaderField is a header field that is forwarded unchanged.
type HeaderField struct {
	Name  string
	Value string
}

// PromptPart is one part of a prompt. Requests may share leading parts; backend servers cache the
// parts that they have processed.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request with its whole body.
type Request struct {
	ID         string // new for each attempt of the caller; chosen by the caller or generated
	Method     string
	Host       string
	RequestURI string // path and query, as sent
	Path       string // path of RequestURI
	Headers    []HeaderField
	Body       []byte
	APIKey     string // empty if the caller sent none

	Arrived time.Time
	// Timeout is how long the caller waits after Arrived; zero if not stated.
	Timeout time.Duration

	// HasTokenUsage is set if PromptTokens and MaxOutputTokens are known.
	HasTokenUsage   bool
	PromptTokens    int
	MaxOutputTokens int
	PromptParts     []PromptPart

	// ResumeAfter is the ID of the last event that the caller has received, if HasResume is set.
	ResumeAfter int64
	HasResume   bool
	// Resumes is the ID of the caller's attempt that brought the first event of the stream to be
	// resumed; empty if the caller doesn't name it.
	Resumes string

	// Idempotency is set if all requests of the account with the same idempotency key should have
	// one run and one answer.
	Idempotency *Idempotency

	// Account, Route and Service are set by the router.
	Account *policy.Account
	Route   *policy.Route
	Service string
	// TokensPerEvent is the maximum number of tokens in one event of a stream, set by the router.
	TokensPerEvent int
	// StreamVersion is the version of the servers' software at which the stream began, set by the
	// router once HasStreamVersion is true: when it has found the stream that the request resumes, or
	// when it relays the first event of a new one.
	StreamVersion    string
	HasStreamVersion bool
}

// SetStreamVersion binds the stream to a version.
func (r *Request) SetStreamVersion(version string) {
	r.StreamVersion, r.HasStreamVersion = version, true
}

// StreamID returns the ID of the attempt that brought the stream's first event, or "" if the caller
// resumes a stream and doesn't name it.
func (r *Request) StreamID() string {
	if r.HasResume || r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// Idempotency identifies the repeats of a request.
type Idempotency struct {
	Key         string
	RequestHash string // hash of the request; a key may not be reused for another one
}

// MaxTokens returns the maximum number of tokens that the request can consume.
func (r *Request) MaxTokens() int64 {
	return int64(r.PromptTokens) + int64(r.MaxOutputTokens)
}

// SharedTokens returns the number of prompt tokens that other requests may share: those of all
// parts but the last, which is the request's own.
func (r *Request) SharedTokens() int {
	sum := 0
	for i := 0; i < len(r.PromptParts)-1; i++ {
		sum += r.PromptParts[i].Tokens
	}
	return sum
}

// SharedPartIDs returns the IDs of the prompt parts that other requests may share.
func (r *Request) SharedPartIDs() []string {
	var ids []string
	for i := 0; i < len(r.PromptParts)-1; i++ {
		ids = append(ids, r.PromptParts[i].ID)
	}
	return ids
}

// LastSharedPartID returns the ID of the last part that other requests may share, or "" if there
// is none.
func (r *Request) LastSharedPartID() string {
	if len(r.PromptParts) < 2 {
		return ""
	}
	return r.PromptParts[len(r.PromptParts)-2].ID
}

// Priority returns the account's priority if it has one, else the route's. 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}
