// Package contract holds what operators configure: one contract for a client
// account, the backend servers, the plain services and the models.
// Every limit, priority and allowance of an account is derived from its contract.
package contract

import (
	"chicorytiller.example/chicorytiller/internal/id"
)

// Contract is all that a client account may do.
type Contract struct {
	Account           id.ClientAccount `json:"account"`
	Keys              []KeyHash        `json:"keys"`
	Prepaid           id.Tokens        `json:"prepaid"`             // tokens that the account may consume in all
	Payments          []string         `json:"payments"`            // ids of those that are in Prepaid, the newest last
	RequestsPerSecond float64          `json:"requests_per_second"` // over the whole fleet
	Burst             int              `json:"burst"`
	Concurrency       int              `json:"concurrency"` // requests in flight over the whole fleet
	Priority          int              `json:"priority"`    // 0 lowest .. 9 highest
	Models            []id.Model       `json:"models"`
	Services          []id.Service     `json:"services"`
	MaxTokens         id.Tokens        `json:"max_tokens"`  // output cap of one request
	DeadlineMS        int64            `json:"deadline_ms"` // window within which an answer counts
}

// KeyHash is a caller's key as the fleet keeps it: lower-case hex SHA-256.
// Keys are long random strings, so that an unsalted hash gives nothing away.
type KeyHash string

// BackendKind tells engines from plain services.
type BackendKind string

// Kinds of backend servers.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// BackendServer is one engine or one instance of a plain service.
type BackendServer struct {
	ID            id.Backend       `json:"id"`
	Kind          BackendKind      `json:"kind"`
	Address       string           `json:"address"` // "IP:port"
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Models        []id.Model       `json:"models"`  // of an engine
	Service       id.Service       `json:"service"` // of a service instance
	Leaving       bool             `json:"leaving"`
}

// Service is a plain service that the fleet routes to.
type Service struct {
	Name id.Service `json:"name"`
	// NonIdempotent lists "METHOD /path-prefix" of the calls that must not be repeated.
	NonIdempotent []string `json:"non_idempotent"`
	// PricePerCall is what one call draws from the budget.
	PricePerCall id.Tokens `json:"price_per_call"`
	TimeoutMS    int64     `json:"timeout_ms"`
	// Attempts is the most instances that one call may be sent to.
	Attempts int `json:"attempts"`
}

// Model is a model that engines serve.
type Model struct {
	Name id.Model `json:"name"`
	// BytesPerToken is the least number of bytes of message content that make a
	// token, so that ceil(bytes/BytesPerToken) bounds a prompt's tokens from above.
	BytesPerToken int       `json:"bytes_per_token"`
	ContextTokens id.Tokens `json:"context_tokens"`
	// TokensPerEvent is the most tokens that one event of a stream holds.
	TokensPerEvent int `json:"tokens_per_event"`
	// Attempts is the most engines that one request may be sent to.
	Attempts int `json:"attempts"`
}
