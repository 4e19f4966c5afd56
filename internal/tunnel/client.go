package tunnel

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/tcpconn"
)

const (
	// carrierDialTimeout is how long a carrier tries to connect to the server.
	carrierDialTimeout = 150 * time.Millisecond
	// carrierTimeout is how long a carrier may take to open a tunnel, or to say that it can't.
	carrierTimeout = 200 * time.Millisecond
	// maxCarrierTimeout applies while this VM's link is full.
	maxCarrierTimeout = 500 * time.Millisecond
	// openTimeout bounds the search for a carrier. It lets two of them not answer at all.
	openTimeout = 420 * time.Millisecond
	// maxCandidates bounds the routers that are considered as carriers for one connection.
	maxCandidates = 32
	// maxRefusals is how many routers may say, for one connection, that they don't reach the server.
	// Otherwise a server that ended would be asked for at every router by every other one.
	maxRefusals = 3
	// failureMemory is how long a router that opened no tunnel is asked after the others, and
	// successMemory how long one that did is asked before them.
	failureMemory = time.Second
	successMemory = 5 * time.Second
)

// ErrNoCarrier: no other router opened a tunnel.
var ErrNoCarrier = errors.New("tunnel: no carrier")

// Client opens tunnels through other routers. It is safe for concurrent use.
type Client struct {
	domain  string // failure domain of this router
	members func() []fleet.Member
	link    *linkdelay.Estimator
	now     func() time.Time

	mu       sync.Mutex
	outcomes map[string]outcome // by peer address
}

// outcome is the result of the last request to a router for a tunnel.
type outcome struct {
	at     time.Time
	opened bool
}

// isRecent reports whether the outcome still says something of the router.
func (o outcome) isRecent(now time.Time) bool {
	if o.opened {
		return now.Sub(o.at) < successMemory
	}
	return now.Sub(o.at) < failureMemory
}

// NewClient returns a client for a router in the given failure domain. members returns the other
// routers. The client reports to link how long carriers took. A nil now means time.Now.
func NewClient(domain string, members func() []fleet.Member, link *linkdelay.Estimator, now func() time.Time) *Client {
	if now == nil {
		now = time.Now
	}
	return &Client{domain: domain, members: members, link: link, now: now, outcomes: make(map[string]outcome)}
}

// Open connects to a server through another router and returns that router's name.
func (c *Client) Open(ctx context.Context, server *fleet.Server) (conn net.Conn, via string, err error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	err = ErrNoCarrier
	refusals := 0
	for _, carrier := range c.candidates(server.Domain) {
		if ctx.Err() != nil || refusals == maxRefusals {
			break
		}
		conn, err = c.openThrough(ctx, carrier.PeerAddress, Target{ID: server.ID, StartUnixMilli: server.StartUnixMilli})
		c.record(carrier.PeerAddress, err)
		if err == nil {
			return conn, carrier.Name, nil
		}
		if errors.Is(err, ErrUnreachable) {
			refusals++
		}
	}
	return nil, "", errors.Wrap(ErrNoCarrier, err.Error())
}

// candidates returns the routers to ask, in order: first those that opened a tunnel lately, last those
// that did not; then those that need the fewest transfers between failure domains; and otherwise at
// random, so that the load is spread.
func (c *Client) candidates(serverDomain string) []fleet.Member {
	members := c.members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.putOpenersFirst(members, now)
	members = members[:min(len(members), maxCandidates)]
	rank := func(m fleet.Member) int { return c.rank(m, serverDomain, now) }
	slices.SortStableFunc(members, func(a, b fleet.Member) int { return rank(a) - rank(b) })
	return members
}

// putOpenersFirst moves the routers that opened a tunnel lately to the front. c.mu must be held.
func (c *Client) putOpenersFirst(members []fleet.Member, now time.Time) {
	front := 0
	for i, m := range members {
		if last := c.outcomes[m.PeerAddress]; last.opened && last.isRecent(now) {
			members[front], members[i] = members[i], members[front]
			front++
		}
	}
}

// rank returns a router's place as a carrier to a server; the lowest comes first. c.mu must be held.
func (c *Client) rank(m fleet.Member, serverDomain string, now time.Time) int {
	const outcomeWeight = 2 // an outcome counts more than the distance
	rank := outcomeWeight
	if m.Domain != c.domain && m.Domain != serverDomain {
		rank++
	}
	last, known := c.outcomes[m.PeerAddress]
	switch {
	case !known || !last.isRecent(now):
	case last.opened:
		rank -= outcomeWeight
	default:
		rank += outcomeWeight
	}
	return rank
}

// openThrough asks one router for a tunnel.
func (c *Client) openThrough(ctx context.Context, address string, target Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.link.Timeout(carrierTimeout, maxCarrierTimeout))
	defer cancel()
	started := time.Now()
	raw, err := tcpconn.Dial(ctx, address)
	if os.IsTimeout(err) {
		c.link.ObserveTimeout(time.Since(started))
	}
	if err != nil {
		return nil, errors.Wrap(err, "connect to carrier")
	}
	c.link.Observe(time.Since(started))
	conn, err := handshake(ctx, raw, target)
	if err != nil {
		_ = raw.Close() // the handshake's error is the one to report
		return nil, err
	}
	return conn, nil
}

// handshake asks for the tunnel on an open connection to the carrier.
func handshake(ctx context.Context, raw net.Conn, target Target) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() }) // closing twice is harmless
	if _, err := raw.Write([]byte(target.encode())); err != nil {
		return nil, errors.Wrap(err, "ask carrier")
	}
	conn := newConn(raw)
	answer, err := conn.reader.ReadByte()
	if !stop() {
		return nil, errors.Wrap(ctx.Err(), "carrier did not answer")
	}
	if err != nil {
		return nil, errors.Wrap(err, "answer of carrier")
	}
	if err := status(answer).err(); err != nil {
		return nil, err
	}
	return conn, nil
}

// record remembers whether a router opened a tunnel.
func (c *Client) record(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	maps.DeleteFunc(c.outcomes, func(_ string, o outcome) bool { return !o.isRecent(now) })
	c.outcomes[address] = outcome{at: now, opened: err == nil}
}
