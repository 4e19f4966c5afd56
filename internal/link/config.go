// Package link carries calls between routers: net/rpc over TCP (optionally with
// mutual TLS), with msgpack as codec. Peers prove to each other that they hold a
// shared key before the first call. A call always ends by its deadline, and its
// error tells whether the peer may have run it.
//
// Registered receivers follow net/rpc's rules: methods of the form
// func (T) Name(args *Args, reply *Reply) error, on exported types. Message types
// embed Envelope.
package link

import (
	"crypto/tls"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Versions of the protocol that this program speaks. Two peers use the highest
// version that both speak, so that a fleet can be upgraded router by router.
const (
	Version    = 1
	MinVersion = 1
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes  = 1 << 20
	DefaultMaxQueuedBytes   = 8 << 20
	DefaultMaxInFlight      = 512
	DefaultMaxConnections   = 2048
	DefaultCallTimeout      = 2 * time.Second
	DefaultDialTimeout      = time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultWriteTimeout     = 2 * time.Second
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
	DefaultCloseTimeout     = 5 * time.Second
)

// Clock is the Lamport clock that messages carry; *event.Log is one.
type Clock interface {
	Tick() uint64
	Observe(remote uint64)
}

// FaultAction is what a test makes of one message. The zero action sends it.
type FaultAction struct {
	Drop  bool          // lose the message
	Cut   bool          // break the connection
	Delay time.Duration // hold this message and those behind it
}

// Config is shared by Server and Pool. Keys is needed; a zero field elsewhere
// means its default.
type Config struct {
	// Address is this router's own listening address, "IP:port". Peers and Fault
	// know it by this name.
	Address string
	// Self names this router in every message. It is a function because a router
	// that fences itself goes on under a new incarnation.
	Self  func() id.Router
	Keys  *Keyring
	Clock Clock

	// ServerTLS and ClientTLS switch TLS on. For mutual TLS the first sets
	// ClientCAs and ClientAuth, the second Certificates and RootCAs.
	ServerTLS *tls.Config
	ClientTLS *tls.Config

	MaxMessageBytes  int           // of one message; larger ones are refused
	MaxQueuedBytes   int           // waiting to be written to one connection
	MaxInFlight      int           // calls that one connection's peer may have running here
	MaxConnections   int           // accepted at once
	CallTimeout      time.Duration // of a Call whose context has no deadline
	DialTimeout      time.Duration // until TCP is connected
	HandshakeTimeout time.Duration // for TLS and authentication
	WriteTimeout     time.Duration // of one write; past it the connection is closed
	MinBackoff       time.Duration // between dials of an unreachable peer, doubled up to MaxBackoff
	MaxBackoff       time.Duration
	CloseTimeout     time.Duration // for which Server.Close waits for running calls

	// Fault lets tests cause partitions in process. It is asked for each message
	// and each dial with the addresses of both ends. Nil in production.
	Fault func(from, to string) FaultAction

	// minVersion and version narrow the spoken versions in tests.
	minVersion int
	version    int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	setDefault(&c.CloseTimeout, DefaultCloseTimeout)
	setDefault(&c.minVersion, MinVersion)
	setDefault(&c.version, Version)
	if c.Self == nil {
		c.Self = func() id.Router { return id.Router{} }
	}
	if c.Clock == nil {
		c.Clock = noClock{}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type noClock struct{}

func (noClock) Tick() uint64   { return 0 }
func (noClock) Observe(uint64) {}
