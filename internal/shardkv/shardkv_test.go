package shardkv

import (
	"context"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

// number is a content that holds one number.
type number struct{ n int }

func (c *number) Encode() ([]byte, error) { return []byte(strconv.Itoa(c.n)), nil }

func decodeNumber(data []byte) (*number, error) {
	if len(data) == 0 {
		return &number{}, nil
	}
	n, err := strconv.Atoi(string(data))
	return &number{n: n}, err
}

// raiseTo is an idempotent change.
func raiseTo(n int) func(*number) bool {
	return func(c *number) bool {
		if c.n >= n {
			return false
		}
		c.n = n
		return true
	}
}

// lossyKV loses the answer of each write after its effect, and then may be down.
type lossyKV struct {
	platform.KV
	lose, downAfter bool
	down            bool
}

func (k *lossyKV) Get(ctx context.Context, key string) (platform.Value, error) {
	if k.down {
		return platform.Value{}, platform.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

func (k *lossyKV) CAS(ctx context.Context, key string, expect platform.Revision, data []byte, lease platform.LeaseID) (platform.Value, error) {
	value, err := k.KV.CAS(ctx, key, expect, data, lease)
	if k.lose && err == nil {
		k.down = k.downAfter
		return platform.Value{}, platform.ErrOutcomeUnknown
	}
	return value, err
}

func storeOn(kv platform.KV) *Store[*number] {
	return New(kv, 1, func(int) string { return "key" }, decodeNumber)
}

// The answer to a write is lost after its effect. The update reads again, finds its
// change in place, and succeeds; it is not written a second time.
func TestLostAnswerIsFoundOut(t *testing.T) {
	c := qt.New(t)
	kv := memkv.New(nil)
	store := storeOn(&lossyKV{KV: kv, lose: true})
	c.Assert(store.Update(context.Background(), 0, raiseTo(5)), qt.IsNil)
	c.Assert(kv.Counts().CASes, qt.Equals, int64(1))
}

// The answer is lost, and the service goes down before it can be read again. The
// write did take effect: 'not written' would be untrue.
func TestLostAnswerInAnOutageIsUnknown(t *testing.T) {
	c := qt.New(t)
	store := storeOn(&lossyKV{KV: memkv.New(nil), lose: true, downAfter: true})
	err := store.Update(context.Background(), 0, raiseTo(5))
	c.Assert(errors.Is(err, ErrUnknown), qt.IsTrue)
	c.Assert(errors.Is(err, ErrNotWritten), qt.IsFalse)
}

// Another writer raised the number and lowered it again since this store read it.
// By what was seen last there is nothing to change; the answer must rest on a read
// made for it, so that the change is made after all.
func TestNothingToChangeRestsOnAFreshRead(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New(nil)
	store, other := storeOn(kv), storeOn(kv)
	c.Assert(store.Update(ctx, 0, raiseTo(5)), qt.IsNil)
	c.Assert(other.Update(ctx, 0, func(n *number) bool { n.n = 1; return true }), qt.IsNil)
	c.Assert(store.Update(ctx, 0, raiseTo(5)), qt.IsNil)
	now, err := other.Read(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(now.n, qt.Equals, 5)
}

// Two stores write in turn; each finds the other's revision in the conflict and
// applies its change to it, so that none is lost.
func TestRacingWritersLoseNothing(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New(nil)
	stores := []*Store[*number]{storeOn(kv), storeOn(kv)}
	for i := range 100 {
		err := stores[i%2].Update(ctx, 0, func(n *number) bool { n.n++; return true })
		c.Assert(err, qt.IsNil)
	}
	now, err := stores[0].Read(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(now.n, qt.Equals, 100)
}
