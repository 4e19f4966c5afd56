package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// HeadKey is the key whose compare-and-swap accepts a change.
const HeadKey = "config/head"

// DefaultShards is the number of snapshot shards of a new configuration.
const DefaultShards = 64

// maxShards bounds what a decoded head may claim.
const maxShards = 1024

// formatVersion is the version of the encoding of heads and shards.
const formatVersion = 1

// Head is the value of HeadKey.
type Head struct {
	Version  int         `msgpack:"v"`
	Revision id.Revision `msgpack:"r"`
	// Folded is the newest revision that is in the shards and not in Log.
	Folded id.Revision `msgpack:"f"`
	// ShardRevisions holds, for each shard, the newest revision folded into it,
	// so that a reader who fell behind reads only the shards that changed. Its
	// length is the number of shards, fixed when the head is created.
	ShardRevisions []id.Revision `msgpack:"s"`
	// Recent names the newest folded changes, so that a change whose answer was
	// lost is still found after it left the log. Oldest first.
	Recent []FoldedChange `msgpack:"i"`
	// Log holds the changes Folded+1 .. Revision in order.
	Log []Entry `msgpack:"l"`
}

// maxRecent bounds Head.Recent. At 5,900 changes a day it spans an hour.
const maxRecent = 256

// FoldedChange remembers a change that is no longer in the log.
type FoldedChange struct {
	Revision id.Revision `msgpack:"r"`
	Digest   []byte      `msgpack:"d"` // of the ChangeID
	Content  uint64      `msgpack:"c"` // tells another change under the same ChangeID
}

// contentHash is a hash of what a change does.
func contentHash(key Key, deleted bool, body json.RawMessage) uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%s/%s/%t/", key.Kind, key.Name, deleted)
	_, _ = hash.Write(body)
	return hash.Sum64()
}

const digestBytes = 16

// changeDigest is the first half of a SHA-256 sum: short, and still beyond
// collisions among operators' change ids.
func changeDigest(changeID string) []byte {
	sum := sha256.Sum256([]byte(changeID))
	return sum[:digestBytes]
}

// NewHead is the head of an empty configuration.
func NewHead(shards int) *Head {
	return &Head{Version: formatVersion, ShardRevisions: make([]id.Revision, shards)}
}

// EncodeHead gives the bytes of a head.
func EncodeHead(h *Head) ([]byte, error) {
	data, err := codec.Marshal(h)
	return data, errors.Wrap(err, "config: encode head")
}

// DecodeHead reads the bytes of a head and checks that they are coherent. The
// error wraps ErrMalformed.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if err := decode(data, h); err != nil {
		return nil, err
	}
	if err := h.check(); err != nil {
		return nil, err
	}
	for i := range h.Log {
		h.Log[i].At = h.Log[i].At.UTC()
	}
	return h, nil
}

// decode decodes a value of the key-value service, all of it, into target.
func decode(data []byte, target any) error {
	if err := codec.Unmarshal(data, target, platform.MaxValueBytes); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func (h *Head) check() error {
	if h.Version != formatVersion {
		return errors.Wrapf(ErrMalformed, "head has format version %d, this program reads %d", h.Version, formatVersion)
	}
	shards := len(h.ShardRevisions)
	if shards < 1 || shards > maxShards {
		return errors.Wrapf(ErrMalformed, "head has %d shards, not 1 to %d", shards, maxShards)
	}
	for _, revision := range h.ShardRevisions {
		if revision > h.Folded {
			return errors.Wrapf(ErrMalformed, "shard revision %d is past the folded revision %d", revision, h.Folded)
		}
	}
	if err := h.checkRecent(); err != nil {
		return err
	}
	next := h.Folded + 1
	for i := range h.Log {
		if err := h.Log[i].check(next); err != nil {
			return err
		}
		next++
	}
	if h.Revision != next-1 {
		return errors.Wrapf(ErrMalformed, "head's revision is %d but its log ends at %d", h.Revision, next-1)
	}
	return nil
}

func (h *Head) checkRecent() error {
	count := len(h.Recent)
	if count > maxRecent || id.Revision(count) > h.Folded {
		return errors.Wrapf(ErrMalformed, "head remembers %d of %d folded changes", count, h.Folded)
	}
	next := h.remembersFrom()
	for _, folded := range h.Recent {
		if folded.Revision != next || len(folded.Digest) != digestBytes {
			return errors.Wrapf(ErrMalformed, "head remembers revision %d where %d belongs", folded.Revision, next)
		}
		next++
	}
	return nil
}

func (e *Entry) check(want id.Revision) error {
	if e.Revision != want {
		return errors.Wrapf(ErrMalformed, "log has revision %d where %d belongs", e.Revision, want)
	}
	if e.Previous >= e.Revision {
		return errors.Wrapf(ErrMalformed, "entry %d follows the later revision %d", e.Revision, e.Previous)
	}
	if !slices.Contains(Kinds, e.Kind) || !contract.ValidName(e.Name) {
		return errors.Wrapf(ErrMalformed, "entry %d is about %q %q", e.Revision, e.Kind, e.Name)
	}
	return nil
}

func (h *Head) shardCount() int { return len(h.ShardRevisions) }

// findFolded gives the change id's entry among the folded changes, or nil.
func (h *Head) findFolded(changeID string) *FoldedChange {
	digest := changeDigest(changeID)
	for i := range h.Recent {
		if bytes.Equal(h.Recent[i].Digest, digest) {
			return &h.Recent[i]
		}
	}
	return nil
}

// accepted gives the revision under which a change id was accepted and the hash
// of what it did; false when the head knows of none.
func (h *Head) accepted(changeID string) (id.Revision, uint64, bool) {
	if e := h.find(changeID); e != nil {
		return e.Revision, contentHash(e.Key(), e.Deleted, e.Body), true
	}
	if folded := h.findFolded(changeID); folded != nil {
		return folded.Revision, folded.Content, true
	}
	return 0, 0, false
}

// remembersFrom is the oldest revision whose change id the head still knows.
func (h *Head) remembersFrom() id.Revision {
	return h.Folded + 1 - id.Revision(len(h.Recent))
}

// find gives the log's entry of a change id, or nil.
func (h *Head) find(changeID string) *Entry {
	for i := range h.Log {
		if h.Log[i].ChangeID == changeID {
			return &h.Log[i]
		}
	}
	return nil
}

// lastOf gives the log's last entry about an object, or nil.
func (h *Head) lastOf(key Key) *Entry {
	for i := len(h.Log) - 1; i >= 0; i-- {
		if h.Log[i].Key() == key {
			return &h.Log[i]
		}
	}
	return nil
}

// withEntry gives a new head with one more change.
func (h *Head) withEntry(e Entry) *Head {
	next := *h
	next.Revision = e.Revision
	next.Log = append(slices.Clip(h.Log), e)
	return &next
}

// withoutFolded gives a new head whose log begins after revision through, and
// whose shard revisions are raised to the entries left out.
func (h *Head) withoutFolded(through id.Revision) *Head {
	next := *h
	next.ShardRevisions = slices.Clone(h.ShardRevisions)
	count := int(through - h.Folded)
	recent := slices.Clone(h.Recent)
	for _, e := range h.Log[:count] {
		next.ShardRevisions[shardOf(e.Key(), h.shardCount())] = e.Revision
		recent = append(recent, FoldedChange{Revision: e.Revision,
			Digest: changeDigest(e.ChangeID), Content: contentHash(e.Key(), e.Deleted, e.Body)})
	}
	next.Recent = recent[max(0, len(recent)-maxRecent):]
	next.Folded = through
	next.Log = slices.Clone(h.Log[count:])
	return &next
}

// shardOf gives the snapshot shard in which an object is kept.
func shardOf(key Key, shards int) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(key.Kind))
	_, _ = sum.Write([]byte{'/'})
	_, _ = sum.Write([]byte(key.Name))
	return int(sum.Sum32() % uint32(shards))
}

// shardKey is the key of a snapshot shard.
func shardKey(shard int) string {
	return fmt.Sprintf("config/snap/%03d", shard)
}
