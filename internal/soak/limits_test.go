package soak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// Guards against a soak that keeps its promises because it counts nothing.
func TestLimitViolationsAreFound(t *testing.T) {
	named := time.Now().Add(-time.Minute)
	report := enginestub.ProcessActivity{RateLimits: []enginestub.RateLimitChange{{At: named, Limit: "1"}, {At: named.Add(20 * time.Second), Limit: ""}}}
	routerOf := make(map[string]string)
	for i := range 100 { // one router, five a second
		at := named.Add(time.Duration(i) * 200 * time.Millisecond)
		request := fmt.Sprint("r", i)
		routerOf[request] = "vm-1@p1"
		report.Arrivals = append(report.Arrivals, enginestub.Arrival{Request: request, At: at, Answered: at.Add(10 * time.Millisecond), Limit: "1"})
	}
	qt.Assert(t, overruns(report, routerOf), qt.HasLen, 1)

	report.RateLimits[0].Limit = "4" // allows 29 in four seconds
	qt.Assert(t, overruns(report, routerOf), qt.HasLen, 0)
	report.RateLimits[0].Limit = "a few"
	qt.Assert(t, overruns(report, routerOf), qt.HasLen, 0)

	report.RateLimits[0].Limit = "1"
	for request := range routerOf { // each from a router that was told nothing before
		routerOf[request] = request
	}
	qt.Assert(t, overruns(report, routerOf), qt.HasLen, 0)
}
