package contract

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Bounds of configured values. They catch mistakes such as a wrong unit or an extra
// digit; each is far above what a deployment needs.
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
	wantName      = "1 to 128 letters, digits, '.', '_', ':' or '-', beginning with a letter or digit"
	wantKeyHash   = "64 lower-case hexadecimal digits (SHA-256 of the key)"
	wantUnique    = "named once"
	wantAttempts  = "1 to 10"
	wantTimeoutMS = "1 to 86400000 (milliseconds)"
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	callPattern    = regexp.MustCompile(`^(\*|[A-Z]+) /[^ ?#]*$`)
)

// ValidName reports whether s is a valid name of a configured object. Names are used in
// URLs, store keys and labels, so only characters that need no escaping there are valid.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}

// ValidKeyHash reports whether h has the form of a HashKey result.
func ValidKeyHash(h KeyHash) bool {
	return keyHashPattern.MatchString(string(h))
}

// Validate checks the fields of the contract, but not whether the models and services it
// names exist. The error is a *ValidationError that lists all invalid fields.
func (c *Contract) Validate() error {
	var errs fieldErrors
	errs.require(ValidName(string(c.Account)), "account", wantName, c.Account)
	errs.checkKeys(c.Keys)
	rate := c.RequestsPerSecond
	errs.require(rate > 0 && rate <= MaxRequestsPerSecond && !math.IsNaN(rate),
		"requests_per_second", "above 0 and at most 1000000", rate)
	errs.require(within(c.Burst, 1, MaxBurst), "burst", "1 to 1000000", c.Burst)
	errs.require(within(c.Concurrency, 1, MaxConcurrency), "concurrency", "1 to 1000000", c.Concurrency)
	errs.require(within(c.Priority, 0, MaxPriority), "priority", "0 (lowest) to 9 (highest)", c.Priority)
	errs.require(within(c.MaxTokens, 1, MaxRequestTokens), "max_tokens", "1 to 100000000", c.MaxTokens)
	errs.require(within(c.DeadlineMS, 1, MaxTimeoutMS), "deadline_ms", wantTimeoutMS, c.DeadlineMS)
	errs.require(len(c.Models)+len(c.Services) > 0, "models",
		"at least one model, or services at least one service", c.Models)
	checkNames(&errs, "models", c.Models)
	checkNames(&errs, "services", c.Services)
	errs.require(within(c.Prepaid, 0, MaxPrepaid), "prepaid", "0 to 1000000000000000", c.Prepaid)
	return errs.errorOrNil("contract", string(c.Account))
}

func (e *fieldErrors) checkKeys(keys []KeyHash) {
	seen := make(map[KeyHash]bool, len(keys))
	for i, hash := range keys {
		field := fmt.Sprintf("keys[%d]", i)
		e.require(ValidKeyHash(hash), field, wantKeyHash, hash)
		e.require(!seen[hash], field, wantUnique, hash)
		seen[hash] = true
	}
}

// Validate checks the fields of the backend server; see Contract.Validate.
func (b *BackendServer) Validate() error {
	var errs fieldErrors
	errs.require(ValidName(string(b.ID)), "id", wantName, b.ID)
	errs.require(ValidName(string(b.FailureDomain)), "failure_domain", wantName, b.FailureDomain)
	address, err := netip.ParseAddrPort(b.Address)
	errs.require(err == nil && address.Port() != 0, "address", "an IP number and port, as 10.0.0.7:8000", b.Address)
	errs.require(b.Kind == KindEngine || b.Kind == KindService, "kind", `"engine" or "service"`, b.Kind)
	checkNames(&errs, "models", b.Models)
	switch b.Kind {
	case KindEngine:
		errs.require(len(b.Models) > 0, "models", "at least one model for an engine", b.Models)
		errs.require(b.Service == "", "service", "empty for an engine", b.Service)
	case KindService:
		errs.require(len(b.Models) == 0, "models", "empty for a service instance", b.Models)
		errs.require(ValidName(string(b.Service)), "service", wantName, b.Service)
	}
	return errs.errorOrNil("backend server", string(b.ID))
}

// Validate checks the fields of the service; see Contract.Validate.
func (s *Service) Validate() error {
	var errs fieldErrors
	errs.require(ValidName(string(s.Name)), "name", wantName, s.Name)
	errs.require(within(s.PricePerCall, 0, MaxPricePerCall), "price_per_call", "0 to 1000000000", s.PricePerCall)
	errs.require(within(s.TimeoutMS, 1, MaxTimeoutMS), "timeout_ms", wantTimeoutMS, s.TimeoutMS)
	for i, call := range s.NonIdempotent {
		errs.require(callPattern.MatchString(call) && !strings.Contains(call, ".."),
			fmt.Sprintf("non_idempotent[%d]", i), `"METHOD /path-prefix" or "* /path-prefix"`, call)
	}
	errs.require(within(s.Attempts, 1, MaxAttempts), "attempts", wantAttempts, s.Attempts)
	return errs.errorOrNil("service", string(s.Name))
}

// Validate checks the fields of the model; see Contract.Validate.
func (m *Model) Validate() error {
	var errs fieldErrors
	errs.require(ValidName(string(m.Name)), "name", wantName, m.Name)
	errs.require(within(m.BytesPerToken, 1, MaxBytesPerToken), "bytes_per_token", "1 to 1024", m.BytesPerToken)
	errs.require(within(m.ContextTokens, 1, MaxRequestTokens), "context_tokens", "1 to 100000000", m.ContextTokens)
	errs.require(within(m.TokensPerEvent, 1, MaxTokensPerEvent), "tokens_per_event", "1 to 1024", m.TokensPerEvent)
	errs.require(within(m.Attempts, 1, MaxAttempts), "attempts", wantAttempts, m.Attempts)
	return errs.errorOrNil("model", string(m.Name))
}

func within[T int | int64 | id.Tokens](value, minimum, maximum T) bool {
	return value >= minimum && value <= maximum
}

func checkNames[T ~string](errs *fieldErrors, field string, names []T) {
	seen := make(map[T]bool, len(names))
	for i, name := range names {
		element := fmt.Sprintf("%s[%d]", field, i)
		errs.require(ValidName(string(name)), element, wantName, name)
		errs.require(!seen[name], element, wantUnique, name)
		seen[name] = true
	}
}
