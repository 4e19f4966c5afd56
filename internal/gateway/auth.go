package gateway

import (
	"strings"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

const (
	bearerScheme = "Bearer "
	maxKeyBytes  = 512
)

// authenticate finds the contract of the caller's key. The key itself goes into
// no log, event, metric or error text.
func authenticate(c *fiber.Ctx, snapshot *core.Snapshot) (*contract.Contract, error) {
	header := c.Get(fiber.HeaderAuthorization)
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
	c.Locals(localAccount, found.Account)
	return found, nil
}

func accountIn(c *fiber.Ctx) id.ClientAccount {
	account, _ := c.Locals(localAccount).(id.ClientAccount)
	return account
}
