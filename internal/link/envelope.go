package link

import (
	"context"
	"reflect"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Envelope is embedded in every message. Pool and Server fill it on sending.
type Envelope struct {
	From    id.Router `msgpack:"_from"`
	Clock   uint64    `msgpack:"_clock"`   // Lamport clock of the sender
	Version int       `msgpack:"_version"` // protocol version agreed for the connection
	// TimeoutMS is what was left until the caller's deadline when it sent the
	// message; zero in replies. Durations need no agreement of the VMs' clocks.
	TimeoutMS int64 `msgpack:"_timeout,omitempty"`
}

// Context gives a receiver a context that ends when the caller stops waiting.
func (e Envelope) Context(parent context.Context) (context.Context, context.CancelFunc) {
	if e.TimeoutMS <= 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, time.Duration(e.TimeoutMS)*time.Millisecond)
}

func (e *Envelope) envelope() *Envelope { return e }

// enveloped is every pointer to a struct that embeds Envelope.
type enveloped interface{ envelope() *Envelope }

// withEnvelope gives a shallow copy of message that carries e. The copy is what
// lets one message be sent to many peers at once: filling the original in place
// would be a data race, and one peer would read another's envelope.
func withEnvelope(message any, e Envelope) any {
	value := reflect.ValueOf(message)
	if value.Kind() == reflect.Pointer && !value.IsNil() {
		value = value.Elem()
	}
	if value.Kind() != reflect.Struct {
		return message
	}
	copied := reflect.New(value.Type())
	stamped, ok := copied.Interface().(enveloped)
	if !ok {
		return message
	}
	copied.Elem().Set(value)
	*stamped.envelope() = e
	return stamped
}

func observe(clock Clock, message any) {
	if received, ok := message.(enveloped); ok {
		clock.Observe(received.envelope().Clock)
	}
}
