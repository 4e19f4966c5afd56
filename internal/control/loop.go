// Package control runs the decision core: one goroutine steps it, carries out its
// actions and answers the traffic goroutines. All I/O is done by other goroutines,
// whose results come back as events.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Sizes and times of the loop.
const (
	queueLength     = 8192
	tickEvery       = 10 * time.Millisecond
	peerCallTimeout = time.Second
	awaitTimeout    = 4 * time.Second // of a call that waits for an answer elsewhere
	cancelTimeout   = time.Second
)

// ErrStopped: the loop has ended.
var ErrStopped = errors.New("control: loop has stopped")

// Peers sends messages to other routers.
type Peers interface {
	Call(ctx context.Context, address string, to id.Router, msg any) (any, error)
}

// Ports are what the loop does I/O with.
type Ports struct {
	KV     platform.KV
	Ledger *ledger.Ledger
	Claims *ledger.Claims
	Peers  Peers
	Engine backend.Engine
	Events *event.Log
	Now    func() time.Time
	// KVTimeout bounds each call of the platform's service.
	KVTimeout time.Duration
}

// Loop steps a core. It implements core.Gate.
type Loop struct {
	ports    Ports
	core     *core.Core
	queue    chan any // core.Event or inspection
	snapshot atomic.Pointer[core.Snapshot]
	fenced   chan string // closed after the reason was put in
	once     sync.Once

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	work   conc.WaitGroup

	tickets tickets
	metrics *Metrics
}

// inspection runs a function on the control goroutine.
type inspection struct {
	look func(*core.Core)
	done chan struct{}
}

// New makes a loop; Run starts it.
func New(c *core.Core, ports Ports, metrics *Metrics) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		ports:   ports,
		core:    c,
		queue:   make(chan any, queueLength),
		fenced:  make(chan string, 1),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		tickets: newTickets(),
		metrics: metrics,
	}
	l.snapshot.Store(&core.Snapshot{})
	return l
}

// Run steps the core until Stop. It returns when the calls under way have ended.
func (l *Loop) Run() {
	defer close(l.done)
	defer l.recoverCore()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	l.step(core.Tick{})
	for {
		select {
		case <-l.ctx.Done():
			l.end()
			return
		case <-ticker.C:
			l.step(core.Tick{})
		case item := <-l.queue:
			l.take(item)
		}
	}
}

// end wakes all who wait and lets the calls under way end.
func (l *Loop) end() {
	l.cancel()
	l.tickets.closeAll()
	l.work.Wait()
}

// Stop ends the loop and waits for it.
func (l *Loop) Stop() {
	l.cancel()
	<-l.done
}

// fence tells once that this router must end.
func (l *Loop) fence(reason string) {
	l.once.Do(func() { l.fenced <- reason })
}

// Fenced brings the reason when this router was sealed by others, or when its core
// panicked.
func (l *Loop) Fenced() <-chan string {
	return l.fenced
}

// Post hands an event to the control goroutine.
func (l *Loop) Post(ev core.Event) {
	l.post(ev)
}

func (l *Loop) post(item any) bool {
	select {
	case l.queue <- item:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Inspect runs look on the control goroutine and waits for it.
func (l *Loop) Inspect(look func(*core.Core)) error {
	i := inspection{look: look, done: make(chan struct{})}
	if !l.post(i) {
		return ErrStopped
	}
	select {
	case <-i.done:
		return nil
	case <-l.ctx.Done():
		return ErrStopped
	}
}

func (l *Loop) take(item any) {
	switch item := item.(type) {
	case inspection:
		item.look(l.core)
		close(item.done)
	case core.Event:
		l.step(item)
	}
}

func (l *Loop) step(ev core.Event) {
	started := l.ports.Now()
	for _, action := range l.core.Step(started, ev) {
		l.carryOut(action)
	}
	l.metrics.stepped()
}

// carryOut does one action. Nothing here waits.
func (l *Loop) carryOut(action core.Action) {
	switch a := action.(type) {
	case core.AdmitReply, core.DispatchReply, core.FinishReply, core.PeerReply:
		l.tickets.answer(a)
	case core.Publish:
		l.snapshot.Store(a.Snapshot)
	case core.Emit:
		l.metrics.count(a.Number)
		l.ports.Events.Emit(a.Number, a.Attrs...)
	case core.Fence:
		l.fence(a.Reason)
	default:
		l.work.Go(func() { l.doIO(a) })
	}
}
