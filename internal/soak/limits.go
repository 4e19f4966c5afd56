package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// Rate limits that engines report, and the check that routers keep to them.
const (
	// meanLimitInterval is the mean time between the starts of two rate limits.
	// minLimitDuration and maxLimitDuration bound how long an engine reports one limit.
	meanLimitInterval                  = 6 * time.Second
	minLimitDuration, maxLimitDuration = 4 * time.Second, 9 * time.Second
	// limitCheckDelay is the time from the start of a limit until it is enforced by the check.
	// Requests of a router process count from routerGracePeriod after the engine sent the
	// process its first response that reports the limit.
	limitCheckDelay   = 3 * time.Second
	routerGracePeriod = 500 * time.Millisecond
	// limitWindow is the length of the sliding window in which requests are counted. In each
	// window, limitTolerance times the limit plus limitSlack requests are allowed.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitValues are the limits that engines report: usual values, very low ones and an invalid one.
var limitValues = []string{"0", "0.3", "1.2", "1.6", "4", "none of it"}

// planLimits draws faults that make an engine report a rate limit. About half of the limits
// change before they end. It has its own random generator, so that it doesn't change the other
// faults of a seed.
func (f *fleet) planLimits(seed uint64, duration time.Duration) []fault {
	rng := rand.New(rand.NewPCG(^seed, seed))
	var faults []fault
	for range int(duration / meanLimitInterval) {
		offset := time.Duration(rng.Int64N(int64(duration)))
		engine := rng.IntN(len(f.engines))
		initial, changed := limitValues[rng.IntN(len(limitValues))], limitValues[rng.IntN(len(limitValues))]
		limitDuration := minLimitDuration + time.Duration(rng.Int64N(int64(maxLimitDuration-minLimitDuration)))
		changes := rng.IntN(2) == 0
		faults = append(faults, fault{offset: offset, name: fmt.Sprintf("%s names a limit of %q", f.engines[engine].name, initial), run: func(ctx context.Context) {
			f.setLimit(engine, initial)
			sleep(ctx, limitDuration)
			if changes {
				f.setLimit(engine, changed)
				sleep(ctx, limitDuration)
			}
			f.setLimit(engine, "")
		}})
	}
	return faults
}

// setLimit sets the rate limit that an engine reports; "" ends it. A paused engine applies it
// after it resumes.
func (f *fleet) setLimit(engine int, limit string) {
	response, err := http.Post("http://"+f.engineAddrs[engine]+enginestub.RateLimitPath, "text/plain", strings.NewReader(limit))
	if err == nil {
		_ = response.Body.Close() // if the engine exited unexpectedly, recordExit reports it
	}
}

// checkLimits compares the requests that each engine process received with the rate limits
// that it reported, and returns the violations.
func (f *fleet) checkLimits() ([]string, error) {
	var violations []string
	for i := range f.engines {
		activity, err := f.activityLog(i)
		if err != nil {
			return nil, err
		}
		for _, process := range activity.Processes {
			for _, violation := range limitViolations(process) {
				violations = append(violations, f.engines[i].name+": "+violation)
			}
		}
	}
	return violations, nil
}

// limitViolations returns the reported limits that were exceeded by the router processes that
// had received them. Requests of other router processes don't count.
func limitViolations(activity enginestub.ProcessActivity) []string {
	var violations []string
	for i, change := range activity.RateLimits {
		perSecond, err := strconv.ParseFloat(change.Limit, 64)
		if err != nil {
			continue // no limit, or an invalid one
		}
		end := time.Now()
		if i+1 < len(activity.RateLimits) {
			end = activity.RateLimits[i+1].At
		}
		count := maxWindowCount(arrivalsBetween(activity.Arrivals, change.At, end), change.At.Add(limitCheckDelay))
		if allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
			violations = append(violations, fmt.Sprintf("limit %s reported at %v: %d requests in %v, %.1f allowed",
				change.Limit, change.At.Format(time.StampMilli), count, limitWindow, allowed))
		}
	}
	return violations
}

// arrivalsBetween returns the requests that arrived at or after from and before to.
func arrivalsBetween(arrivals []enginestub.Arrival, from, to time.Time) []enginestub.Arrival {
	var between []enginestub.Arrival
	for _, a := range arrivals {
		if !a.At.Before(from) && a.At.Before(to) {
			between = append(between, a)
		}
	}
	return between
}

// maxWindowCount returns the largest number of requests in any window of limitWindow that ends
// at or after checkFrom. It counts the requests of a router process from routerGracePeriod
// after the first response to that process.
func maxWindowCount(arrivals []enginestub.Arrival, checkFrom time.Time) int {
	respondedAt := make(map[string]time.Time)
	for _, a := range arrivals {
		if at, known := respondedAt[a.Router]; !a.Answered.IsZero() && (!known || a.Answered.Before(at)) {
			respondedAt[a.Router] = a.Answered
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		if at, known := respondedAt[a.Router]; known && a.At.Sub(at) >= routerGracePeriod {
			counted = append(counted, a.At)
		}
	}
	maxCount := 0
	for i, last := range counted {
		if last.Before(checkFrom) {
			continue
		}
		n := 0
		for _, at := range counted[:i+1] {
			if last.Sub(at) < limitWindow {
				n++
			}
		}
		maxCount = max(maxCount, n)
	}
	return maxCount
}
