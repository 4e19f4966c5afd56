// Package inbound bounds what clients take of a router: its connections, and the memory of the requests on them.
//
// All listeners share one Pool. While there is room it does nothing. Where there is none, it ends connections that
// keep something and bring little: an ordinary request is complete within moments and finds room again.
package inbound

import (
	"cmp"
	"container/list"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds a pool. A bound of zero is none.
type Limits struct {
	// Connections is how many connections are open at a time.
	Connections int
	// RequestBytes is the memory of requests that are being received or served.
	RequestBytes int64
}

const (
	// smallRequest is the memory of a request that may use all of Limits.RequestBytes. Larger ones leave the part
	// above largeShare to small ones, so that a few of them keep nobody out.
	smallRequest = 64 << 10
	largeShare   = 0.75
	// reducedShare is the share of Limits.RequestBytes down to which requests are ended once there is no room, so
	// that not every following one has to look for room again.
	reducedShare = 0.6
	// newcomerTime is how long a connection may be without a whole request before it counts as one that stalls.
	newcomerTime = time.Second
	// stallTimeout is how long a client may send nothing of a request that it has begun.
	stallTimeout = 30 * time.Second
	// maxWait is how long a request waits for the memory of others that have been ended.
	maxWait = time.Second
	// CheckInterval is the time between two searches for clients that stall.
	CheckInterval = time.Second
)

// phase is what a connection waits for.
type phase int

const (
	receiving phase = iota // for the rest of a request, or for the first one
	idle                   // for another request
	serving                // for the answer to a request
	ended                  // for its goroutine to notice that it has been ended
	phases                 // number of phases
)

// Pool holds the connections of all listeners. It is safe for concurrent use.
type Pool struct {
	limits  Limits
	created time.Time

	mu sync.Mutex
	// conns are the connections in each phase, those that entered it first in front.
	conns [phases]list.List
	held  int64 // bytes of all connections
	// ending are the bytes of those connections that have been ended, whose goroutines have yet to let go of them.
	ending int64
	// freed is closed when some of these bytes are given back.
	freed chan struct{}
	// peak values since the last call of TakeState.
	peakOpen int
	peakHeld int64
	// checkedAt is the time of the last search for stalled clients, and watchedSince the time since when these
	// searches came regularly.
	checkedAt, watchedSince time.Time
	ends                    Ends
}

// Ends counts connections that were ended, by reason.
type Ends struct {
	Crowded int64 // too many connections
	Full    int64 // no memory for more requests
	Stalled int64 // the client sent nothing for stallTimeout
}

// State is what a pool holds.
type State struct {
	Open int
	Held int64 // bytes of requests
	Ends Ends  // since the start
	// PeakOpen and PeakHeld are the largest values since the last call of TakeState.
	PeakOpen int
	PeakHeld int64
}

// NewPool returns an empty pool.
func NewPool(limits Limits) *Pool {
	p := &Pool{limits: limits, created: time.Now(), freed: make(chan struct{})}
	for i := range p.conns {
		p.conns[i].Init()
	}
	return p
}

// State returns the present state.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

// TakeState returns the present state and restarts the peaks.
func (p *Pool) TakeState() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state()
	p.peakOpen, p.peakHeld = s.Open, s.Held
	return s
}

func (p *Pool) state() State {
	return State{Open: p.open(), Held: p.held, Ends: p.ends, PeakOpen: p.peakOpen, PeakHeld: p.peakHeld}
}

// open returns the number of open connections.
func (p *Pool) open() int {
	n := 0
	for i := range p.conns {
		n += p.conns[i].Len()
	}
	return n
}

// add returns the pool's connection for one that was accepted. It returns nil if there is no room, since all
// others are being served.
func (p *Pool) add(accepted net.Conn, now time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limits.Connections > 0 && p.open() >= p.limits.Connections && !p.closeOne(now) {
		p.ends.Crowded++
		return nil
	}
	c := &Conn{Conn: accepted, pool: p}
	c.receivedAt(now)
	p.enter(c, receiving, now)
	p.peakOpen = max(p.peakOpen, p.open())
	return c
}

// enter moves a connection to a phase.
func (p *Pool) enter(c *Conn, to phase, now time.Time) {
	p.leave(c)
	if to == ended && c.phase != ended {
		p.ending += c.held
	}
	c.phase, c.since = to, now
	c.place = p.conns[to].PushBack(c)
}

// leave removes a connection from its phase.
func (p *Pool) leave(c *Conn) {
	if c.place == nil {
		return
	}
	p.conns[c.phase].Remove(c.place)
	c.place = nil
}

// closeOne closes the connection that is missed least, and reports whether there is one.
func (p *Pool) closeOne(now time.Time) bool {
	c := p.missedLeast(now)
	if c == nil {
		return false
	}
	p.ends.Crowded++
	c.interrupted.Store(true)
	p.remove(c)
	_ = c.Conn.Close() // its goroutine gets the error of its next call
	return true
}

// missedLeast returns a connection that has already been ended, else one that has been without a whole request the
// longest, else the one that has been idle the longest. It returns nil if all are being served.
func (p *Pool) missedLeast(now time.Time) *Conn {
	oldest := [phases]*Conn{}
	for i := range p.conns {
		if front := p.conns[i].Front(); front != nil {
			oldest[i] = front.Value.(*Conn)
		}
	}
	switch stalls := oldest[receiving]; {
	case oldest[ended] != nil:
		return oldest[ended]
	case stalls != nil && now.Sub(stalls.since) >= newcomerTime:
		return stalls
	case oldest[idle] != nil:
		return oldest[idle]
	}
	return oldest[receiving]
}

// remove takes a connection out of the pool. Its memory is given back by its goroutine.
func (p *Pool) remove(c *Conn) {
	p.leave(c)
	if c.phase != ended {
		c.phase = ended
		p.ending += c.held
	}
}

// release gives back memory of a connection's request.
func (p *Pool) release(c *Conn, bytes int64) {
	p.held -= bytes
	c.held -= bytes
	if c.phase == ended && bytes > 0 {
		p.ending -= bytes
		close(p.freed)
		p.freed = make(chan struct{})
	}
}

// reserve takes memory for a connection's request, for which it may end others. It returns false if there is none.
// It unlocks the pool while it waits for memory.
func (p *Pool) reserve(c *Conn, bytes int64, now time.Time) bool {
	timeout := (<-chan time.Time)(nil)
	for c.phase != ended && !p.hasRoom(c, bytes) {
		p.makeRoom(now)
		if p.ending == 0 || c.phase == ended {
			break
		}
		if timeout == nil {
			timeout = time.After(maxWait)
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
			p.mu.Lock()
		case <-timeout:
			p.mu.Lock()
			return false
		}
	}
	if c.phase == ended || !p.hasRoom(c, bytes) {
		return false
	}
	c.held += bytes
	p.held += bytes
	p.peakHeld = max(p.peakHeld, p.held)
	return true
}

// hasRoom reports whether a connection's request may take so many bytes more.
func (p *Pool) hasRoom(c *Conn, bytes int64) bool {
	limit := float64(p.limits.RequestBytes)
	if c.held+bytes > smallRequest {
		limit *= largeShare
	}
	return p.limits.RequestBytes <= 0 || float64(p.held+bytes) <= limit
}

// makeRoom ends requests that are being received, those first that came the slowest for what they hold. Those that
// hold less than the average stay.
func (p *Pool) makeRoom(now time.Time) {
	var holders []*Conn
	total := int64(0)
	for e := p.conns[receiving].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.held > 0 {
			holders = append(holders, c)
			total += c.held
		}
	}
	holders = slices.DeleteFunc(holders, func(c *Conn) bool { return c.held*int64(len(holders)) < total })
	slices.SortFunc(holders, func(a, b *Conn) int { return cmp.Compare(a.rate(now), b.rate(now)) })
	target := int64(reducedShare * float64(p.limits.RequestBytes))
	for _, c := range holders {
		if p.held-p.ending <= target {
			return
		}
		p.ends.Full++
		p.interrupt(c, now)
	}
}

// interrupt ends what a connection waits for. Its goroutine may still answer the client.
func (p *Pool) interrupt(c *Conn, now time.Time) {
	p.enter(c, ended, now)
	c.interrupted.Store(true)
	_ = c.Conn.SetReadDeadline(past) // fails only if the connection has ended
}

// past is a time that is over.
var past = time.Unix(1, 0)

// CheckStalled ends the requests whose clients have sent nothing for too long. It is called every CheckInterval.
func (p *Pool) CheckStalled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.checkedAt) > 2*CheckInterval {
		p.watchedSince = now // this process or its VM was frozen: clients may have sent meanwhile
	}
	p.checkedAt = now
	var stalled []*Conn
	for e := p.conns[receiving].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if now.Sub(c.lastReceived()) >= stallTimeout && now.Sub(p.watchedSince) >= stallTimeout {
			stalled = append(stalled, c)
		}
	}
	for _, c := range stalled {
		p.ends.Stalled++
		p.interrupt(c, now)
	}
}

// Conn is a connection of a pool. It implements net.Conn.
type Conn struct {
	net.Conn
	pool *Pool

	lastByte    atomic.Int64 // when the last byte was received, in ns since the pool was created
	inHandler   atomic.Bool  // the head of the request is complete
	interrupted atomic.Bool

	// The rest is guarded by pool.mu.
	phase phase
	since time.Time     // when the phase began
	place *list.Element // in the list of the phase
	// rejected: the connection ends after the answer.
	rejected bool
	held     int64 // memory of the request
}

// receivedAt notes when the last byte was received.
func (c *Conn) receivedAt(now time.Time) {
	c.lastByte.Store(int64(now.Sub(c.pool.created)))
}

func (c *Conn) lastReceived() time.Time {
	return c.pool.created.Add(time.Duration(c.lastByte.Load()))
}

// rate returns the bytes that a request holds for each second that it has taken.
func (c *Conn) rate(now time.Time) float64 {
	return float64(c.held) / max(now.Sub(c.since), time.Millisecond).Seconds()
}
