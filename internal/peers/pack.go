package peers

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// minPackBytes is the size from which an answer is compressed. A configuration of a few
	// hundred KB would occupy the link of a small VM for longer than its reader waits.
	minPackBytes = 8 << 10
	// maxCachedPacks is how many compressed answers are cached: many followers ask for the same
	// content.
	maxCachedPacks = 4
	// maxUnpackedBytes bounds the decompressed size of an answer.
	maxUnpackedBytes = 64 << 20
)

// ErrCorruptAnswer: a compressed answer can't be decompressed or decoded.
var ErrCorruptAnswer = errors.New("peers: compressed answer is corrupt")

// Packed contains the items or changes of a FollowAnswer in compressed form.
type Packed struct {
	Data []byte
	// Digest is the xxHash of Data.
	Digest uint64
}

// packedContent is the decompressed content of a Packed.
type packedContent struct {
	Items  []store.Item
	Events []store.Event
}

// packer compresses answers. It is safe for concurrent use.
type packer struct {
	mu    sync.Mutex
	cache []cachedPack // oldest first
}

type cachedPack struct {
	contentSum uint64
	packed     Packed
}

// pack compresses an answer of minPackBytes or more in place.
func (p *packer) pack(answer *FollowAnswer) error {
	content := packedContent{Items: answer.Snapshot.Items, Events: answer.Changes.Events}
	size, sum := content.sizeAndSum()
	if size < minPackBytes {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	packed, found := p.lookup(sum)
	if !found {
		var err error
		if packed, err = content.pack(); err != nil {
			return err
		}
		p.add(cachedPack{contentSum: sum, packed: packed})
	}
	answer.Packed = packed
	answer.Snapshot.Items, answer.Changes.Events = nil, nil
	return nil
}

func (p *packer) lookup(sum uint64) (Packed, bool) {
	for _, c := range p.cache {
		if c.contentSum == sum {
			return c.packed, true
		}
	}
	return Packed{}, false
}

func (p *packer) add(c cachedPack) {
	p.cache = append(p.cache, c)
	if len(p.cache) > maxCachedPacks {
		p.cache = p.cache[1:]
	}
}

// sizeAndSum returns the size in bytes and a hash of the content. Values are not hashed: an item
// does not change without a new revision.
func (c packedContent) sizeAndSum() (size int, sum uint64) {
	h := xxhash.New()
	add := func(item store.Item, deleted byte) {
		size += len(item.Key) + len(item.Value)
		_, _ = h.WriteString(item.Key) // never fails
		_, _ = h.Write([]byte{deleted, byte(item.Revision), byte(item.Revision >> 8), byte(item.Revision >> 16), byte(item.Revision >> 24),
			byte(item.Revision >> 32), byte(item.Revision >> 40), byte(item.Revision >> 48), byte(item.Revision >> 56)})
	}
	for _, item := range c.Items {
		add(item, 0)
	}
	_, _ = h.Write([]byte{'|'})
	for _, e := range c.Events {
		deleted := byte(0)
		if e.Deleted {
			deleted = 1
		}
		add(e.Item, deleted)
	}
	return size, h.Sum64()
}

func (c packedContent) pack() (Packed, error) {
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return Packed{}, errors.Wrap(err, "peers: compress")
	}
	if err := gob.NewEncoder(w).Encode(c); err != nil {
		return Packed{}, errors.Wrap(err, "peers: compress")
	}
	if err := w.Close(); err != nil {
		return Packed{}, errors.Wrap(err, "peers: compress")
	}
	return Packed{Data: data.Bytes(), Digest: xxhash.Sum64(data.Bytes())}, nil
}

// unpack decompresses an answer in place.
func (a *FollowAnswer) unpack() error {
	if len(a.Packed.Data) == 0 {
		return nil
	}
	if xxhash.Sum64(a.Packed.Data) != a.Packed.Digest {
		return errors.Wrap(ErrCorruptAnswer, "digest")
	}
	content := packedContent{}
	r := flate.NewReader(bytes.NewReader(a.Packed.Data))
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&content); err != nil {
		return errors.Wrap(ErrCorruptAnswer, err.Error())
	}
	a.Snapshot.Items, a.Changes.Events, a.Packed = content.Items, content.Events, Packed{}
	return nil
}
