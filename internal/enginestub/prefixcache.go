package enginestub

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of prompt tokens in a block of the prefix cache.
const blockTokens = 16

// prefixCache simulates the prefix cache of an engine: an LRU cache of prompt blocks.
type prefixCache struct {
	capacity int // blocks
	blocks   map[uint64]*list.Element
	lru      *list.List // of block hashes, most recently used first
}

func newPrefixCache(capacityTokens int) *prefixCache {
	return &prefixCache{
		capacity: capacityTokens / blockTokens,
		blocks:   make(map[uint64]*list.Element),
		lru:      list.New(),
	}
}

// use returns the number of leading blocks that are cached, and then caches all blocks.
func (c *prefixCache) use(hashes []uint64) int {
	if c.capacity == 0 {
		return 0
	}
	hits := 0
	for hits < len(hashes) && c.blocks[hashes[hits]] != nil {
		hits++
	}
	// The first blocks are touched last so that they are evicted last: a later block is useless
	// without the ones before it.
	for i := min(len(hashes), c.capacity) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	return hits
}

func (c *prefixCache) touch(hash uint64) {
	element := c.blocks[hash]
	if element != nil {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.evict()
}

// resize sets the capacity and evicts what no longer fits.
func (c *prefixCache) resize(capacityTokens int) {
	c.capacity = capacityTokens / blockTokens
	c.evict()
}

func (c *prefixCache) evict() {
	for len(c.blocks) > c.capacity {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

// prefixHashes returns a hash for each full block of the prompt. Each hash covers the model, the
// block and all blocks before it.
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
