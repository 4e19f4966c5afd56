package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// What a backend server that names a limit may get.
const (
	// limitsEvery is the mean time between two servers that begin to name a limit, and
	// limitShortest and limitLongest bound for how long each limit is named.
	limitsEvery                 = 6 * time.Second
	limitShortest, limitLongest = 4 * time.Second, 9 * time.Second
	// limitBinds is when a limit binds, after it was first named. A router is bound from
	// limitTold on, after it passed on an answer that names it.
	limitBinds = 3 * time.Second
	limitTold  = 500 * time.Millisecond
	// limitWindow is the time in which requests are counted. Allowed is limitOver times the
	// limit, and limitExtra requests.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitExtra  = 5
)

// namedLimits are what servers name: usual ones, next to nothing, and no number.
var namedLimits = []string{"0", "0.3", "1.2", "1.6", "4", "none of it"}

// planLimits draws servers that name limits, of which some change meanwhile. It has random
// numbers of its own, so that a seed's other faults stay what they were.
func (f *fleet) planLimits(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(^seed, seed))
	var plan []fault
	for range int(duration / limitsEvery) {
		at := time.Duration(random.Int64N(int64(duration)))
		engine := random.IntN(len(f.engines))
		first, then := namedLimits[random.IntN(len(namedLimits))], namedLimits[random.IntN(len(namedLimits))]
		lasts := limitShortest + time.Duration(random.Int64N(int64(limitLongest-limitShortest)))
		changes := random.IntN(2) == 0
		plan = append(plan, fault{at: at, name: fmt.Sprintf("%s names a limit of %q", f.engines[engine].name, first), do: func(ctx context.Context) {
			f.nameLimit(engine, first)
			sleep(ctx, lasts)
			if changes {
				f.nameLimit(engine, then)
				sleep(ctx, lasts)
			}
			f.nameLimit(engine, "")
		}})
	}
	return plan
}

// nameLimit tells a stand-in which limit to name. One that is paused takes it later.
func (f *fleet) nameLimit(engine int, limit string) {
	response, err := http.Post("http://"+f.engineAt[engine]+enginestub.RateLimitPath, "text/plain", strings.NewReader(limit))
	if err == nil {
		_ = response.Body.Close() // a stand-in that is gone shows in its end
	}
}

// judgeLimits holds what each process of a stand-in got against the limits that it named.
func (f *fleet) judgeLimits() ([]string, error) {
	routerOf, err := f.routersOfRequests()
	if err != nil {
		return nil, err
	}
	var broken []string
	for i := range f.engines {
		evidence, err := f.evidenceOf(i)
		if err != nil {
			return nil, err
		}
		for _, report := range evidence.Processes {
			for _, over := range overruns(report, routerOf) {
				broken = append(broken, f.engines[i].name+": "+over)
			}
		}
	}
	return broken, nil
}

// routersOfRequests reads from the routers' logs which process served each request.
func (f *fleet) routersOfRequests() (map[string]string, error) {
	routerOf := make(map[string]string)
	for _, r := range f.routers {
		log, err := os.ReadFile(r.log)
		if err != nil {
			return nil, errors.Wrap(err, r.name)
		}
		lines := bufio.NewScanner(bytes.NewReader(log))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line := struct{ Request, Process string }{}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Request != "" {
				routerOf[line.Request] = line.Process
			}
		}
		if lines.Err() != nil {
			return nil, errors.Wrap(lines.Err(), r.name)
		}
	}
	return routerOf, nil
}

// overruns finds the spans of one limit in which a server got more than that allows, from
// the processes that it had told.
func overruns(report enginestub.ProcessActivity, routerOf map[string]string) []string {
	var found []string
	for i, named := range report.RateLimits {
		perSecond, err := strconv.ParseFloat(named.Limit, 64)
		if err != nil {
			continue // none, or no number
		}
		end := time.Now()
		if i+1 < len(report.RateLimits) {
			end = report.RateLimits[i+1].At
		}
		got := mostTold(spanOf(report.Arrivals, named.At, end), routerOf, named.At.Add(limitBinds))
		if allowed := limitOver*perSecond*limitWindow.Seconds() + limitExtra; float64(got) > allowed {
			found = append(found, fmt.Sprintf("limit %s named at %v: %d requests in %v, %.1f allowed",
				named.Limit, named.At.Format(time.StampMilli), got, limitWindow, allowed))
		}
	}
	return found
}

// spanOf are the requests that arrived in a span of time.
func spanOf(arrivals []enginestub.Arrival, from, to time.Time) []enginestub.Arrival {
	var span []enginestub.Arrival
	for _, a := range arrivals {
		if !a.At.Before(from) && a.At.Before(to) {
			span = append(span, a)
		}
	}
	return span
}

// mostTold is the most requests within any window that ends no earlier than the limit
// binds, of processes that were told before.
func mostTold(arrivals []enginestub.Arrival, routerOf map[string]string, binds time.Time) int {
	told := make(map[string]time.Time)
	for _, a := range arrivals {
		router := routerOf[a.Request]
		if at, known := told[router]; !a.Answered.IsZero() && (!known || a.Answered.Before(at)) {
			told[router] = a.Answered
		}
	}
	var counted []time.Time
	for _, a := range arrivals {
		if at, known := told[routerOf[a.Request]]; known && a.At.Sub(at) >= limitTold {
			counted = append(counted, a.At)
		}
	}
	most := 0
	for i, last := range counted {
		if last.Before(binds) {
			continue
		}
		n := 0
		for _, at := range counted[:i+1] {
			if last.Sub(at) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
