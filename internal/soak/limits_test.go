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
	for i := range 100 { // one router, five requests a second
		at := limitStart.Add(time.Duration(i) * 200 * time.Millisecond)
		activity.Arrivals = append(activity.Arrivals, enginestub.Arrival{Request: fmt.Sprint("r", i), Router: "vm-1@p1", At: at, Answered: at.Add(10 * time.Millisecond), Limit: "1"})
	}
	qt.Assert(t, limitViolations(activity), qt.HasLen, 1)

	activity.RateLimits[0].Limit = "4" // allows 29 requests in four seconds
	qt.Assert(t, limitViolations(activity), qt.HasLen, 0)
	activity.RateLimits[0].Limit = "a few"
	qt.Assert(t, limitViolations(activity), qt.HasLen, 0)

	activity.RateLimits[0].Limit = "1"
	for i := range activity.Arrivals { // each from a router that has received no response before
		activity.Arrivals[i].Router = fmt.Sprint("vm-1@p", i)
	}
	qt.Assert(t, limitViolations(activity), qt.HasLen, 0)
}

// Guards against requests of routers that were killed before they logged them being taken for those of
// one router, which a server had told its limit.
func TestRequestsOfKilledRoutersAreToldApart(t *testing.T) {
	limitStart := time.Now().Add(-time.Minute)
	activity := enginestub.ProcessActivity{RateLimits: []enginestub.RateLimitChange{{At: limitStart, Limit: "0"}}}
	arrive := func(router string, after time.Duration, answered bool) {
		a := enginestub.Arrival{Request: fmt.Sprint(router, after), Router: router, At: limitStart.Add(after), Limit: "0"}
		if answered {
			a.Answered = a.At
		}
		activity.Arrivals = append(activity.Arrivals, a)
	}
	arrive("vm-1@killed", 2*time.Second, true)
	for i := range 10 { // they reach the server when it goes on after a pause
		arrive(fmt.Sprint("vm-", i, "@not told"), 5*time.Second, false)
	}
	qt.Assert(t, limitViolations(activity), qt.HasLen, 0)
	for range 6 {
		arrive("vm-1@killed", 5*time.Second, false)
	}
	qt.Assert(t, limitViolations(activity), qt.HasLen, 1)
}
