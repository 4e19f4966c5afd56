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

func goodContract() *Contract {
	return &Contract{
		Account: "register", Keys: []KeyHash{HashKey("a"), HashKey("b")},
		Prepaid:           1000,
		RequestsPerSecond: 10, Burst: 5, Concurrency: 3, Priority: 9,
		Models:    []id.Model{"listing", "drafts"},
		Services:  []id.Service{"lookup", "register"},
		MaxTokens: 100, DeadlineMS: 1000,
	}
}

func TestContractFaultsNameTheirField(t *testing.T) {
	qt.Assert(t, goodContract().Validate(), qt.IsNil)
	cases := []struct {
		field  string
		damage func(c *Contract)
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
		c := goodContract()
		test.damage(c)
		assertFault(t, c.Validate(), test.field)
	}
}

func assertFault(t *testing.T, err error, field string) {
	t.Helper()
	var invalid *ValidationError
	qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%s: %v", field, err))
	for _, fault := range invalid.FieldErrors {
		if fault.Field == field {
			qt.Assert(t, fault.Want, qt.Not(qt.Equals), "")
			return
		}
	}
	t.Fatalf("no fault names %s: %v", field, err)
}

func TestAllFaultsAreListed(t *testing.T) {
	c := goodContract()
	c.Burst, c.Priority, c.MaxTokens = 0, 11, 0
	err := c.Validate()
	for _, field := range []string{"burst", "priority", "max_tokens"} {
		assertFault(t, err, field)
	}
	qt.Assert(t, err, qt.ErrorMatches,
		`contract: contract "register" is invalid: burst must be 1 to 1000000, not 0; .*`)
}

func TestOtherObjectsFaultsNameTheirField(t *testing.T) {
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
	for _, good := range []interface{ Validate() error }{engine(), instance(), service(), model()} {
		qt.Assert(t, good.Validate(), qt.IsNil)
	}
	damagedEngine := func(damage func(*BackendServer)) error { b := engine(); damage(b); return b.Validate() }
	damagedService := func(damage func(*Service)) error { s := service(); damage(s); return s.Validate() }
	damagedModel := func(damage func(*Model)) error { m := model(); damage(m); return m.Validate() }

	assertFault(t, damagedEngine(func(b *BackendServer) { b.ID = "" }), "id")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Kind = "gpu" }), "kind")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Address = "engine.local:80" }), "address")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Address = "10.0.0.1:0" }), "address")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.FailureDomain = "" }), "failure_domain")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Models = nil }), "models")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Models = []id.Model{"a", "a"} }), "models[1]")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Service = "s" }), "service")
	assertFault(t, damagedEngine(func(b *BackendServer) { b.Kind = KindService }), "service")
	assertFault(t, damagedService(func(s *Service) { s.Name = "" }), "name")
	assertFault(t, damagedService(func(s *Service) { s.NonIdempotent[1] = "orders" }), "non_idempotent[1]")
	assertFault(t, damagedService(func(s *Service) { s.PricePerCall = -1 }), "price_per_call")
	assertFault(t, damagedService(func(s *Service) { s.TimeoutMS = 0 }), "timeout_ms")
	assertFault(t, damagedService(func(s *Service) { s.Attempts = 0 }), "attempts")
	assertFault(t, damagedModel(func(m *Model) { m.Attempts = 11 }), "attempts")
	assertFault(t, damagedModel(func(m *Model) { m.TokensPerEvent = 0 }), "tokens_per_event")
	assertFault(t, damagedModel(func(m *Model) { m.Name = "" }), "name")
	assertFault(t, damagedModel(func(m *Model) { m.BytesPerToken = 0 }), "bytes_per_token")
	assertFault(t, damagedModel(func(m *Model) { m.ContextTokens = 0 }), "context_tokens")
}

// Guards against a call run twice because its path is written in another way.
func TestNonIdempotentInEveryWriting(t *testing.T) {
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
	plain, hash, err := GenerateKey(bytes.NewReader(bytes.Repeat([]byte{7}, keyBytes)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hash, qt.Equals, HashKey(plain))
	qt.Assert(t, ValidKeyHash(hash), qt.IsTrue)
	qt.Assert(t, strings.HasPrefix(plain, keyPrefix), qt.IsTrue)
	_, _, err = GenerateKey(bytes.NewReader(nil))
	qt.Assert(t, err, qt.IsNotNil)
}
