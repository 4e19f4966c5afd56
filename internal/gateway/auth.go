package gateway

import (
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

const (
	bearerScheme = "Bearer "
	maxKeyBytes  = 512
	// unknownBodyLimit is the largest body in bytes that is read without a known key.
	unknownBodyLimit = 4 << 10
)

// authenticate finds the contract of the caller's key. The key itself goes into
// no log, event, metric or error text.
func authenticate(c *fiber.Ctx, snapshot *core.Snapshot) (*contract.Contract, error) {
	found, err := contractOf(c.Get(fiber.HeaderAuthorization), snapshot)
	if err != nil {
		return nil, err
	}
	c.Locals(localAccount, found.Account)
	return found, nil
}

// contractOf finds the contract by the header Authorization.
func contractOf(header string, snapshot *core.Snapshot) (*contract.Contract, error) {
	if len(header) < len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return nil, refuse(core.CauseBadKey, "", "the header Authorization: Bearer KEY is missing")
	}
	key := strings.TrimSpace(header[len(bearerScheme):])
	if key == "" || len(key) > maxKeyBytes {
		return nil, refuse(core.CauseBadKey, "", "the key is not known")
	}
	found, ok := snapshot.ByKey[contract.HashKey(key)]
	if !ok {
		return nil, refuse(core.CauseBadKey, "", "the key is not known")
	}
	return found, nil
}

// boundBody is asked by the HTTP library when it has a request's headers.
//
// Failure: the library reads a whole body before any handler runs. Those who have no
// key could fill the memory with bodies on all connections that the listener takes.
// Without a known key a body over unknownBodyLimit is refused unread; writeError then
// tells the true reason. A smaller one is read, so that the connection can be kept.
func (s *Server) boundBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if length := header.ContentLength(); length >= 0 && length <= unknownBodyLimit {
		return fasthttp.RequestConfig{}
	}
	if _, err := contractOf(string(header.Peek(fiber.HeaderAuthorization)), s.gate.Snapshot()); err == nil {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: unknownBodyLimit}
}

func accountIn(c *fiber.Ctx) id.ClientAccount {
	account, _ := c.Locals(localAccount).(id.ClientAccount)
	return account
}
