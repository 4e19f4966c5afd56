package router

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/settings"
)

// Listeners are the sockets of a router.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Link      net.Listener
}

// listen binds what given does not have yet.
func listen(s *settings.Router, given Listeners) (Listeners, error) {
	l := given
	var err error
	if l.Callers == nil {
		if l.Callers, err = bind(s.Callers.Listen, s.Callers.TLS); err != nil {
			return l, errors.Wrap(err, "router: [callers] listen")
		}
	}
	if l.Operators == nil {
		if l.Operators, err = bind(s.Operators.Listen, s.Operators.TLS); err != nil {
			l.close()
			return l, errors.Wrap(err, "router: [operators] listen")
		}
	}
	if l.Link == nil {
		if l.Link, err = bind(s.Peers.Listen, settings.TLS{}); err != nil {
			l.close()
			return l, errors.Wrap(err, "router: [peers] listen")
		}
	}
	return l, nil
}

// bind listens on an address, with TLS where the settings say so.
func bind(address netip.AddrPort, files settings.TLS) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil || !files.Enabled() {
		return listener, err
	}
	cfg, err := files.ServerConfig()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, cfg), nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Operators, l.Link} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
