package soak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// Guards against a soak that passes because its limit check doesn't count the requests.
func TestLimitViolationsAreFound(t *testing.T) {
	limitStart := time.Now().Add(-time.Minute)
	activity := enginestub.ProcessActivity{RateLimits: []enginestub.RateLimitChange{{At: limitStart, Limit: "1"}, {At: limitStart.Add(20 * time.Second), Limit: ""}}}
	routerByRequest := make(map[string]string)
	for i := range 100 { // one router, five requests a second
		at := limitStart.Add(time.Duration(i) * 200 * time.Millisecond)
		request := fmt.Sprint("r", i)
		routerByRequest[request] = "vm-1@p1"
		activity.Arrivals = append(activity.Arrivals, enginestub.Arrival{Request: request, At: at, Answered: at.Add(10 * time.Millisecond), Limit: "1"})
	}
	qt.Assert(t, limitViolations(activity, routerByRequest), qt.HasLen, 1)

	activity.RateLimits[0].Limit = "4" // allows 29 requests in four seconds
	qt.Assert(t, limitViolations(activity, routerByRequest), qt.HasLen, 0)
	activity.RateLimits[0].Limit = "a few"
	qt.Assert(t, limitViolations(activity, routerByRequest), qt.HasLen, 0)

	activity.RateLimits[0].Limit = "1"
	for request := range routerByRequest { // each from a router that has received no response before
		routerByRequest[request] = request
	}
	qt.Assert(t, limitViolations(activity, routerByRequest), qt.HasLen, 0)
}
