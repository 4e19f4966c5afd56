package peers

import (
	"context"

	"chicorytiller.example/chicorytiller/internal/store"
)

// KeepCrashes gives reports of crashes of backend servers to a peer.
func (c *Client) KeepCrashes(ctx context.Context, address string, items []store.Item) error {
	if c.inBackoff(address) {
		return ErrUnreachable
	}
	return c.call(ctx, address, "KeepCrashes", CrashReports{Items: items}, &struct{}{}, ignoreLate)
}
