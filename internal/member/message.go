// Package member is a router's view of the other routers: which are alive, where
// they are reached, and which of them is responsible for what. It is a pure state
// machine: View.Step takes the time and an event, and returns actions.
//
// Each router sends a heartbeat to a few others each period, and is answered with
// one. A heartbeat also carries a sample of what its sender heard of others, and
// how long ago. A peer is suspected only when nothing was heard of it for
// SuspectAfter, neither from itself nor by others, so that the loss of one link,
// or of one direction of it, changes nobody's view.
//
// No promise to callers rests on a view: a suspected router may be alive, and one
// that counts as alive may be dead.
package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/id"
)

// State is what a router says of itself.
type State string

// States of a router.
const (
	Serving  State = "serving"
	Draining State = "draining"
)

// Info is what a router tells of itself. Seq grows with each change within an
// incarnation. The configuration's revision is not in it: it changes too often to
// be relayed, and travels only in the router's own heartbeats.
type Info struct {
	Router        id.Router        `msgpack:"r"`
	Seq           uint32           `msgpack:"s"`
	FailureDomain id.FailureDomain `msgpack:"d"`
	Region        string           `msgpack:"g,omitempty"`
	CallerAddress string           `msgpack:"c"` // "IP:port"
	LinkAddress   string           `msgpack:"l"` // "IP:port"
	State         State            `msgpack:"t"`
	Witness       id.Router        `msgpack:"w"` // holds this router's bills
}

// newer tells whether i replaces other, which is of the same VM.
func (i Info) newer(other Info) bool {
	if i.Router.Incarnation != other.Router.Incarnation {
		return i.Router.Incarnation > other.Router.Incarnation
	}
	return i.Seq > other.Seq
}

// Digest names one Info in a few bytes. Two of 440 routers share one with a
// probability of about 2 in 100,000; then one's evidence may count for the other,
// and its death be noticed only by those that it doesn't answer.
type Digest uint32

func (i Info) digest() Digest {
	var numbers [12]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(i.Router.Incarnation))
	binary.BigEndian.PutUint32(numbers[8:], i.Seq)
	hash := xxhash.New()
	_, _ = hash.WriteString(string(i.Router.VM)) // never fails
	_, _ = hash.Write(numbers[:])
	return Digest(hash.Sum64())
}

// ageUnit is the unit of ages in heartbeats; one byte then reaches 63 s.
const (
	ageUnit = 250 * time.Millisecond
	maxAge  = 255
)

// Report is one router's Info as told by another, and how long ago, in ageUnit,
// its sender had evidence that the router was alive.
type Report struct {
	Info Info  `msgpack:"i"`
	Age  uint8 `msgpack:"a"`
}

// Heartbeat is what routers send and answer each other.
type Heartbeat struct {
	Sender   Info        `msgpack:"s"`
	Count    uint64      `msgpack:"n"` // grows with each heartbeat of an incarnation
	Revision id.Revision `msgpack:"v"` // of the configuration in force at the sender

	// Probe asks only whether the receiver lives: neither it nor its answer tells
	// of others, which keeps it small.
	Probe bool `msgpack:"q,omitempty"`

	// Heard and Ages are the sample: digests, and how long ago in ageUnit there
	// was evidence of each. Ages is a byte string, so that an entry costs 6 bytes.
	Heard []Digest `msgpack:"h,omitempty"`
	Ages  []byte   `msgpack:"a,omitempty"`

	// Usage is what the sender tells of client accounts (package limit). It travels
	// only in the router's own heartbeats, and is nothing to this package.
	Usage []byte `msgpack:"u,omitempty"`

	Wanted  []Digest `msgpack:"w,omitempty"` // digests unknown to the sender
	Reports []Report `msgpack:"p,omitempty"` // those that the receiver wanted before
}

// ageAt rounds up: evidence that is relayed in a circle then ages at each step,
// and can't keep a dead router alive.
func ageAt(now, heard time.Time) uint8 {
	units := now.Sub(heard)/ageUnit + 1
	if units > maxAge {
		return maxAge
	}
	return uint8(max(units, 1))
}

func heardAt(now time.Time, age uint8) time.Time {
	return now.Add(-time.Duration(age) * ageUnit)
}
