package enginestub

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Uneven makes an engine behave like one of many that share their machines with other workloads.
// The zero value switches all of it off.
type Uneven struct {
	Seed uint64 // of all random draws below; engines need different ones
	// Pace varies the time that work takes and reports it as the fourth figure of the load header.
	Pace bool
	// NonsenseShare is the share of load headers with a nonsensical pace, from 0 to 1. It
	// requires Pace.
	NonsenseShare float64
	// SlowBodyShare is the share of connections on which requests are read slowly, from 0 to 1.
	SlowBodyShare float64
	// MemoryTokens is the number of tokens of running requests and cached content that the engine
	// can hold; 0: unlimited.
	MemoryTokens int
	// ExitOutOfMemory ends the engine when its memory runs out, instead of preempting a request.
	ExitOutOfMemory bool
}

// ErrInvalidUneven is returned for values of Uneven that are out of their bounds.
var ErrInvalidUneven = errors.New("enginestub: invalid uneven behavior")

// Validate checks the bounds of the values.
func (u Uneven) Validate() error {
	switch {
	case !(u.NonsenseShare >= 0 && u.NonsenseShare <= 1):
		return errors.Wrapf(ErrInvalidUneven, "nonsense share %v is not between 0 and 1", u.NonsenseShare)
	case u.NonsenseShare > 0 && !u.Pace:
		return errors.Wrap(ErrInvalidUneven, "a nonsense share requires an uneven pace")
	case !(u.SlowBodyShare >= 0 && u.SlowBodyShare <= 1):
		return errors.Wrapf(ErrInvalidUneven, "slow body share %v is not between 0 and 1", u.SlowBodyShare)
	case u.MemoryTokens < 0:
		return errors.Wrapf(ErrInvalidUneven, "memory of %d tokens", u.MemoryTokens)
	case u.ExitOutOfMemory && u.MemoryTokens == 0:
		return errors.Wrap(ErrInvalidUneven, "an end by memory requires a memory")
	default:
		return nil
	}
}

// drawKind keeps the draws of the different kinds of behavior independent of each other.
type drawKind uint64

const (
	drawMachine  drawKind = iota + 1 // the machine's normal pace
	drawPhase                        // when its pace changes
	drawPace                         // the pace of a period
	drawReport                       // whether a load header is nonsensical
	drawNonsense                     // which value it then has
	drawSlowBody                     // whether a connection is read slowly
)

// draw returns a number in [0, 1) that depends only on the seed, the kind and n. Unlike a random
// generator, it gives the same values whatever the order of the calls.
func (u Uneven) draw(kind drawKind, n int64) float64 {
	return rand.New(rand.NewPCG(u.Seed^uint64(kind)<<56, uint64(n))).Float64()
}
