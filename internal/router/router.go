// Package router puts one router together: the decision core and its control
// goroutine, the callers' and the operators' listeners, the link to the other
// routers, and the followers of the configuration, the VM list and load reports.
package router

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/backend/httpbackend"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/control"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/gateway"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/link"
	"chicorytiller.example/chicorytiller/internal/opsapi"
	"chicorytiller.example/chicorytiller/internal/peer"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settings"
)

// ErrFenced: others declared this incarnation dead and settled it. Start a new one.
var ErrFenced = errors.New("router: sealed by others")

// readyPoll is the time between looks whether this router is ready; short against
// the seconds of a start, so that event 101 tells when it was.
const readyPoll = 50 * time.Millisecond

// Options are what a router needs beside its settings.
type Options struct {
	KV  platform.KV
	VMs platform.VMList
	// Output gets the events of this router, as JSON lines.
	Output io.Writer
	// Listeners, where set, are used in place of the settings' addresses.
	Listeners Listeners
}

// Router is one running router process.
type Router struct {
	settings  *settings.Router
	options   Options
	events    *event.Log
	self      id.Router
	listeners Listeners
	registry  *prometheus.Registry

	loop    *control.Loop
	store   *config.Store
	ledger  *ledger.Ledger
	backend *httpbackend.Client
	server  *link.Server
	pool    *link.Pool
	callers *gateway.Server
	ops     *opsapi.Server

	ctx    context.Context // ends when the router stops
	cancel context.CancelFunc
	work   conc.WaitGroup
}

// New makes a router and binds its listeners, but serves nothing yet.
func New(s *settings.Router, options Options) (*Router, error) {
	listeners, err := listen(s, options.Listeners)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings:  s,
		options:   options,
		listeners: listeners,
		registry:  prometheus.NewRegistry(),
		self:      id.Router{VM: s.Router.VM, Incarnation: id.Incarnation(time.Now().UnixNano())},
		store:     config.NewStore(options.KV, time.Now),
		backend:   httpbackend.New(httpbackend.Config{DialTimeout: s.Backends.ConnectTimeout}),
	}
	r.events = event.New(options.Output, r.self.String(), s.Log.Level, nil)
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.build(); err != nil {
		r.listeners.close()
		return nil, err
	}
	return r, nil
}

func (r *Router) build() error {
	if err := r.buildLink(); err != nil {
		return err
	}
	cfg := r.coreConfig()
	r.ledger = ledger.New(r.options.KV, cfg.BudgetShards, cfg.Budget)
	r.loop = control.New(core.New(cfg, time.Now()), control.Ports{
		KV:        r.options.KV,
		Ledger:    r.ledger,
		Claims:    ledger.NewClaims(r.options.KV, cfg.ClaimShards, claimRetention, time.Now),
		Peers:     peer.NewCaller(r.pool),
		Engine:    r.backend,
		Events:    r.events,
		Now:       time.Now,
		KVTimeout: r.settings.Platform.Timeout,
	}, control.NewMetrics(r.registry))
	if err := peer.Register(r.server, r.loop); err != nil {
		return errors.Wrap(err, "router: link")
	}
	return r.buildListeners()
}

func (r *Router) buildLink() error {
	current, also, err := r.settings.Peers.ReadSharedKeys()
	if err != nil {
		return errors.Wrap(err, "router: shared key")
	}
	keys, err := link.NewKeyring(current, also...)
	if err != nil {
		return errors.Wrap(err, "router: shared key")
	}
	serverTLS, clientTLS, err := r.settings.Peers.TLSConfigs()
	if err != nil {
		return errors.Wrap(err, "router: peers' TLS")
	}
	cfg := link.Config{
		Address:   r.LinkAddress(),
		Self:      func() id.Router { return r.self },
		Keys:      keys,
		Clock:     r.events,
		ServerTLS: serverTLS,
		ClientTLS: clientTLS,
	}
	cfg = withLinkBounds(cfg)
	r.server = link.NewServer(cfg)
	r.pool = link.NewPool(cfg)
	return nil
}

func (r *Router) buildListeners() error {
	callers, err := gateway.New(gateway.Config{
		BodyLimit:    r.settings.Callers.BodyLimitBytes,
		ReadTimeout:  r.settings.Callers.ReadTimeout,
		WriteTimeout: r.settings.Callers.WriteTimeout,
		MaxDeadline:  r.settings.Callers.Deadline,
		EntryTTL:     r.settings.Callers.EntryTTL,
	}, r.loop, r.backend, r.backend, r.events, r.registry)
	if err != nil {
		return err
	}
	r.callers = callers
	r.ops = r.newOperators()
	return nil
}

// Run serves until ctx ends, then stops as planned: no request in flight is cut.
// It returns ErrFenced when others sealed this router meanwhile.
func (r *Router) Run(ctx context.Context) error {
	r.events.Emit(event.ProcessStarted, r.startAttrs()...)
	r.start()
	defer r.stop()
	select {
	case reason := <-r.loop.Fenced():
		r.endFenced()
		return errors.WithMessage(ErrFenced, reason)
	case <-ctx.Done():
		return r.drain()
	}
}

// start sets all goroutines going. Each ends when r.ctx does, or when its
// listener is closed.
func (r *Router) start() {
	r.work.Go(r.loop.Run)
	r.work.Go(func() { r.report(r.server.Serve(r.listeners.Link)) })
	r.work.Go(func() { r.report(r.callers.Serve(r.listeners.Callers)) })
	r.work.Go(func() { r.report(r.ops.Serve(r.listeners.Operators)) })
	r.work.Go(r.followConfig)
	r.work.Go(r.followVMs)
	r.work.Go(r.pollLoad)
	r.work.Go(r.announceReady)
}

// announceReady tells once that this router serves: it has a configuration, knows
// the fleet and has a witness.
func (r *Router) announceReady() {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !r.loop.Snapshot().Ready {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
	r.events.Emit(event.ProcessReady)
}

// stop ends what start set going.
func (r *Router) stop() {
	_ = r.ops.Shutdown()
	r.cancel()
	r.loop.Stop()
	_ = r.server.Close()
	_ = r.pool.Close()
	r.backend.Close()
	r.listeners.close()
	r.work.Wait()
	r.events.Emit(event.ProcessStopped)
}

// endFenced lets the requests in flight get their error answers.
func (r *Router) endFenced() {
	ctx, cancel := context.WithTimeout(context.Background(), fencedWait)
	defer cancel()
	_ = r.callers.Shutdown(ctx)
}

func (r *Router) report(err error) {
	if err != nil && r.ctx.Err() == nil {
		r.events.Emit(event.ListenerFailed, errAttr(err))
	}
}

// Self is this router's id.
func (r *Router) Self() id.Router {
	return r.self
}

// CallerAddress is the address that callers reach.
func (r *Router) CallerAddress() string {
	return r.advertised(r.listeners.Callers)
}

// LinkAddress is the address that other routers reach.
func (r *Router) LinkAddress() string {
	return r.advertised(r.listeners.Link)
}

// OperatorAddress is the address that operators reach.
func (r *Router) OperatorAddress() string {
	return r.listeners.Operators.Addr().String()
}

// advertised is the settings' IP number with the port that is really bound.
func (r *Router) advertised(l net.Listener) string {
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return l.Addr().String()
	}
	return net.JoinHostPort(r.settings.Router.AdvertiseIP.String(), port)
}

// Snapshot is the configuration and fleet state in force at this router.
func (r *Router) Snapshot() *core.Snapshot {
	return r.loop.Snapshot()
}
