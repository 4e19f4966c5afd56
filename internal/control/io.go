package control

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/core"
)

// doIO does an action that waits for the outside and posts its result.
func (l *Loop) doIO(action core.Action) {
	defer l.recoverCall(action)
	switch a := action.(type) {
	case core.CallPeer:
		ctx, cancel := l.timeout(peerTimeout(a.Msg))
		defer cancel()
		value, err := l.ports.Peers.Call(ctx, a.Address, a.To, a.Msg)
		l.reply(a.Call, value, err)
	case core.ReadKey:
		ctx, cancel := l.timeout(l.ports.KVTimeout)
		defer cancel()
		value, err := l.ports.KV.Get(ctx, a.Key)
		l.reply(a.Call, value, err)
	case core.WriteKey:
		ctx, cancel := l.timeout(l.ports.KVTimeout)
		defer cancel()
		value, err := l.ports.KV.CAS(ctx, a.Key, a.Expect, a.Data, 0)
		l.reply(a.Call, value, err)
	case core.Commit:
		ctx, cancel := l.timeout(commitCalls * l.ports.KVTimeout)
		defer cancel()
		result, err := l.ports.Ledger.Commit(ctx, a.Shard, a.Ops)
		l.reply(a.Call, result, err)
	case core.CommitClaims:
		ctx, cancel := l.timeout(commitCalls * l.ports.KVTimeout)
		defer cancel()
		entries, err := l.ports.Claims.Commit(ctx, a.Shard, a.Ops)
		l.reply(a.Call, entries, err)
	case core.RetireHolder:
		ctx, cancel := l.timeout(commitCalls * l.ports.KVTimeout)
		defer cancel()
		err := l.ports.Ledger.RetireHolder(ctx, a.Shard, a.Holder, a.Sums, l.ports.Now())
		l.reply(a.Call, nil, err)
	case core.CancelStream:
		ctx, cancel := l.timeout(cancelTimeout)
		defer cancel()
		// Without an answer the engine goes on to its output cap: some work is
		// wasted, but nothing is billed for it.
		_ = l.ports.Engine.Cancel(ctx, a.Backend, a.Attempt)
	}
}

// commitCalls is how many calls of the service a commit may need within its time.
const commitCalls = 4

func peerTimeout(msg any) time.Duration {
	if _, waits := msg.(core.AwaitAnswerMsg); waits {
		return awaitTimeout
	}
	return peerCallTimeout
}

func (l *Loop) timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(l.ctx, d)
}

func (l *Loop) reply(call core.CallID, value any, err error) {
	l.post(core.Reply{Call: call, Value: value, Err: err})
}
