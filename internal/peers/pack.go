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
	// packLeast is the size in bytes from which an answer is compressed. A configuration of a
	// few hundred KB fills the link of a small VM for longer than its reader waits.
	packLeast = 8 << 10
	// packedKept is how many compressed answers are kept: many followers ask for the same.
	packedKept = 4
	// unpackedMost bounds what an answer may hold, in bytes.
	unpackedMost = 64 << 20
)

// ErrCorruptAnswer: a compressed answer can't be read.
var ErrCorruptAnswer = errors.New("peers: compressed answer spoiled")

// Packed is the compressed items or changes of a FollowAnswer.
type Packed struct {
	Data []byte
	// Digest is of Data.
	Digest uint64
}

// packedContent is what Packed holds.
type packedContent struct {
	Items  []store.Item
	Events []store.Event
}

// packer compresses answers. It is safe for concurrent use.
type packer struct {
	mu   sync.Mutex
	kept []keptPack // the last used comes last
}

type keptPack struct {
	content uint64
	packed  Packed
}

// pack compresses a large answer in place; a small one stays as it is.
func (p *packer) pack(answer *FollowAnswer) error {
	content := packedContent{Items: answer.Snapshot.Items, Events: answer.Changes.Events}
	size, sum := content.measure()
	if size < packLeast {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	packed, found := p.find(sum)
	if !found {
		var err error
		if packed, err = content.pack(); err != nil {
			return err
		}
		p.keep(keptPack{content: sum, packed: packed})
	}
	answer.Packed = packed
	answer.Snapshot.Items, answer.Changes.Events = nil, nil
	return nil
}

func (p *packer) find(sum uint64) (Packed, bool) {
	for _, k := range p.kept {
		if k.content == sum {
			return k.packed, true
		}
	}
	return Packed{}, false
}

func (p *packer) keep(k keptPack) {
	p.kept = append(p.kept, k)
	if len(p.kept) > packedKept {
		p.kept = p.kept[1:]
	}
}

// measure returns the size in bytes, and a sum of what is in it: an item is the same as
// long as its revision is.
func (c packedContent) measure() (size int, sum uint64) {
	h := xxhash.New()
	add := func(item store.Item, deleted byte) {
		size += len(item.Key) + len(item.Value)
		_, _ = h.WriteString(item.Key) // a hash takes everything
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

// unpack puts the items or changes of a compressed answer back.
func (a *FollowAnswer) unpack() error {
	if len(a.Packed.Data) == 0 {
		return nil
	}
	if xxhash.Sum64(a.Packed.Data) != a.Packed.Digest {
		return errors.Wrap(ErrCorruptAnswer, "digest")
	}
	content := packedContent{}
	r := flate.NewReader(bytes.NewReader(a.Packed.Data))
	if err := gob.NewDecoder(io.LimitReader(r, unpackedMost)).Decode(&content); err != nil {
		return errors.Wrap(ErrCorruptAnswer, err.Error())
	}
	a.Snapshot.Items, a.Changes.Events, a.Packed = content.Items, content.Events, Packed{}
	return nil
}
