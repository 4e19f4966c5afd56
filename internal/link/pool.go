package link

import (
	"context"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Pool calls other routers. It keeps one connection to each peer; calls share it
// without waiting for each other's answers. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPool makes a Pool without connections.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, peers: make(map[string]*peer)}
}

// Call runs a method of the peer at addr ("IP:port"). args and reply are pointers
// to messages; args is not changed and may be shared between calls, reply is set
// only on success. Call returns by ctx's deadline (CallTimeout if there is none).
// Its errors are ErrUnreachable, ErrTimeout, ErrBroken, ErrRemote, ErrAuth,
// ErrVersion, ErrMessageTooLarge, ErrMalformed and ErrClosed.
func (p *Pool) Call(ctx context.Context, addr string, method string, args, reply any) error {
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	to, err := p.peer(addr)
	if err != nil {
		return err
	}
	conn, err := to.acquire(ctx)
	if err != nil {
		return errors.Wrap(err, method)
	}
	defer to.release(conn)
	return errors.Wrapf(p.callOn(ctx, to, conn, method, args, reply), "%s at %s", method, addr)
}

// Forget closes the connection to a peer that has left.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	gone := p.peers[addr]
	delete(p.peers, addr)
	p.mu.Unlock()
	if gone != nil {
		gone.close()
	}
}

// Close breaks all connections; running calls end with ErrBroken.
func (p *Pool) Close() error {
	p.cancel()
	p.mu.Lock()
	peers := p.peers
	p.peers = nil
	p.mu.Unlock()
	for _, open := range peers {
		open.close()
	}
	return waitFor(&p.wg, p.cfg.CloseTimeout)
}

func (p *Pool) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.cfg.CallTimeout)
}

func (p *Pool) peer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		return nil, ErrClosed
	}
	known, found := p.peers[addr]
	if !found {
		known = &peer{pool: p, addr: addr}
		p.peers[addr] = known
	}
	return known, nil
}

func (p *Pool) callOn(ctx context.Context, to *peer, conn *clientConn, method string, args, reply any) error {
	stamped := withEnvelope(args, p.envelope(ctx, conn))
	// The answer is decoded into a value of its own: it may come after the
	// deadline, when the caller already uses reply for something else.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.client.Go(method, stamped, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		to.noteTimeout(conn)
		return errors.Wrap(ErrTimeout, ctx.Err().Error())
	}
	if err := classify(call.Error); err != nil {
		if errors.Is(err, ErrRemote) {
			to.noteAnswer(conn)
		}
		return err
	}
	to.noteAnswer(conn)
	reflect.ValueOf(reply).Elem().Set(answer.Elem())
	return nil
}

func (p *Pool) envelope(ctx context.Context, conn *clientConn) Envelope {
	e := Envelope{From: p.cfg.Self(), Clock: p.cfg.Clock.Tick(), Version: conn.version}
	if deadline, ok := ctx.Deadline(); ok {
		e.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	return e
}

// classify turns net/rpc's errors into the package's own.
func classify(err error) error {
	var answered rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &answered):
		return parseRemoteError(string(answered))
	case errors.Is(err, errNotSent), errors.Is(err, rpc.ErrShutdown):
		return errors.Wrap(ErrUnreachable, err.Error())
	case errors.Is(err, ErrMessageTooLarge), errors.Is(err, ErrMalformed):
		return err
	default:
		return errors.Wrap(ErrBroken, err.Error())
	}
}
