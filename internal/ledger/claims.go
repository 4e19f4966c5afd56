package ledger

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/claim"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/shardkv"
)

// Claims commits claims of calls that must run at most once. It is safe for
// concurrent use.
type Claims struct {
	store     *shardkv.Store[*claim.Shard]
	retention time.Duration
	now       func() time.Time
}

// NewClaims makes the store of a fixed number of shards.
func NewClaims(kv platform.KV, shards int, retention time.Duration, now func() time.Time) *Claims {
	return &Claims{
		store:     shardkv.New(kv, shards, claim.ShardKey, claim.Decode),
		retention: retention,
		now:       now,
	}
}

// Commit applies ops to one shard and returns the durable entries of their keys.
func (c *Claims) Commit(ctx context.Context, index int, ops []claim.Op) (map[dedup.Key]claim.Entry, error) {
	var entries map[dedup.Key]claim.Entry
	err := c.store.Update(ctx, index, func(content *claim.Shard) bool {
		changed := content.Apply(c.now(), c.retention, ops)
		entries = make(map[dedup.Key]claim.Entry, len(ops))
		for _, op := range ops {
			if entry, found := content.Entries[op.KeyOf()]; found {
				entries[op.KeyOf()] = entry
			}
		}
		return changed
	})
	return entries, err
}
