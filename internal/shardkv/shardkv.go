// Package shardkv changes values of the platform's key-value service that hold
// many records each: read, apply, compare and swap, and again when another writer
// came first. What is applied must be idempotent: an answer that was lost is
// resolved by applying the same change again.
package shardkv

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// maxConflicts bounds the tries of one update against racing writers. Each lost
// race means that another writer's update landed, so the fleet moves on; one who
// gives up simply tries again later.
const maxConflicts = 16

// Errors of updates. Test with errors.Is.
var (
	// ErrNotWritten: nothing of the update was written.
	ErrNotWritten = errors.New("shardkv: not written")
	// ErrUnknown: the update may have been written; applying it again finds out.
	ErrUnknown = errors.New("shardkv: outcome unknown")
)

// Content is what one value holds.
type Content interface {
	Encode() ([]byte, error)
}

// Store updates the values of a fixed number of keys. It is safe for concurrent
// use; updates of one key wait for each other, those of different keys don't.
type Store[C Content] struct {
	kv     platform.KV
	decode func([]byte) (C, error)
	cells  []*cell
}

// cell is one key and what was last seen of it.
type cell struct {
	mu   sync.Mutex
	key  string
	seen platform.Value
	read bool
}

// New makes a store of count keys. Decode must give an empty content for no data.
func New[C Content](kv platform.KV, count int, key func(index int) string, decode func([]byte) (C, error)) *Store[C] {
	s := &Store[C]{kv: kv, decode: decode}
	for i := range count {
		s.cells = append(s.cells, &cell{key: key(i)})
	}
	return s
}

// Count is the number of keys.
func (s *Store[C]) Count() int {
	return len(s.cells)
}

// Read reads one value from the service.
func (s *Store[C]) Read(ctx context.Context, index int) (C, error) {
	c := s.cells[index]
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := s.refresh(ctx, c); err != nil {
		var none C
		return none, errors.Wrap(ErrNotWritten, err.Error())
	}
	return s.decode(c.seen.Data)
}

// Update applies a change to one value and returns once the result is durable.
// Apply gets a private copy, maybe several times; it says whether it changed it.
func (s *Store[C]) Update(ctx context.Context, index int, apply func(content C) (changed bool)) error {
	c := s.cells[index]
	c.mu.Lock()
	defer c.mu.Unlock()
	u := update[C]{store: s, cell: c, apply: apply}
	for range maxConflicts {
		done, err := u.try(ctx)
		if done || err != nil {
			return err
		}
	}
	return u.failed(errors.New("too many racing writers"))
}

// update is one Update under way.
type update[C Content] struct {
	store *Store[C]
	cell  *cell
	apply func(C) bool
	fresh bool // the content was read for this update
	// uncertain: a write of this update may have landed.
	uncertain bool
}

// try makes one round; not done and no error means: try again.
func (u *update[C]) try(ctx context.Context) (done bool, err error) {
	if !u.cell.read {
		if err := u.store.refresh(ctx, u.cell); err != nil {
			return false, u.failed(err)
		}
		u.fresh = true
	}
	content, err := u.store.decode(u.cell.seen.Data)
	if err != nil {
		return false, errors.WithMessage(err, u.cell.key)
	}
	if !u.apply(content) {
		// An answer such as 'nothing is available' must rest on a read made for
		// it: what was seen last may be long out of date.
		done = u.fresh
		u.cell.read = u.fresh
		return done, nil
	}
	data, err := content.Encode()
	if err != nil {
		return false, errors.WithMessage(err, u.cell.key)
	}
	return u.write(ctx, data)
}

func (u *update[C]) write(ctx context.Context, data []byte) (done bool, err error) {
	written, err := u.store.kv.CAS(ctx, u.cell.key, u.cell.seen.Revision, data, 0)
	switch {
	case err == nil:
		u.cell.seen = written
		return true, nil
	case errors.Is(err, platform.ErrConflict):
		u.cell.seen = written
		u.fresh = true
		return false, nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		// The write may have landed and its answer been lost. What is applied is
		// idempotent: if it landed, the next round finds nothing to change.
		u.uncertain = true
		u.cell.read = false
		return false, nil
	default:
		u.cell.read = false
		return false, u.failed(err)
	}
}

// failed turns an error of the platform into one of this package.
func (u *update[C]) failed(err error) error {
	if u.uncertain {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return errors.Wrap(ErrNotWritten, err.Error())
}

func (s *Store[C]) refresh(ctx context.Context, c *cell) error {
	value, err := s.kv.Get(ctx, c.key)
	if err != nil {
		return err
	}
	c.seen = value
	c.read = true
	return nil
}
