// Package admission decides which requests get the capacity of a service's backend servers while it
// is short: by priority, by the fair shares of client accounts, by deadline and by the work that
// requests need. Each router decides alone, from what servers report in their responses and from its
// own requests in progress. While a service is not short of capacity, all its requests pass at once.
//
// Gate and what it is made of are pure: every method gets the time. Controller is the concurrent
// shell around one Gate per service, in which requests wait.
package admission

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Request describes a request that asks to be admitted.
type Request struct {
	Service string
	// Route is the name of the request's route. Requests of one route and of similar work are expected to take
	// equally long.
	Route string
	// Account is the client account; empty if there is none.
	Account string
	// Arrived is when the request arrived at the router; zero if unknown.
	Arrived time.Time
	// Whole is set if Goal is for the whole answer, not for its first event.
	Whole bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// Goal is the time in which the caller wants the answer to begin; zero if it states none. It
	// bounds the wait for admission.
	Goal time.Duration
	// Work is the predicted work in any unit that is the same for all requests of the service, such
	// as tokens; zero if unknown.
	Work float64
}

// Signal is what a response of a backend server says about the server's load.
type Signal struct {
	Incarnation string // of the server
	Load        fleet.Load
	HasLoad     bool
	// Rejected is set if the server did not run the request.
	Rejected bool
}

// Outcome is what became of an admitted request.
type Outcome struct {
	// Served is set if a server answered the request with success.
	Served bool
	// Unsent is set if the request was not sent to a server. Its part of its class's share is returned.
	Unsent bool
	// Took is the time from sending the request to the end of its answer; set only if Served is.
	Took time.Duration
}

// Cause is why a request is not admitted.
type Cause string

// Causes of refusals.
const (
	// Late: the request would not be answered before its deadline.
	Late Cause = "late"
	// OverShare: the requests of its class and account have used their share of the capacity.
	OverShare Cause = "over share"
	// Full: no capacity becomes free within the time that the request may wait.
	Full Cause = "full"
	// Abandoned: the caller left while the request waited. This is no refusal.
	Abandoned Cause = "abandoned"
)

// Refusal is the decision not to admit a request.
type Refusal struct {
	Cause Cause
	// RetryAfter is the time after which capacity for the request's class is expected.
	RetryAfter time.Duration
}

// RefuseWithin is the time since a request's arrival in which it is to be refused if there is no capacity for it.
const RefuseWithin = 100 * time.Millisecond

const (
	// reportTTL is how long a report or a rejection says something about its server. It is the age up
	// to which the choice of servers uses load reports.
	reportTTL = 1500 * time.Millisecond
	// window is the time constant over which demand and use are averaged.
	window = time.Second
	// waitFraction of a request's goal is the longest time that it may wait for admission: nine tenths
	// are left for the server.
	waitFraction = 0.1
	// maxKept is the time since a request's arrival at which its wait ends at the latest. Callers are to have a refusal
	// within RefuseWithin, of which a quarter is left for the answer.
	maxKept = RefuseWithin * 3 / 4
	// leastUrgentShare of the capacity is left to requests that are not the most urgent, if they ask
	// for it, so that a flood of urgent requests starves nobody.
	leastUrgentShare = 0.1
	// leastServedShare is how often the attempts of a level are served at least, as a part of how often all are.
	// No account is to be served less than a quarter as often as all. Refused requests return once, so those that
	// are served least make some 1.15 times as many attempts as all: a quarter of the requests is 0.22 of the attempts,
	// and 0.01 is for chance.
	leastServedShare = 0.23
	// goalPart of the goal is the mean time that an answer may take, with its wait for a slot, before requests are
	// refused. The rest is for what varies between servers and moments.
	goalPart = 0.45
	// maxSlack keeps the queues below maxLoadPerSlot, beyond which servers reject requests.
	maxSlack = 2.0
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter. A caller that comes back sooner finds
	// the same state; a prediction for more than some seconds is not reliable.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxWaiting is the number of requests per service that may wait at once, which bounds memory. The
	// bound on the wait of each normally keeps the number far below it.
	maxWaiting = 256
	// maxClasses bounds the number of classes (priority, size, account) whose use is counted.
	maxClasses = 4096
)

// Order ranks requests: those with a lower level get capacity first. Levels are from 0 to maxLevel.
type Order func(Request) int

const maxLevel = 15

// ByPriority is the order in use: the most urgent priority first.
func ByPriority(r Request) int {
	return min(max(r.Priority, 0), maxLevel)
}
