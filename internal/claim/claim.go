// Package claim arbitrates calls that must run at most once. Before such a call
// is dispatched, its key is claimed durably; whoever finds the key claimed by
// another does not run it. The operations are pure and idempotent; many claims
// share a value of the platform's key-value service.
package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// format is the version of the encoding; a later one is refused, not misread.
const format = 1

// DefaultRetention is how long a claim is kept: within it a repeated call is
// recognised as one.
const DefaultRetention = 24 * time.Hour

// MaxAnswerBytes is the largest answer that is kept with a claim; the retry of a
// call with a larger one learns only that it ran.
const MaxAnswerBytes = 2 << 10

// Errors of decoding.
var (
	// ErrMalformed: the bytes of a shard can't be decoded.
	ErrMalformed = errors.New("claim: malformed shard")
	// ErrFormat: the shard was written by a later version of the program.
	ErrFormat = errors.New("claim: unknown shard format")
)

// Answer is what a claimed call was answered.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        string `msgpack:"b"`
}

// Entry is one claimed key.
type Entry struct {
	Owner    dedup.Owner `msgpack:"o"`
	BodyHash uint64      `msgpack:"h"`
	At       time.Time   `msgpack:"t"` // of the claim
	Done     bool        `msgpack:"d"`
	Answer   *Answer     `msgpack:"a,omitempty"` // kept if small enough
}

// Shard is the claims of one value.
type Shard struct {
	Format  int                 `msgpack:"f"`
	Entries map[dedup.Key]Entry `msgpack:"e"`
}

// ShardOf tells which shard holds a key.
func ShardOf(key dedup.Key, shards int) int {
	return int(xxhash.Sum64String(string(key)) % uint64(shards))
}

// ShardKey is the key of a shard in the key-value service.
func ShardKey(index int) string {
	return fmt.Sprintf("claim/%03d", index)
}

// Decode reads a shard; no data gives an empty one.
func Decode(data []byte) (*Shard, error) {
	s := &Shard{Format: format, Entries: make(map[dedup.Key]Entry)}
	if len(data) == 0 {
		return s, nil
	}
	if err := codec.Unmarshal(data, s, platform.MaxValueBytes); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if s.Format != format {
		return nil, errors.Wrapf(ErrFormat, "format %d, not %d", s.Format, format)
	}
	if s.Entries == nil {
		s.Entries = make(map[dedup.Key]Entry)
	}
	return s, nil
}

// Encode writes the shard. It returns platform.ErrValueTooLarge.
func (s *Shard) Encode() ([]byte, error) {
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(data) > platform.MaxValueBytes {
		return nil, errors.Wrap(platform.ErrValueTooLarge, "claims")
	}
	return data, nil
}

// Op is one operation on a key. Operations are idempotent.
type Op interface {
	// KeyOf is the key that the operation is about.
	KeyOf() dedup.Key
	apply(s *Shard) (changed bool)
}

// Claim takes a key if nobody has it. Whether it did shows in the entry after it.
type Claim struct {
	Key      dedup.Key
	Owner    dedup.Owner
	BodyHash uint64
	At       time.Time
}

// Takeover moves a claim whose call surely has not run and can't run any more.
type Takeover struct {
	Key dedup.Key
	Old dedup.Owner
	New dedup.Owner
	At  time.Time
}

// Finish keeps the answer of a call.
type Finish struct {
	Key    dedup.Key
	Owner  dedup.Owner
	Answer *Answer
}

// Release gives up a claim whose call surely was not run.
type Release struct {
	Key   dedup.Key
	Owner dedup.Owner
}

// KeyOf implements Op.
func (op Claim) KeyOf() dedup.Key { return op.Key }

// KeyOf implements Op.
func (op Takeover) KeyOf() dedup.Key { return op.Key }

// KeyOf implements Op.
func (op Finish) KeyOf() dedup.Key { return op.Key }

// KeyOf implements Op.
func (op Release) KeyOf() dedup.Key { return op.Key }

func (op Claim) apply(s *Shard) bool {
	// Failure: a lost answer, or a retry at another router, claims a key again.
	// The first claim stands, so that one owner at most ever runs the call.
	if _, found := s.Entries[op.Key]; found {
		return false
	}
	s.Entries[op.Key] = Entry{Owner: op.Owner, BodyHash: op.BodyHash, At: op.At.UTC()}
	return true
}

func (op Takeover) apply(s *Shard) bool {
	entry, found := s.Entries[op.Key]
	if !found || entry.Owner != op.Old || entry.Done {
		return false
	}
	entry.Owner = op.New
	entry.At = op.At.UTC()
	s.Entries[op.Key] = entry
	return true
}

func (op Finish) apply(s *Shard) bool {
	entry, found := s.Entries[op.Key]
	if !found || entry.Owner != op.Owner || entry.Done {
		return false
	}
	entry.Done = true
	if op.Answer != nil && len(op.Answer.Body) <= MaxAnswerBytes {
		entry.Answer = op.Answer
	}
	s.Entries[op.Key] = entry
	return true
}

func (op Release) apply(s *Shard) bool {
	entry, found := s.Entries[op.Key]
	if !found || entry.Owner != op.Owner || entry.Done {
		return false
	}
	delete(s.Entries, op.Key)
	return true
}

// Apply runs operations and drops claims older than the retention. After it the
// entry of a key tells who owns it.
func (s *Shard) Apply(now time.Time, retention time.Duration, ops []Op) (changed bool) {
	for _, op := range ops {
		changed = op.apply(s) || changed
	}
	if !changed {
		return false
	}
	for key, entry := range s.Entries {
		if now.Sub(entry.At) >= retention {
			delete(s.Entries, key)
		}
	}
	return true
}
