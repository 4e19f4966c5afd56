package core_test

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// ports is one router's way to the platform's service, by the real ledger.
type ports struct {
	vm     *vm
	kv     *faultyKV
	ledger *ledger.Ledger
	claims *ledger.Claims
}

func newPorts(v *vm) *ports {
	kv := &faultyKV{KV: v.w.kv, vm: v}
	return &ports{
		vm: v, kv: kv,
		ledger: ledger.New(kv, shardsInTest, v.w.policy),
		claims: ledger.NewClaims(kv, 1, 24*time.Hour, func() time.Time { return v.w.now }),
	}
}

// do carries out an action of the platform's service: it takes effect after one
// delay, and its answer comes after another, so that a process may die between.
func (p *ports) do(gen int, action core.Action) {
	w := p.vm.w
	later := func(call core.CallID, effect func(context.Context) (any, error)) {
		w.after(w.delay(), func() {
			value, err := effect(context.Background())
			w.after(w.delay(), func() { p.vm.reply(gen, call, value, err) })
		})
	}
	switch a := action.(type) {
	case core.ReadKey:
		later(a.Call, func(ctx context.Context) (any, error) { return wrap(p.kv.Get(ctx, a.Key)) })
	case core.WriteKey:
		later(a.Call, func(ctx context.Context) (any, error) { return wrap(p.kv.CAS(ctx, a.Key, a.Expect, a.Data, 0)) })
	case core.Commit:
		later(a.Call, func(ctx context.Context) (any, error) { return wrap(p.ledger.Commit(ctx, a.Shard, a.Ops)) })
	case core.CommitClaims:
		later(a.Call, func(ctx context.Context) (any, error) { return wrap(p.claims.Commit(ctx, a.Shard, a.Ops)) })
	case core.RetireHolder:
		later(a.Call, func(ctx context.Context) (any, error) {
			return nil, p.ledger.RetireHolder(ctx, a.Shard, a.Holder, a.Sums, w.now)
		})
	}
}

func wrap[T any](value T, err error) (any, error) { return value, err }

// faultyKV is the service as one VM reaches it: down, cut off, or with answers
// lost after the write took effect.
type faultyKV struct {
	platform.KV
	vm *vm
}

func (f *faultyKV) unreachable() bool { return f.vm.w.kvDown || f.vm.kvCut }

// Get implements platform.KV.
func (f *faultyKV) Get(ctx context.Context, key string) (platform.Value, error) {
	if f.unreachable() {
		return platform.Value{}, platform.ErrUnavailable
	}
	return f.KV.Get(ctx, key)
}

// CAS implements platform.KV.
func (f *faultyKV) CAS(ctx context.Context, key string, expect platform.Revision, data []byte, lease platform.LeaseID) (platform.Value, error) {
	if f.unreachable() {
		return platform.Value{}, platform.ErrUnavailable
	}
	value, err := f.KV.CAS(ctx, key, expect, data, lease)
	if f.vm.w.lossy && f.vm.w.rng.IntN(15) == 0 {
		return platform.Value{}, platform.ErrOutcomeUnknown
	}
	return value, err
}
