package inbound

import (
	"context"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// ConnContext is the ConnContext of a server that serves a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request's context, nil without a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState is the ConnState of a server that serves a Listener.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.becameIdle()
	}
}

// lingerTime is how long the rest of a body that is not read may still arrive, so that its client gets the answer
// before the connection is reset.
const lingerTime = 500 * time.Millisecond

// RejectBody ends the connection after the answer, since the rest of the request's body isn't read. It must be
// called before the answer is written.
func RejectBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // fails only without a socket, in tests
	if c := FromContext(r.Context()); c != nil {
		c.reject()
	}
}

// Handler accounts for the requests of a Listener. The connection of one for which there is no memory is interrupted.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer func() { c.endRequest(time.Now()) }()
		if !c.beginRequest(r, time.Now()) {
			RejectBody(w, r)
		}
		next.ServeHTTP(w, r)
	})
}

// WithoutBody serves requests whose bodies mean nothing. None is read.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			RejectBody(w, r)
		}
		next.ServeHTTP(w, r)
	})
}
