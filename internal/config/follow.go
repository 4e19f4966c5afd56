package config

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Waits between tries after a failure: the first is interval/firstBackoff, each
// next one doubles, up to interval*maxBackoff.
const (
	firstBackoff = 16
	maxBackoff   = 4
)

// Follow keeps the store at the newest configuration until ctx ends, and calls
// onChange with each state that came into force, in order of revision. It reads
// again at least every interval, and waits longer after failures. onError, when
// not nil, is told of each failure.
//
// Through an outage of the service the last state stays in force. Follow never
// calls back with an older state than before: a watch that is opened again may
// begin with an old value, a service restored from a copy may hold an old head,
// and an accepted change must not revert because of either. Revisions are
// assigned by CAS on one key, so that a higher one is always the later.
func (s *Store) Follow(ctx context.Context, interval time.Duration, onChange func(*State), onError func(error)) {
	f := &follower{store: s, onChange: onChange, onError: onError}
	first := max(interval/firstBackoff, time.Millisecond)
	wait := first
	for ctx.Err() == nil {
		if f.round(ctx, interval) {
			wait = first
			continue
		}
		sleep(ctx, wait)
		wait = min(2*wait, maxBackoff*interval)
	}
}

type follower struct {
	store    *Store
	onChange func(*State)
	onError  func(error)
	told     id.Revision
	toldAny  bool
}

// round reads the head and then watches it for up to interval. It is false when
// the service could not be read or watched.
//
// The watch alone isn't enough: a connection that broke without a reset looks
// like a head that never changes, and this router would serve an old contract
// for ever. The read at each round bounds that by the interval.
func (f *follower) round(ctx context.Context, interval time.Duration) bool {
	value, _, err := f.store.load(ctx)
	f.tell()
	if err != nil {
		f.fail(ctx, err)
		return false
	}
	watchCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	values, err := f.store.kv.Watch(watchCtx, HeadKey, value.Revision)
	if err != nil {
		f.fail(ctx, err)
		return false
	}
	for value := range values {
		f.take(watchCtx, value)
	}
	// A watch that ended before its time broke; wait before the next.
	return watchCtx.Err() != nil
}

func (f *follower) take(ctx context.Context, value platform.Value) {
	_, err := f.store.advanceTo(ctx, value)
	if err != nil {
		f.fail(ctx, err)
	}
	f.tell()
}

// tell passes on the store's state when it is newer than the last one told,
// however it got there (this follower, Apply or a relayed head).
func (f *follower) tell() {
	state := f.store.State()
	if f.toldAny && state.Revision <= f.told {
		return
	}
	f.told = state.Revision
	f.toldAny = true
	f.onChange(state)
}

func (f *follower) fail(ctx context.Context, err error) {
	if f.onError != nil && ctx.Err() == nil {
		f.onError(err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
