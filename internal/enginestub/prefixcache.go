package enginestub

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is how many prompt tokens one block of the prefix cache holds.
const blockTokens = 16

// prefixCache remembers which prompt prefixes the engine holds, in blocks, of
// which the least recently used go first.
type prefixCache struct {
	capacity int // blocks
	blocks   map[uint64]*list.Element
	order    *list.List // of block hashes, the latest used in front
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{
		capacity: capacityTokens / blockTokens,
		blocks:   make(map[uint64]*list.Element),
		order:    list.New(),
	}
}

// use returns how many leading blocks are cached, and then caches all blocks.
func (c *prefixCache) use(hashes []uint64) int {
	if c.capacity == 0 {
		return 0
	}
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// The first blocks are touched last: a prefix is of no use without them.
	for i := min(len(hashes), c.capacity) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	return hits
}

func (c *prefixCache) touch(hash uint64) {
	element := c.blocks[hash]
	if element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.order.PushFront(hash)
	if len(c.blocks) <= c.capacity {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.blocks, oldest.Value.(uint64))
}

// prefixHashes gives one hash for each whole block of the prompt. Each covers
// the model and all the blocks before it.
func prefixHashes(model, prompt string, bytesPerToken int) []uint64 {
	blockBytes := blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}
