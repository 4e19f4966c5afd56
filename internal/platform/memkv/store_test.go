package memkv

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// oracle is a plain model of the store with one lease for each grant.
type oracle struct {
	revision platform.Revision
	values   map[string]platform.Value
	leaseOf  map[string]platform.LeaseID
	expires  map[platform.LeaseID]time.Time
}

func (o *oracle) put(key, data string, lease platform.LeaseID) {
	o.revision++
	o.values[key] = platform.Value{Key: key, Data: []byte(data), Revision: o.revision}
	o.leaseOf[key] = lease
}

func (o *oracle) remove(key string) {
	o.revision++
	delete(o.values, key)
	delete(o.leaseOf, key)
}

// lapse follows the store's order: leases by number, then keys by name.
func (o *oracle) lapse(now time.Time) {
	for lease := platform.LeaseID(1); lease <= platform.LeaseID(len(o.expires)); lease++ {
		for _, key := range keys {
			if o.leaseOf[key] == lease && !now.Before(o.expires[lease]) {
				o.remove(key)
			}
		}
	}
}

var keys = []string{"a", "b", "c"}

const ttl = 10 * time.Second

// Random calls, some with lost answers, and steps of the clock: the store holds
// what the oracle holds after each of them, and a watch that was read to its
// end shows the key's latest state.
func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		now := time.Unix(0, 0)
		store := New(func() time.Time { return now })
		o := oracle{
			revision: store.Revision(),
			values:   map[string]platform.Value{},
			leaseOf:  map[string]platform.LeaseID{},
			expires:  map[platform.LeaseID]time.Time{},
		}
		watched, err := store.Watch(ctx, "a", 0)
		assert(t, err, qt.IsNil)
		seen := platform.Value{Key: "a"}

		key := rapid.SampledFrom(keys)
		expect := func(t *rapid.T, k string) platform.Revision {
			if rapid.Bool().Draw(t, "stale") {
				return platform.Revision(rapid.IntRange(0, int(o.revision)).Draw(t, "revision"))
			}
			return o.values[k].Revision
		}
		lost := func(t *rapid.T) bool {
			n := rapid.IntRange(0, 1).Draw(t, "lost answers")
			store.SetFaults(Faults{LoseAnswers: n})
			return n > 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"cas": func(t *rapid.T) {
				k, data := key.Draw(t, "key"), rapid.String().Draw(t, "data")
				revision, lose := expect(t, k), lost(t)
				lease := platform.LeaseID(rapid.IntRange(0, len(o.expires)).Draw(t, "lease"))
				v, err := store.CAS(ctx, k, revision, []byte(data), lease)
				gone := lease != 0 && !now.Before(o.expires[lease])
				switch {
				case o.values[k].Revision != revision:
					assert(t, err, qt.ErrorIs, platform.ErrConflict)
					assert(t, v.Revision, qt.Equals, o.values[k].Revision)
				case gone:
					assert(t, err, qt.ErrorIs, platform.ErrLeaseNotFound)
				default:
					o.put(k, data, lease)
					assert(t, errors.Is(err, platform.ErrOutcomeUnknown), qt.Equals, lose)
				}
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				revision, lose := expect(t, k), lost(t)
				err := store.Delete(ctx, k, revision)
				if o.values[k].Revision != revision {
					assert(t, err, qt.ErrorIs, platform.ErrConflict)
					return
				}
				if revision != 0 {
					o.remove(k)
					assert(t, errors.Is(err, platform.ErrOutcomeUnknown), qt.Equals, lose)
				}
			},
			"grant": func(t *rapid.T) {
				store.SetFaults(Faults{})
				lease, err := store.GrantLease(ctx, ttl)
				assert(t, err, qt.IsNil)
				o.expires[lease] = now.Add(ttl)
			},
			"keep alive": func(t *rapid.T) {
				lease := platform.LeaseID(rapid.IntRange(0, len(o.expires)+1).Draw(t, "lease"))
				err := store.KeepAlive(ctx, lease)
				if expires, known := o.expires[lease]; known && now.Before(expires) {
					assert(t, err, qt.IsNil)
					o.expires[lease] = now.Add(ttl)
					return
				}
				assert(t, err, qt.ErrorIs, platform.ErrLeaseNotFound)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
				store.Tick()
				o.lapse(now)
			},
			"": func(t *rapid.T) {
				for _, k := range keys {
					v, err := store.Get(ctx, k)
					assert(t, err, qt.IsNil)
					assert(t, v.Revision, qt.Equals, o.values[k].Revision)
					assert(t, string(v.Data), qt.Equals, string(o.values[k].Data))
				}
				assert(t, store.Revision(), qt.Equals, o.revision)
				select {
				case seen = <-watched:
				default:
				}
				assert(t, seen.Revision, qt.Equals, o.values["a"].Revision)
			},
		})
	})
}

// assert is qt.Assert for a *rapid.T, which does not implement testing.TB.
func assert(t *rapid.T, got any, checker qt.Checker, args ...any) {
	t.Helper()
	if err := checker.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v: got %v, want %v", err, got, args)
	}
}

// A value that a caller goes on to change must not change in the store.
func TestValuesAreCopied(t *testing.T) {
	store := New(nil)
	data := []byte("one")
	v, err := store.CAS(context.Background(), "k", 0, data, 0)
	qt.Assert(t, err, qt.IsNil)
	data[0], v.Data[1] = 'X', 'X'
	read, err := store.Get(context.Background(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(read.Data), qt.Equals, "one")
}
