// Package contract defines the objects that operators configure: contracts of client
// accounts, backend servers, plain HTTP services and models. All limits, priorities and
// token budgets of an account are derived from its contract.
package contract

import (
	"chicorytiller.example/chicorytiller/internal/id"
)

// Contract defines what a client account may use, and how much of it.
type Contract struct {
	Account           id.ClientAccount `json:"account"`
	Keys              []KeyHash        `json:"keys"`
	Prepaid           id.Tokens        `json:"prepaid"`             // total tokens the account may consume
	Payments          []string         `json:"payments"`            // IDs of the payments included in Prepaid, newest last
	RequestsPerSecond float64          `json:"requests_per_second"` // over all routers
	Burst             int              `json:"burst"`
	Concurrency       int              `json:"concurrency"` // requests in flight over all routers
	Priority          int              `json:"priority"`    // 0 (lowest) to 9 (highest)
	Models            []id.Model       `json:"models"`
	Services          []id.Service     `json:"services"`
	MaxTokens         id.Tokens        `json:"max_tokens"`  // maximum output tokens of one request
	DeadlineMS        int64            `json:"deadline_ms"` // time limit for an answer, from the arrival of its request
}

// KeyHash is the stored form of an API key: its SHA-256 in lower-case hexadecimal.
// Keys are long random strings, so an unsalted hash doesn't reveal them.
type KeyHash string

// BackendKind is the kind of a backend server.
type BackendKind string

const (
	KindEngine  BackendKind = "engine"  // serves models
	KindService BackendKind = "service" // instance of a plain service
)

// BackendServer is an engine or an instance of a plain service.
type BackendServer struct {
	ID            id.Backend       `json:"id"`
	Kind          BackendKind      `json:"kind"`
	Address       string           `json:"address"` // "IP:port"
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Models        []id.Model       `json:"models"`  // engines only
	Service       id.Service       `json:"service"` // service instances only
	Leaving       bool             `json:"leaving"` // gets no new requests
	// Version is that of the server's software. A stream goes on only at servers of the version at
	// which it began.
	Version string `json:"version,omitempty"`
}

// Service is a plain HTTP service.
type Service struct {
	Name id.Service `json:"name"`
	// NonIdempotent lists the calls that must run at most once, each as "METHOD /path-prefix".
	NonIdempotent []string `json:"non_idempotent"`
	// PricePerCall is the number of tokens charged for one call.
	PricePerCall id.Tokens `json:"price_per_call"`
	TimeoutMS    int64     `json:"timeout_ms"`
	// Attempts is the maximum number of instances that one call is sent to.
	Attempts int `json:"attempts"`
}

// Model is a model that engines serve.
type Model struct {
	Name id.Model `json:"name"`
	// BytesPerToken is the minimum number of bytes of message content per token:
	// ceil(bytes/BytesPerToken) is an upper bound of a prompt's tokens.
	BytesPerToken int       `json:"bytes_per_token"`
	ContextTokens id.Tokens `json:"context_tokens"`
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent int `json:"tokens_per_event"`
	// Attempts is the maximum number of engines that one request is sent to.
	Attempts int `json:"attempts"`
}
