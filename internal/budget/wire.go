package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// The wire types are lists in the order of their keys, so that equal shards have
// equal bytes. Names are short: 1,000 budgets must fit one value.
type (
	wireShard struct {
		Format  int          `msgpack:"f"`
		Budgets []wireRecord `msgpack:"b"`
	}
	wireRecord struct {
		ID            id.Budget        `msgpack:"i"`
		Account       id.ClientAccount `msgpack:"a"`
		TopUps        []wireTopUp      `msgpack:"t,omitempty"`
		Folded        id.Tokens        `msgpack:"f,omitempty"`
		FoldedThrough int64            `msgpack:"ft,omitempty"` // Unix time in ms; 0: nothing folded
		Closed        id.Tokens        `msgpack:"c,omitempty"`
		Holders       []wireHolder     `msgpack:"h,omitempty"`
		Wants         []wireWant       `msgpack:"w,omitempty"`
		Tombstones    []wireTombstone  `msgpack:"x,omitempty"`
	}
	wireTopUp struct {
		ID     string    `msgpack:"i"`
		Amount id.Tokens `msgpack:"n"`
		At     int64     `msgpack:"t"` // Unix time in ms, as all below
	}
	wireHolder struct {
		Name    string    `msgpack:"i"`
		Seq     uint64    `msgpack:"q"`
		Granted id.Tokens `msgpack:"g"`
		Spent   id.Tokens `msgpack:"s"`
	}
	wireWant struct {
		Name   string    `msgpack:"i"`
		Tokens id.Tokens `msgpack:"n"`
		At     int64     `msgpack:"t"`
	}
	wireTombstone struct {
		Name string `msgpack:"i"`
		At   int64  `msgpack:"t"`
	}
)

// Encode gives the shard's bytes. Equal shards have equal bytes.
func (s *Shard) Encode() ([]byte, error) {
	shard := wireShard{Format: s.Format, Budgets: make([]wireRecord, 0, len(s.Budgets))}
	for _, b := range sortedKeys(s.Budgets) {
		shard.Budgets = append(shard.Budgets, s.Budgets[b].toWire(b))
	}
	data, err := codec.Marshal(&shard)
	return data, errors.Wrap(err, "budget: encode shard")
}

// Decode reads what Encode wrote and checks it. No bytes are an empty shard.
func Decode(data []byte) (*Shard, error) {
	if len(data) == 0 {
		return NewShard(), nil
	}
	var shard wireShard
	if err := codec.Unmarshal(data, &shard, platform.MaxValueBytes); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if shard.Format != Format {
		return nil, errors.Wrapf(ErrFormat, "format %d, this program knows %d", shard.Format, Format)
	}
	return shard.toShard()
}

func (w wireShard) toShard() (*Shard, error) {
	s := &Shard{Format: w.Format, Budgets: make(map[id.Budget]*Record, len(w.Budgets))}
	for _, wire := range w.Budgets {
		if _, twice := s.Budgets[wire.ID]; twice {
			return nil, errors.Wrapf(ErrMalformed, "budget %s is there twice", wire.ID)
		}
		record, err := wire.toRecord()
		if err != nil {
			return nil, err
		}
		s.Budgets[wire.ID] = record
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (r *Record) toWire(b id.Budget) wireRecord {
	w := wireRecord{ID: b, Account: r.Account, Folded: r.Folded, Closed: r.Closed}
	if !r.FoldedThrough.IsZero() {
		w.FoldedThrough = r.FoldedThrough.UnixMilli()
	}
	for _, entry := range r.TopUps {
		w.TopUps = append(w.TopUps, wireTopUp{ID: entry.ID, Amount: entry.Amount, At: entry.At.UnixMilli()})
	}
	for _, name := range sortedKeys(r.Holders) {
		h := r.Holders[name]
		w.Holders = append(w.Holders, wireHolder{Name: name, Seq: h.Seq, Granted: h.Granted, Spent: h.Spent})
	}
	for _, name := range sortedKeys(r.Wants) {
		want := r.Wants[name]
		w.Wants = append(w.Wants, wireWant{Name: name, Tokens: want.Tokens, At: want.At.UnixMilli()})
	}
	for _, name := range sortedKeys(r.Tombstones) {
		w.Tombstones = append(w.Tombstones, wireTombstone{Name: name, At: r.Tombstones[name].UnixMilli()})
	}
	return w
}

func (w wireRecord) toRecord() (*Record, error) {
	r := newRecord(w.Account)
	r.Folded = w.Folded
	r.Closed = w.Closed
	if w.FoldedThrough != 0 {
		r.FoldedThrough = time.UnixMilli(w.FoldedThrough).UTC()
	}
	for _, entry := range w.TopUps {
		r.TopUps = append(r.TopUps, TopUpEntry{ID: entry.ID, Amount: entry.Amount, At: time.UnixMilli(entry.At).UTC()})
	}
	for _, h := range w.Holders {
		r.Holders[h.Name] = Holder{Seq: h.Seq, Granted: h.Granted, Spent: h.Spent}
	}
	for _, want := range w.Wants {
		r.Wants[want.Name] = Want{Tokens: want.Tokens, At: time.UnixMilli(want.At).UTC()}
	}
	for _, stone := range w.Tombstones {
		r.Tombstones[stone.Name] = time.UnixMilli(stone.At).UTC()
	}
	// A name that is there twice would hide one grant behind the other.
	if len(r.Holders) != len(w.Holders) || len(r.Wants) != len(w.Wants) || len(r.Tombstones) != len(w.Tombstones) {
		return nil, errors.Wrapf(ErrMalformed, "budget %s names a holder twice", w.ID)
	}
	return r, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
