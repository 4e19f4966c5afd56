package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/callerconn"
	"chicorytiller.example/chicorytiller/internal/callers"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/inbound"
	"chicorytiller.example/chicorytiller/internal/intake"
	"chicorytiller.example/chicorytiller/internal/store"
)

// listener is one HTTP listener and its server.
type listener struct {
	ln     net.Listener
	server *http.Server
	log    *event.Log
}

// Limits on connections from callers. idleTimeout is longer than the idle time that callers are
// configured for: a router that closes a connection later than they expect loses no requests.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 64 << 10
)

func (n *Node) callerRouter() callers.Router {
	return callers.Router{
		Serve: n.serve, Refuse: n.forward.Refuse, MaxBodyBytes: n.bodyLimit, ShuttingDown: n.stopping.Load, Policy: n.policy.Load,
		BodyTime: n.bodyTime, CheckHead: n.forward.CheckHead,
		Resolve: n.resolve, EntryTTL: n.settings.EntryTTL,
		OnNewEra: func(observe func(store.Era)) { n.eraObservers = append(n.eraObservers, observe) },
	}
}

// Listen opens the listeners. Port 0 in an address selects a free port; Settings returns the
// actual addresses afterwards.
func (n *Node) Listen() error {
	handlers := []struct {
		address *string
		handler http.Handler
	}{
		{&n.settings.CallerAddr, n.env.CallerHandler(n.callerRouter())},
		{&n.settings.ReadyAddr, inbound.WithoutBody(n.env.ReadyHandler(n.Ready))},
		{&n.settings.DirectoryAddr, inbound.WithoutBody(n.env.DirectoryHandler(n.resolve, n.settings.EntryTTL))},
		{&n.settings.MetricsAddr, inbound.WithoutBody(n.metrics.Handler())},
	}
	for _, h := range handlers {
		l, err := listenOn(h.address)
		if err != nil {
			n.closeListeners()
			return err
		}
		if h.address == &n.settings.CallerAddr {
			n.intake.listener = &intake.Listener{TCPListener: l.(*net.TCPListener)}
			n.callerConns.Listener = n.intake.listener
			l = n.callerConns
		} else {
			l = &callerconn.Listener{Listener: l}
		}
		l = &inbound.Listener{Listener: l, Pool: n.inbound}
		server := &http.Server{Handler: inbound.Handler(h.handler), ConnContext: inbound.ConnContext, ConnState: inbound.ConnState, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		n.listeners = append(n.listeners, &listener{ln: l, server: server, log: n.log})
	}
	peerListener, err := listenOn(&n.settings.PeerAddr)
	if err != nil {
		n.closeListeners()
		return err
	}
	n.peerListener = &inbound.Listener{Listener: peerListener, Pool: n.peerPool}
	return nil
}

// listenOn opens a listener and stores its actual address in *address.
func listenOn(address *string) (net.Listener, error) {
	l, err := net.Listen("tcp", *address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	*address = l.Addr().String()
	return l, nil
}

func (n *Node) closeListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, l := range n.listeners {
		l.close(ctx)
	}
	if n.peerListener != nil {
		_ = n.peerListener.Close() // the process is about to exit
	}
}

func (l *listener) serve() {
	if err := l.server.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
		l.log.Emit(event.ListenerFailed, slog.String("address", l.ln.Addr().String()), slog.Any(event.KeyCause, err))
	}
}

// closeTimeout is the time for responses in progress to complete, over all listeners.
const closeTimeout = 100 * time.Millisecond

// close shuts the server down. Responses in progress may complete until ctx ends.
func (l *listener) close(ctx context.Context) {
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close() // the process is about to exit
	}
}
