package contract

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Bounds of configured values. They catch slips of the pen (a wrong unit, a
// digit too many); each is far beyond what a deployment needs.
const (
	MaxNameBytes         = 128
	MaxRequestsPerSecond = 1e6
	MaxBurst             = 1_000_000
	MaxConcurrency       = 1_000_000
	MaxPriority          = 9
	MaxRequestTokens     = id.Tokens(100_000_000)
	MaxTimeoutMS         = int64(24 * 60 * 60 * 1000)
	MaxBytesPerToken     = 1024
	MaxPricePerCall      = id.Tokens(1_000_000_000)
	MaxPrepaid           = id.Tokens(1_000_000_000_000_000)
	MaxTokensPerEvent    = 1024
	MaxAttempts          = 10
)

const (
	wantName     = "1 to 128 letters, digits, '.', '_', ':' or '-', beginning with a letter or digit"
	wantKeyHash  = "64 lower-case hexadecimal digits (SHA-256 of the key)"
	wantUnique   = "named once"
	wantAttempts = "1 to 10"
	wantWindow   = "1 to 86400000 (milliseconds)"
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	callPattern    = regexp.MustCompile(`^(\*|[A-Z]+) /[^ ?#]*$`)
)

// ValidName tells whether s may name a configured object. Names go into URLs,
// keys of the key-value service and labels, so that no character of them needs
// escaping there.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}

// ValidKeyHash tells whether h has the form that HashKey gives.
func ValidKeyHash(h KeyHash) bool {
	return keyHashPattern.MatchString(string(h))
}

// Validate checks the contract by itself. The error is a *ValidationError that
// lists every fault.
func (c *Contract) Validate() error {
	var f faults
	f.require(ValidName(string(c.Account)), "account", wantName, c.Account)
	f.checkKeys(c.Keys)
	rate := c.RequestsPerSecond
	f.require(rate > 0 && rate <= MaxRequestsPerSecond && !math.IsNaN(rate),
		"requests_per_second", "above 0 and at most 1000000", rate)
	f.require(within(c.Burst, 1, MaxBurst), "burst", "1 to 1000000", c.Burst)
	f.require(within(c.Concurrency, 1, MaxConcurrency), "concurrency", "1 to 1000000", c.Concurrency)
	f.require(within(c.Priority, 0, MaxPriority), "priority", "0 (lowest) to 9 (highest)", c.Priority)
	f.require(within(c.MaxTokens, 1, MaxRequestTokens), "max_tokens", "1 to 100000000", c.MaxTokens)
	f.require(within(c.DeadlineMS, 1, MaxTimeoutMS), "deadline_ms", wantWindow, c.DeadlineMS)
	f.require(len(c.Models)+len(c.Services) > 0, "models",
		"at least one model, or services at least one service", c.Models)
	checkNames(&f, "models", c.Models)
	checkNames(&f, "services", c.Services)
	f.require(within(c.Prepaid, 0, MaxPrepaid), "prepaid", "0 to 1000000000000000", c.Prepaid)
	return f.asError("contract", string(c.Account))
}

func (f *faults) checkKeys(keys []KeyHash) {
	seen := make(map[KeyHash]bool, len(keys))
	for i, hash := range keys {
		field := fmt.Sprintf("keys[%d]", i)
		f.require(ValidKeyHash(hash), field, wantKeyHash, hash)
		f.require(!seen[hash], field, wantUnique, hash)
		seen[hash] = true
	}
}

// Validate checks the backend server by itself; see Contract.Validate.
func (b *BackendServer) Validate() error {
	var f faults
	f.require(ValidName(string(b.ID)), "id", wantName, b.ID)
	f.require(ValidName(string(b.FailureDomain)), "failure_domain", wantName, b.FailureDomain)
	address, err := netip.ParseAddrPort(b.Address)
	f.require(err == nil && address.Port() != 0, "address", "an IP number and port, as 10.0.0.7:8000", b.Address)
	f.require(b.Kind == KindEngine || b.Kind == KindService, "kind", `"engine" or "service"`, b.Kind)
	checkNames(&f, "models", b.Models)
	switch b.Kind {
	case KindEngine:
		f.require(len(b.Models) > 0, "models", "at least one model for an engine", b.Models)
		f.require(b.Service == "", "service", "empty for an engine", b.Service)
	case KindService:
		f.require(len(b.Models) == 0, "models", "empty for a service instance", b.Models)
		f.require(ValidName(string(b.Service)), "service", wantName, b.Service)
	}
	return f.asError("backend server", string(b.ID))
}

// Validate checks the service by itself; see Contract.Validate.
func (s *Service) Validate() error {
	var f faults
	f.require(ValidName(string(s.Name)), "name", wantName, s.Name)
	f.require(within(s.PricePerCall, 0, MaxPricePerCall), "price_per_call", "0 to 1000000000", s.PricePerCall)
	f.require(within(s.TimeoutMS, 1, MaxTimeoutMS), "timeout_ms", wantWindow, s.TimeoutMS)
	for i, call := range s.NonIdempotent {
		f.require(callPattern.MatchString(call) && !strings.Contains(call, ".."),
			fmt.Sprintf("non_idempotent[%d]", i), `"METHOD /path-prefix" or "* /path-prefix"`, call)
	}
	f.require(within(s.Attempts, 1, MaxAttempts), "attempts", wantAttempts, s.Attempts)
	return f.asError("service", string(s.Name))
}

// Validate checks the model by itself; see Contract.Validate.
func (m *Model) Validate() error {
	var f faults
	f.require(ValidName(string(m.Name)), "name", wantName, m.Name)
	f.require(within(m.BytesPerToken, 1, MaxBytesPerToken), "bytes_per_token", "1 to 1024", m.BytesPerToken)
	f.require(within(m.ContextTokens, 1, MaxRequestTokens), "context_tokens", "1 to 100000000", m.ContextTokens)
	f.require(within(m.TokensPerEvent, 1, MaxTokensPerEvent), "tokens_per_event", "1 to 1024", m.TokensPerEvent)
	f.require(within(m.Attempts, 1, MaxAttempts), "attempts", wantAttempts, m.Attempts)
	return f.asError("model", string(m.Name))
}

func within[T int | int64 | id.Tokens](value, least, most T) bool {
	return value >= least && value <= most
}

func checkNames[T ~string](f *faults, field string, names []T) {
	seen := make(map[T]bool, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		f.require(ValidName(string(name)), at, wantName, name)
		f.require(!seen[name], at, wantUnique, name)
		seen[name] = true
	}
}
