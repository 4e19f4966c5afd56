package core

import (
	"strconv"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// numberBase writes serial numbers short.
const numberBase = 36

// newRequestID makes an id that no other router and no other incarnation makes.
func (c *Core) newRequestID() id.Request {
	c.serial++
	return id.Request("req-" + string(c.self.VM) + "-" +
		strconv.FormatUint(uint64(c.self.Incarnation), numberBase) + "-" +
		strconv.FormatUint(c.serial, numberBase))
}

// attemptID names one dispatch. The router is part of it: two routers may run
// the same request one after the other.
func attemptID(request id.Request, self id.Router, number int) id.Attempt {
	return id.Attempt(string(request) + "." + string(self.VM) + "-" +
		strconv.FormatUint(uint64(self.Incarnation), numberBase) + "." + strconv.Itoa(number))
}

// outcomeOf says what a backend server's error leaves known. Only a call that
// surely was not run is reported as such; a timeout or a cut leaves it open.
func outcomeOf(err error) Outcome {
	if errors.Is(err, backend.ErrNotRun) || errors.Is(err, backend.ErrRejected) {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
