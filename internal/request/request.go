// Package request holds one caller's request as the router works on it, free of
// the names that it had on the wire.
package request

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/policy"
)

// Field is a header field that is passed on as it came.
type Field struct {
	Name  string
	Value string
}

// Part is one part of a prompt. Requests share parts; backend servers keep what they have
// read of them.
type Part struct {
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
	Headers []Field
	Body    []byte
	// Key is the caller's API key; empty if it sent none.
	Key string

	Arrived time.Time
	// Left is how long the caller waits from Arrived on; zero if it didn't say.
	Left time.Duration

	// HasUsage says that PromptTokens and OutputTokens were given.
	HasUsage     bool
	PromptTokens int
	OutputTokens int // at most
	Parts        []Part

	// ResumeAfter is the id of the last event that the caller has, if HasResume.
	ResumeAfter int64
	HasResume   bool

	// Once is set if the caller wants one run and one answer for all its requests that
	// carry the same key.
	Once *Once

	// Account and Route are found by the router.
	Account *policy.Account
	Route   *policy.Route
	Service string
}

// Once is what a caller sent for its repeats to be told from new requests.
type Once struct {
	Key  string
	Hash string // of what was asked: a key belongs to one request
}

// Cost is the most tokens that the request can consume.
func (r *Request) Cost() int64 {
	return int64(r.PromptTokens) + int64(r.OutputTokens)
}

// SharedTokens is the prompt tokens that other requests may share: all parts but
// the last, which is the request's own.
func (r *Request) SharedTokens() int {
	sum := 0
	for i := 0; i < len(r.Parts)-1; i++ {
		sum += r.Parts[i].Tokens
	}
	return sum
}

// SharedPart is the last part that other requests may share, empty if none.
func (r *Request) SharedPart() string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}

// Urgency is the rank of the request: the account's, if it has one, else the route's.
func (r *Request) Urgency() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}
