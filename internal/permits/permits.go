// Package permits limits the requests in progress at fragile servers, which crash if all routers
// together make them reject too many requests. For each such server one router, the grantor, counts the
// requests of all routers, and a router sends one only with the grantor's permit. Rejections are
// therefore avoided, instead of being answered when it is too late: a server may crash under fewer
// rejections than there are routers.
package permits

import "time"

const (
	// MaxWait is the longest time that a request waits for a permit in a grantor's queue. It is
	// below the timeout of calls between routers.
	MaxWait = 100 * time.Millisecond
	// ReportInterval is how often a router reports its requests in progress to the grantors.
	ReportInterval = 400 * time.Millisecond
	// oldReportInterval is that of routers of older builds, whose reports don't tell it.
	oldReportInterval = 500 * time.Millisecond
	// oldBuildTTL is how long after such a report a grantor that takes over waits for others like it.
	oldBuildTTL = time.Minute
	// MaxGrantors is how many routers are asked for a permit: the grantor and, while those before them
	// have ended, the next in rank. In a small fleet two routers in a row are often ended at once.
	MaxGrantors = 4
	// MaxRelays is how many routers that have just started pass a request on to the next in rank.
	MaxRelays = 2
	// CutHoldOff is how long a router does not ask for permits of a server whose grantor it is cut off from.
	// Each such attempt takes a request's time and one of the few servers that it may ask for.
	CutHoldOff = time.Second
	// holderTTL is the longest time that the requests of a router count that was not heard of again. It
	// outlasts a report that is lost. It is shorter for a server whose requests are short.
	holderTTL = 2 * time.Second
	// silentAfter is the time after which a router that has requests in progress has missed a report.
	silentAfter = ReportInterval + 100*time.Millisecond
	// durationWindow is the time over which the longest exchange at a server is found.
	durationWindow = 5 * time.Second
	// staleAfter is how long a server's state stays valid without a message. Other routers may have granted
	// permits since.
	staleAfter = time.Second
	// lostAfter is how long after a grant its holder must know of it. It is longer than a call and
	// the wait for its late answer.
	lostAfter = 1500 * time.Millisecond
	// lingerTime is how long a server may work on a request that the router has given up.
	lingerTime = time.Second
	// takeoverTime is how long two routers may take themselves for the grantor of a server after the
	// list of routers has changed.
	takeoverTime = 3 * time.Second
	// idleTTL is how long the state of a server is kept that nobody asks for.
	idleTTL = time.Minute
)

// Server describes a fragile server, as the router knows it that asks for a permit.
type Server struct {
	Incarnation string
	Service     string
	// Slots is the number of requests that the server runs at the same time; zero if unknown.
	Slots int
	// Tolerated is the number of rejections per second that the server survives.
	Tolerated float64
}

// Request asks for a permit to send one request to a server.
type Request struct {
	Holder   string // incarnation of the router that asks
	Permit   uint64 // unique among the holder's permits
	Server   Server
	Priority int // 0 is the most urgent
	// Others is the number of the holder's requests in progress at the server without a permit: they
	// began before the server was known to be fragile.
	Others int
	// Wait is how long the request may wait in the queue, up to MaxWait.
	Wait time.Duration
	// Standby is set if the router that ranks before the grantor has ended.
	Standby bool
	// Relays is the number of routers that have passed the request on.
	Relays int
}

// Answer is the answer to a Request.
type Answer struct {
	Granted bool
	// RetryAfter is the time after which a permit may be granted. It is set only if Granted is not.
	RetryAfter time.Duration
	// HoldOff is the time for which the router should not ask again for requests that are not more
	// urgent, because the queue is full.
	HoldOff time.Duration
	// unreached is no part of the message: the router that asks sets it.
	unreached bool
}

// Unreached returns the answer for a request that reached no grantor.
func Unreached(retryAfter time.Duration) Answer {
	return Answer{RetryAfter: retryAfter, unreached: true}
}

// IsUnreached reports whether no grantor was reached.
func (a Answer) IsUnreached() bool { return a.unreached }

// Outcome is what became of a request that had a permit.
type Outcome int

const (
	// Served means that the server has answered, or did not get the request.
	Served Outcome = iota
	// Rejected means that the server rejected the request.
	Rejected
	// Abandoned means that the exchange ended before the answer did. The server may still work on it.
	Abandoned
)

// Release returns a permit.
type Release struct {
	Holder  string
	Permit  uint64
	Server  Server
	Outcome Outcome
	// Load is the number of requests that the server reported with its answer; zero if it reported none.
	Load int
}

// ID identifies a permit.
type ID struct {
	Holder string
	Permit uint64
}

// Usage tells a router's requests in progress at a server.
type Usage struct {
	Server  Server
	Permits []uint64 // of those that have one
	Others  int      // number of those without a permit
}

// Report tells a grantor the requests in progress of one router.
type Report struct {
	Holder string
	Usages []Usage
	// Standby is set if the router that ranks before the grantor has ended.
	Standby bool
	// Relays is the number of routers that have passed the report on.
	Relays int
	// Interval is the time between two reports of the holder; zero for routers of older builds.
	Interval time.Duration
}
