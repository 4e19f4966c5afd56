package admission

import "time"

// news is what is known of one server.
type news struct {
	signal     Signal
	at         time.Time
	rejectedAt time.Time // zero if it rejected no request
}

// full reports whether the server says that it has no free slot.
func (n news) full() bool {
	if n.signal.HasLoad {
		l := n.signal.Load
		return l.Waiting > 0 || l.Slots > 0 && l.Running >= l.Slots
	}
	return n.signal.Rejected
}

// Pressure summarizes what a service's eligible servers reported within reportTTL.
type Pressure struct {
	Eligible int // servers that may get requests
	Known    int // those of them that reported
	Full     int // those of them without a free slot
	// Slots and Load are sums over the servers that reported slots: their slots, and their requests
	// running and waiting.
	Slots, Load float64
	// Rejecting is the number of servers whose latest response is recent and which rejected a request recently.
	Rejecting int
	// Age is the age of the oldest report that counts.
	Age time.Duration
}

// maxLoadPerSlot bounds the requests that count for one server, so that a single server with a long queue
// does not look like a shortage at all of them.
const maxLoadPerSlot = 3

// measure summarizes the news of the eligible servers.
func measure(known map[string]news, eligible []string, now time.Time) Pressure {
	p := Pressure{Eligible: len(eligible)}
	for _, incarnation := range eligible {
		n, found := known[incarnation]
		age := now.Sub(n.at)
		if !found || age >= reportTTL {
			continue
		}
		p.Known++
		p.Age = max(p.Age, age)
		if n.full() {
			p.Full++
		}
		if !n.rejectedAt.IsZero() && now.Sub(n.rejectedAt) < window {
			p.Rejecting++
		}
		if l := n.signal.Load; n.signal.HasLoad && l.Slots > 0 {
			slots := float64(l.Slots)
			p.Slots += slots
			p.Load += min(float64(l.Running+l.Waiting), maxLoadPerSlot*slots)
		}
	}
	return p
}

// enoughKnown reports whether the known servers stand for all: a quarter of them, and three if there
// are as many. A router of a large fleet hears only from some servers within reportTTL.
func (p Pressure) enoughKnown() bool {
	return p.Known > 0 && p.Known >= min(p.Eligible, 3) && 4*p.Known >= p.Eligible
}

// full reports whether all known servers are full.
func (p Pressure) full() bool {
	return p.enoughKnown() && p.Full == p.Known
}

const (
	// minRejected and minRejectedFraction are the rejections in a window that show a shortage, whatever
	// slots the reports tell: servers may lack memory. Fewer come from single servers or moments.
	minRejected         = 3.0
	minRejectedFraction = 0.2
)

// rejecting reports whether servers reject so much that capacity must be short: several requests, a
// fifth of the traffic, at half of the servers that answer.
func (p Pressure) rejecting(rejected, answered float64) bool {
	return rejected >= minRejected && rejected >= minRejectedFraction*answered && p.Known > 0 && 2*p.Rejecting >= p.Known
}
