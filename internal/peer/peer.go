// Package peer carries the core's messages between routers over package link
// (net/rpc). One receiver method stands for each message.
package peer

import (
	"context"
	"reflect"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/link"
)

// serviceName is the name under which the receiver is registered.
const serviceName = "Router"

// Args is a message on its way.
type Args[T any] struct {
	link.Envelope
	To   id.Router `msgpack:"t"` // the incarnation that is meant; zero: whichever there is
	Body T         `msgpack:"b"`
}

// CodePanicked: the receiver met a fault of its program; what it did is unknown.
const CodePanicked link.Code = "receiver_panicked"

// Handler answers a message of another router.
type Handler interface {
	PeerCall(ctx context.Context, from, to id.Router, msg any) (any, error)
	// ReportPanic tells of a recovered panic.
	ReportPanic(where string, cause any)
}

// Receiver is the net/rpc receiver of the core's messages.
type Receiver struct {
	handler Handler
}

// Register registers the receiver at a link server.
func Register(server *link.Server, handler Handler) error {
	return server.Register(serviceName, &Receiver{handler: handler})
}

// answer hands a message to the handler and stores its typed reply.
func answer[M, R any](r *Receiver, args *Args[M], reply *Args[R]) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = r.panicked(args.Body, cause)
		}
	}()
	ctx, cancel := args.Context(context.Background())
	defer cancel()
	result, err := r.handler.PeerCall(ctx, args.From, args.To, args.Body)
	if err != nil {
		return err
	}
	body, ok := result.(R)
	if !ok {
		return errors.Errorf("peer: reply of type %T", result)
	}
	reply.Body = body
	return nil
}

// panicked makes the answer to a message at which the program panicked.
//
// Failure: net/rpc runs receivers on goroutines of its own, where a panic ends the
// process; a message that meets such a fault could end one router after another.
// The answer doesn't hold the panic's value, which may have a caller's text in it.
func (r *Receiver) panicked(msg, cause any) error {
	where := reflect.TypeOf(msg).String()
	r.handler.ReportPanic(where, cause)
	return link.Errorf(CodePanicked, "panic at %s", where)
}

// Heartbeat receives a HeartbeatMsg.
func (r *Receiver) Heartbeat(args *Args[core.HeartbeatMsg], reply *Args[core.HeartbeatReply]) error {
	return answer(r, args, reply)
}

// HoldBills receives a HoldBillsMsg.
func (r *Receiver) HoldBills(args *Args[core.HoldBillsMsg], reply *Args[core.HoldBillsReply]) error {
	return answer(r, args, reply)
}

// Adopt receives an AdoptMsg.
func (r *Receiver) Adopt(args *Args[core.AdoptMsg], reply *Args[core.AdoptReply]) error {
	return answer(r, args, reply)
}

// Seal receives a SealMsg.
func (r *Receiver) Seal(args *Args[core.SealMsg], reply *Args[core.SealReply]) error {
	return answer(r, args, reply)
}

// ClaimKey receives a ClaimKeyMsg.
func (r *Receiver) ClaimKey(args *Args[core.ClaimKeyMsg], reply *Args[core.ClaimKeyReply]) error {
	return answer(r, args, reply)
}

// RegisterKey receives a RegisterKeyMsg.
func (r *Receiver) RegisterKey(args *Args[core.RegisterKeyMsg], reply *Args[core.RegisterKeyReply]) error {
	return answer(r, args, reply)
}

// ReplaceKey receives a ReplaceKeyMsg.
func (r *Receiver) ReplaceKey(args *Args[core.ReplaceKeyMsg], reply *Args[core.ReplaceKeyReply]) error {
	return answer(r, args, reply)
}

// PullKeys receives a PullKeysMsg.
func (r *Receiver) PullKeys(args *Args[core.PullKeysMsg], reply *Args[core.PullKeysReply]) error {
	return answer(r, args, reply)
}

// Silent receives a SilentMsg.
func (r *Receiver) Silent(args *Args[core.SilentMsg], reply *Args[core.SilentReply]) error {
	return answer(r, args, reply)
}

// CallBack receives a CallBackMsg.
func (r *Receiver) CallBack(args *Args[core.CallBackMsg], reply *Args[core.CallBackReply]) error {
	return answer(r, args, reply)
}

// HandOver receives a HandOverMsg.
func (r *Receiver) HandOver(args *Args[core.HandOverMsg], reply *Args[core.HandOverReply]) error {
	return answer(r, args, reply)
}

// Restored receives a RestoredMsg.
func (r *Receiver) Restored(args *Args[core.RestoredMsg], reply *Args[core.RestoredReply]) error {
	return answer(r, args, reply)
}

// Settled receives a SettledMsg.
func (r *Receiver) Settled(args *Args[core.SettledMsg], reply *Args[core.SettledReply]) error {
	return answer(r, args, reply)
}

// ListBills receives a ListBillsMsg.
func (r *Receiver) ListBills(args *Args[core.ListBillsMsg], reply *Args[core.ListBillsReply]) error {
	return answer(r, args, reply)
}

// AwaitAnswer receives an AwaitAnswerMsg.
func (r *Receiver) AwaitAnswer(args *Args[core.AwaitAnswerMsg], reply *Args[core.AwaitAnswerReply]) error {
	return answer(r, args, reply)
}

// Caller sends the core's messages; it implements control.Peers.
type Caller struct {
	pool *link.Pool
}

// NewCaller makes a Caller over a pool of connections.
func NewCaller(pool *link.Pool) *Caller {
	return &Caller{pool: pool}
}

// Call sends a message to the router at address and returns its reply. To is the
// incarnation that is meant; zero means whichever answers there.
func (c *Caller) Call(ctx context.Context, address string, to id.Router, msg any) (any, error) {
	switch msg := msg.(type) {
	case core.HeartbeatMsg:
		return send[core.HeartbeatMsg, core.HeartbeatReply](ctx, c, address, to, "Heartbeat", msg)
	case core.HoldBillsMsg:
		return send[core.HoldBillsMsg, core.HoldBillsReply](ctx, c, address, to, "HoldBills", msg)
	case core.AdoptMsg:
		return send[core.AdoptMsg, core.AdoptReply](ctx, c, address, to, "Adopt", msg)
	case core.SealMsg:
		return send[core.SealMsg, core.SealReply](ctx, c, address, to, "Seal", msg)
	case core.ClaimKeyMsg:
		return send[core.ClaimKeyMsg, core.ClaimKeyReply](ctx, c, address, to, "ClaimKey", msg)
	case core.RegisterKeyMsg:
		return send[core.RegisterKeyMsg, core.RegisterKeyReply](ctx, c, address, to, "RegisterKey", msg)
	case core.ReplaceKeyMsg:
		return send[core.ReplaceKeyMsg, core.ReplaceKeyReply](ctx, c, address, to, "ReplaceKey", msg)
	case core.PullKeysMsg:
		return send[core.PullKeysMsg, core.PullKeysReply](ctx, c, address, to, "PullKeys", msg)
	case core.SilentMsg:
		return send[core.SilentMsg, core.SilentReply](ctx, c, address, to, "Silent", msg)
	case core.CallBackMsg:
		return send[core.CallBackMsg, core.CallBackReply](ctx, c, address, to, "CallBack", msg)
	case core.HandOverMsg:
		return send[core.HandOverMsg, core.HandOverReply](ctx, c, address, to, "HandOver", msg)
	case core.RestoredMsg:
		return send[core.RestoredMsg, core.RestoredReply](ctx, c, address, to, "Restored", msg)
	case core.SettledMsg:
		return send[core.SettledMsg, core.SettledReply](ctx, c, address, to, "Settled", msg)
	case core.ListBillsMsg:
		return send[core.ListBillsMsg, core.ListBillsReply](ctx, c, address, to, "ListBills", msg)
	case core.AwaitAnswerMsg:
		return send[core.AwaitAnswerMsg, core.AwaitAnswerReply](ctx, c, address, to, "AwaitAnswer", msg)
	}
	return nil, errors.Errorf("peer: no method for %s", reflect.TypeOf(msg))
}

func send[M, R any](ctx context.Context, c *Caller, address string, to id.Router, method string, msg M) (any, error) {
	reply := &Args[R]{}
	err := c.pool.Call(ctx, address, serviceName+"."+method, &Args[M]{To: to, Body: msg}, reply)
	if err != nil {
		return nil, errors.WithMessage(err, method)
	}
	return reply.Body, nil
}
