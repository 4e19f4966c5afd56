package upstream

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Guards against limits that are misread: nonsense taken for a rate, or for the limit's end.
func TestRateLimitsAreRead(t *testing.T) {
	named := func(perSecond float64) fleet.RateLimit {
		return fleet.RateLimit{State: fleet.LimitPresent, PerSecond: perSecond}
	}
	unreadable := fleet.RateLimit{State: fleet.LimitInvalid}
	for _, c := range []struct {
		values []string
		want   fleet.RateLimit
	}{
		{nil, fleet.RateLimit{}},
		{[]string{"1.2"}, named(1.2)},
		{[]string{" 0.3 "}, named(0.3)},
		{[]string{"0"}, named(0)},
		{[]string{"3", "1.5"}, named(1.5)},
		{[]string{""}, unreadable},
		{[]string{"-1"}, unreadable},
		{[]string{"NaN"}, unreadable},
		{[]string{"Inf"}, unreadable},
		{[]string{"a few"}, unreadable},
		{[]string{"2, 1"}, unreadable},
	} {
		codec := HeaderCodec{Names: HeaderNames{RateLimit: "X-Rate"}}
		header := http.Header{"X-Rate": c.values}
		qt.Check(t, codec.ParseMeta(http.StatusOK, header).RateLimit, qt.Equals, c.want, qt.Commentf("%q", c.values))
	}
}
