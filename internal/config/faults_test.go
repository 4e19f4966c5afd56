package config

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

// casFault is what happens to one compare-and-swap.
type casFault int

const (
	casWorks      casFault = iota
	casRefused             // no effect, and says so
	casAnswerLost          // takes effect, answer lost
	casQuestionLost
	casDelayed // answer lost, takes effect only at release
)

// faultyKV lets each compare-and-swap go wrong and records every head that was
// written: the oracle of what was accepted.
type faultyKV struct {
	platform.KV
	next    func(key string) casFault
	delayed []func()
	history map[id.Revision]string // change id by revision
	heads   [][]byte
}

func newFaultyKV() *faultyKV {
	return &faultyKV{KV: memkv.New(nil), history: map[id.Revision]string{},
		next: func(string) casFault { return casWorks }}
}

func (f *faultyKV) CAS(ctx context.Context, key string, expect platform.Revision, data []byte, lease platform.LeaseID) (platform.Value, error) {
	switch f.next(key) {
	case casRefused:
		return platform.Value{}, errors.Wrap(platform.ErrUnavailable, "fault")
	case casQuestionLost:
		return platform.Value{}, errors.Wrap(platform.ErrOutcomeUnknown, "fault")
	case casDelayed:
		f.delayed = append(f.delayed, func() { _, _ = f.write(ctx, key, expect, data) })
		return platform.Value{}, errors.Wrap(platform.ErrOutcomeUnknown, "fault")
	case casAnswerLost:
		if _, err := f.write(ctx, key, expect, data); err == nil {
			return platform.Value{}, errors.Wrap(platform.ErrOutcomeUnknown, "fault")
		}
	}
	return f.write(ctx, key, expect, data)
}

func (f *faultyKV) write(ctx context.Context, key string, expect platform.Revision, data []byte) (platform.Value, error) {
	value, err := f.KV.CAS(ctx, key, expect, data, 0)
	if err == nil && key == HeadKey {
		f.record(data)
	}
	return value, err
}

func (f *faultyKV) record(data []byte) {
	h, err := DecodeHead(data)
	if err != nil {
		panic(err)
	}
	f.heads = append(f.heads, data)
	for _, e := range h.Log {
		if known, found := f.history[e.Revision]; found && known != e.ChangeID {
			panic(fmt.Sprintf("revision %d was %s and became %s", e.Revision, known, e.ChangeID))
		}
		f.history[e.Revision] = e.ChangeID
	}
}

func (f *faultyKV) release() {
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
}

// revisionOf gives the revision under which a change was accepted, or zero. It
// fails the test when the change took effect twice.
func (f *faultyKV) revisionOf(t testing.TB, changeID string) id.Revision {
	found := id.Revision(0)
	for revision, accepted := range f.history {
		if accepted == changeID {
			qt.Assert(t, found, qt.Equals, id.Revision(0), qt.Commentf("change %s accepted twice", changeID))
			found = revision
		}
	}
	return found
}

// propertyTB lets quicktest's checks fail a rapid property, so that rapid shrinks it.
type propertyTB struct {
	testing.TB
	property *rapid.T
}

func (p propertyTB) Fatal(args ...any) { p.property.Fatal(args...) }
func (p propertyTB) Error(args ...any) { p.property.Error(args...) }
func (p propertyTB) Helper()           {}

var testTime = time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)

func testNow() time.Time { return testTime }

func setting(name string, value int, ifMatch id.Revision, changeID string) Change {
	body := json.RawMessage(fmt.Sprintf(`{"value":%d}`, value))
	return Change{Kind: KindSetting, Name: name, IfMatch: ifMatch, Body: body, Author: "jana", ChangeID: changeID}
}

// assertSameState compares everything but the index, which is checked by lookups.
func assertSameState(t testing.TB, got, want *State) {
	qt.Assert(t, got.Revision, qt.Equals, want.Revision)
	qt.Assert(t, got.meta, qt.DeepEquals, want.meta)
	qt.Assert(t, got.Settings, qt.DeepEquals, want.Settings)
	qt.Assert(t, got.Contracts, qt.DeepEquals, want.Contracts)
	qt.Assert(t, got.Models, qt.DeepEquals, want.Models)
	qt.Assert(t, got.ByKey, qt.DeepEquals, want.ByKey)
	for account, c := range want.Contracts {
		for _, budget := range c.Budgets {
			owner, _ := got.Owner(budget.ID)
			qt.Assert(t, owner, qt.Equals, account)
		}
	}
}

func mustApply(t *testing.T, s *Store, c Change) Result {
	t.Helper()
	result, err := s.Apply(context.Background(), c)
	qt.Assert(t, err, qt.IsNil)
	return result
}
