package contract

import (
	"bytes"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

func validContract() *Contract {
	return &Contract{
		Account: "register", Keys: []KeyHash{HashKey("a"), HashKey("b")},
		Prepaid:           1000,
		RequestsPerSecond: 10, Burst: 5, Concurrency: 3, Priority: 9,
		Models:    []id.Model{"listing", "drafts"},
		Services:  []id.Service{"lookup", "register"},
		MaxTokens: 100, DeadlineMS: 1000,
	}
}

func TestContractValidationNamesField(t *testing.T) {
	qt.Assert(t, validContract().Validate(), qt.IsNil)
	cases := []struct {
		field  string
		modify func(c *Contract)
	}{
		{"account", func(c *Contract) { c.Account = "a/b" }},
		{"keys[1]", func(c *Contract) { c.Keys[1] = "plain" }},
		{"keys[1]", func(c *Contract) { c.Keys[1] = c.Keys[0] }},
		{"prepaid", func(c *Contract) { c.Prepaid = -1 }},
		{"prepaid", func(c *Contract) { c.Prepaid = MaxPrepaid + 1 }},
		{"requests_per_second", func(c *Contract) { c.RequestsPerSecond = 0 }},
		{"requests_per_second", func(c *Contract) { c.RequestsPerSecond = math.NaN() }},
		{"requests_per_second", func(c *Contract) { c.RequestsPerSecond = math.Inf(1) }},
		{"burst", func(c *Contract) { c.Burst = 0 }},
		{"concurrency", func(c *Contract) { c.Concurrency = -1 }},
		{"priority", func(c *Contract) { c.Priority = 10 }},
		{"models", func(c *Contract) { c.Models, c.Services = nil, nil }},
		{"models[0]", func(c *Contract) { c.Models[0] = "" }},
		{"services[1]", func(c *Contract) { c.Services[1] = "lookup" }},
		{"max_tokens", func(c *Contract) { c.MaxTokens = math.MaxInt64 }},
		{"deadline_ms", func(c *Contract) { c.DeadlineMS = 0 }},
	}
	for _, test := range cases {
		c := validContract()
		test.modify(c)
		assertFieldError(t, c.Validate(), test.field)
	}
}

func assertFieldError(t *testing.T, err error, field string) {
	t.Helper()
	var invalid *ValidationError
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s: %v", field, err))
	for _, fieldErr := range invalid.FieldErrors {
		if fieldErr.Field == field {
			qt.Assert(t, fieldErr.Want, qt.Not(qt.Equals), "")
			return
		}
	}
	t.Fatalf("no field error names %s: %v", field, err)
}

func TestValidationListsAllFieldErrors(t *testing.T) {
	c := validContract()
	c.Burst, c.Priority, c.MaxTokens = 0, 11, 0
	err := c.Validate()
	for _, field := range []string{"burst", "priority", "max_tokens"} {
		assertFieldError(t, err, field)
	}
	qt.Assert(t, err, qt.ErrorMatches,
		`contract: contract "register" is invalid: burst must be 1 to 1000000, not 0; .*`)
}

func TestOtherObjectsValidationNamesField(t *testing.T) {
	engine := func() *BackendServer {
		return &BackendServer{ID: "e1", Kind: KindEngine, Address: "10.0.0.1:80",
			FailureDomain: "karlin", Models: []id.Model{"listing"}}
	}
	instance := func() *BackendServer {
		return &BackendServer{ID: "s1", Kind: KindService, Address: "[::1]:80",
			FailureDomain: "karlin", Service: "register"}
	}
	service := func() *Service {
		return &Service{Name: "s", NonIdempotent: []string{"POST /orders", "* /"}, TimeoutMS: 1, Attempts: 1}
	}
	model := func() *Model {
		return &Model{Name: "m", BytesPerToken: 1, ContextTokens: 1, TokensPerEvent: 1, Attempts: 1}
	}
	for _, valid := range []interface{ Validate() error }{engine(), instance(), service(), model()} {
		qt.Assert(t, valid.Validate(), qt.IsNil)
	}
	validateEngine := func(modify func(*BackendServer)) error { b := engine(); modify(b); return b.Validate() }
	validateService := func(modify func(*Service)) error { s := service(); modify(s); return s.Validate() }
	validateModel := func(modify func(*Model)) error { m := model(); modify(m); return m.Validate() }

	assertFieldError(t, validateEngine(func(b *BackendServer) { b.ID = "" }), "id")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Kind = "gpu" }), "kind")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Address = "engine.local:80" }), "address")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Address = "10.0.0.1:0" }), "address")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.FailureDomain = "" }), "failure_domain")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Models = nil }), "models")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Models = []id.Model{"a", "a"} }), "models[1]")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Service = "s" }), "service")
	assertFieldError(t, validateEngine(func(b *BackendServer) { b.Kind = KindService }), "service")
	assertFieldError(t, validateService(func(s *Service) { s.Name = "" }), "name")
	assertFieldError(t, validateService(func(s *Service) { s.NonIdempotent[1] = "orders" }), "non_idempotent[1]")
	assertFieldError(t, validateService(func(s *Service) { s.PricePerCall = -1 }), "price_per_call")
	assertFieldError(t, validateService(func(s *Service) { s.TimeoutMS = 0 }), "timeout_ms")
	assertFieldError(t, validateService(func(s *Service) { s.Attempts = 0 }), "attempts")
	assertFieldError(t, validateModel(func(m *Model) { m.Attempts = 11 }), "attempts")
	assertFieldError(t, validateModel(func(m *Model) { m.TokensPerEvent = 0 }), "tokens_per_event")
	assertFieldError(t, validateModel(func(m *Model) { m.Name = "" }), "name")
	assertFieldError(t, validateModel(func(m *Model) { m.BytesPerToken = 0 }), "bytes_per_token")
	assertFieldError(t, validateModel(func(m *Model) { m.ContextTokens = 0 }), "context_tokens")
}

// A call must not run twice because its path is written in another way.
func TestIsNonIdempotentMatchesEquivalentPaths(t *testing.T) {
	s := &Service{NonIdempotent: []string{"POST /orders", "* /confirm/"}}
	for _, path := range []string{"/orders", "/orders/7", "//orders", "/x/../orders", "/%6frders", "/orders?a=b",
		"/x%2f..%2forders", "orders", "/./orders#x"} {
		qt.Check(t, s.IsNonIdempotent("POST", path), qt.IsTrue, qt.Commentf(path))
		qt.Check(t, s.IsNonIdempotent("post", path), qt.IsTrue, qt.Commentf(path))
		qt.Check(t, s.IsNonIdempotent("GET", path), qt.IsFalse, qt.Commentf(path))
	}
	qt.Check(t, s.IsNonIdempotent("GET", "/confirm/9"), qt.IsTrue)
	qt.Check(t, s.IsNonIdempotent("POST", "/lookup?next=/orders"), qt.IsFalse)
}

func TestGenerateKey(t *testing.T) {
	key, hash, err := GenerateKey(bytes.NewReader(bytes.Repeat([]byte{7}, keyBytes)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hash, qt.Equals, HashKey(key))
	qt.Assert(t, ValidKeyHash(hash), qt.IsTrue)
	qt.Assert(t, strings.HasPrefix(key, keyPrefix), qt.IsTrue)
	_, _, err = GenerateKey(bytes.NewReader(nil))
	qt.Assert(t, err, qt.IsNotNil)
}
