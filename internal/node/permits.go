package node

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/peers"
	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/tasks"
)

const (
	// noGrantorRetryAfter is when a request may come back if no grantor can be reached. The list of
	// routers is then without the dead ones.
	noGrantorRetryAfter = time.Second
	// noGrantorHoldOff is how long no permit is asked for after no grantor was reached.
	noGrantorHoldOff = 250 * time.Millisecond
	// maxRelayed bounds the memory for permits that were granted through this router, at about a hundred bytes
	// each.
	maxRelayed = 8192
	// grantorHandover is how long after a change of the list of routers, or after the start of this
	// process, another router may have granted permits that are in use.
	grantorHandover = fleetCheckAfter + 400*time.Millisecond
	// fragileStart is the time after a service became fragile in which no router can have granted
	// permits for long.
	fragileStart = 1500 * time.Millisecond
	// maxHoldOffs bounds the memory for hold-offs, at about a hundred bytes each.
	maxHoldOffs = 8192
)

// permitHolder acquires permits for this router's requests to fragile servers, and grants them to other
// routers for the servers that this router is the grantor of.
type permitHolder struct {
	node     *Node
	grantor  *permits.Grantor
	rankings rankings[[]string] // addresses of a server's grantors; "" is this router
	releases tasks.Group

	mu         sync.Mutex
	lastPermit uint64
	held       map[string]map[uint64]bool // permits of requests in progress, by incarnation of a server
	holdOffs   map[string]holdOff         // by incarnation of a server
	relayed    map[permits.ID]string      // addresses of the routers that granted permits through this one
	// membersVersion is the version of the list of routers, and membersChanged when it was last found to
	// have changed.
	membersVersion uint64
	membersChanged time.Time
}

// holdOff is a time in which no permit is asked for, for requests that are not more urgent.
type holdOff struct {
	until    time.Time
	priority int
}

func newPermitHolder(n *Node) *permitHolder {
	p := &permitHolder{node: n, held: make(map[string]map[uint64]bool), holdOffs: make(map[string]holdOff), relayed: make(map[permits.ID]string), membersChanged: time.Now()}
	p.grantor = &permits.Grantor{Takeover: p.isTakeover, OnChange: p.logChange, Now: time.Now}
	return p
}

// isTakeover reports whether another router may have granted permits for servers of a service that this
// router is asked for now.
func (p *permitHolder) isTakeover(service string) bool {
	now := time.Now()
	_, version := p.node.members.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if version != p.membersVersion {
		p.membersVersion, p.membersChanged = version, now
	}
	if now.Sub(p.membersChanged) >= grantorHandover {
		return false
	}
	rate, fragile := p.node.fragility.Lookup(service)
	return fragile && now.Sub(rate.Since) >= fragileStart || now.Sub(p.node.createdAt) < grantorHandover
}

func (p *permitHolder) logChange(c permits.Change) {
	p.node.log.Emit(event.AdmissionChanged, slog.String(event.KeyBackend, fleet.ServerID(c.Server.Incarnation)), slog.String("service", c.Server.Service),
		slog.Int("limit", c.Limit), slog.Int("in_progress", c.InProgress), slog.Int("rejections", c.Rejections),
		slog.Float64("tolerated", c.Server.Tolerated), slog.Int("slots", c.Server.Slots))
}

// grantors returns the addresses of the routers that are asked for a server's permits, in order.
func (p *permitHolder) grantors(incarnation string) []string {
	ranked := p.ranked(incarnation)
	return ranked[:min(len(ranked), permits.MaxGrantors)]
}

// ranked returns the addresses of the routers in rank for a server's permits.
func (p *permitHolder) ranked(incarnation string) []string {
	n := p.node
	members, version := n.members.Snapshot()
	state := fleetState{version: version, stopping: n.stopping.Load()}
	return p.rankings.get(state, incarnation, func() []string { return n.rank(members, "grants for "+incarnation, state.stopping) })
}

// describe returns what this router knows of a fragile server.
func (p *permitHolder) describe(s *fleet.Server) permits.Server {
	rate, _ := p.node.fragility.Lookup(s.Service)
	return permits.Server{Incarnation: s.Incarnation, Service: s.Service, Slots: s.Slots(), Tolerated: rate.PerSecond}
}

// Acquire implements forward.Permits.
func (p *permitHolder) Acquire(ctx context.Context, s *fleet.Server, priority int, wait time.Duration) (release func(permits.Outcome), answer permits.Answer) {
	request := permits.Request{Holder: p.node.incarnation, Permit: p.nextPermit(), Server: p.describe(s), Priority: priority, Others: p.others(s), Wait: wait}
	holdOff := noGrantorHoldOff
	for i, address := range p.grantors(s.Incarnation) {
		request.Standby = i > 0
		answer, err := p.ask(ctx, address, s, request)
		if hasEnded(err) {
			continue
		}
		if err != nil {
			// It may be alive, and another grantor would grant the same slots.
			if errors.Is(err, peers.ErrNotSent) {
				holdOff = permits.CutHoldOff
			}
			break
		}
		p.recordHoldOff(s.Incarnation, priority, answer.HoldOff)
		if !answer.Granted {
			p.node.metrics.countPermit(permitDenied)
			return nil, answer
		}
		p.node.metrics.countPermit(permitGranted)
		p.hold(s.Incarnation, request.Permit)
		return func(o permits.Outcome) { p.release(address, s, request, o) }, answer
	}
	p.node.metrics.countPermit(permitUnreachable)
	p.recordHoldOff(s.Incarnation, priority, holdOff)
	return nil, permits.Unreached(noGrantorRetryAfter)
}

// hasEnded reports whether a call failed because no router runs at the address that serves permits. One that
// can't be reached for another reason may still grant them.
func hasEnded(err error) bool {
	return errors.Is(err, peers.ErrRefused) || errors.Is(err, peers.ErrNotServed)
}

// nextPermit returns the number of a new permit.
func (p *permitHolder) nextPermit() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPermit++
	return p.lastPermit
}

func (p *permitHolder) hold(incarnation string, permit uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[incarnation] == nil {
		p.held[incarnation] = make(map[uint64]bool)
	}
	p.held[incarnation][permit] = true
}

func (p *permitHolder) drop(incarnation string, permit uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held[incarnation], permit)
	if len(p.held[incarnation]) == 0 {
		delete(p.held, incarnation)
	}
}

// others returns the number of requests in progress at a server that have no permit.
func (p *permitHolder) others(s *fleet.Server) int {
	outstanding := s.Outstanding()
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, outstanding-len(p.held[s.Incarnation]))
}

// heldPermits returns the permits of the requests in progress at a server.
func (p *permitHolder) heldPermits(incarnation string) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.held[incarnation]))
}

func (p *permitHolder) ask(ctx context.Context, address string, s *fleet.Server, request permits.Request) (permits.Answer, error) {
	if address == "" {
		return p.acquire(request), nil
	}
	late := func() { p.release(address, s, request, permits.Served) }
	answer, err := p.node.peers.AcquirePermit(ctx, address, request, late)
	if isBroken(err) {
		// A new connection shows whether the router has ended. A permit may come twice.
		answer, err = p.node.peers.AcquirePermit(ctx, address, request, late)
	}
	return answer, err
}

// isBroken reports whether the connection of a call failed. The call may have been served.
func isBroken(err error) bool {
	return errors.Is(err, peers.ErrUnreachable) && !errors.Is(err, peers.ErrOverdue)
}

// acquire answers a request for a permit that reached this router. Until all routers know that this one has
// started, others ask the next in rank, so the request is passed on to that one.
func (p *permitHolder) acquire(r permits.Request) permits.Answer {
	if !p.isRelaying(r.Server.Service, r.Relays) {
		return p.grantor.Acquire(r)
	}
	relayed := r
	relayed.Relays++
	release := permits.Release{Holder: r.Holder, Permit: r.Permit, Server: r.Server, Outcome: permits.Served}
	for i, address := range p.following(r.Server.Incarnation) {
		relayed.Standby = i > 0
		answer, err := p.node.peers.AcquirePermit(context.Background(), address, relayed, func() { p.sendRelease(address, release) })
		switch {
		case hasEnded(err) || isBroken(err):
			continue
		case err != nil:
			return permits.Answer{RetryAfter: noGrantorRetryAfter, HoldOff: noGrantorHoldOff}
		case answer.Granted:
			p.recordRelayed(permits.ID{Holder: r.Holder, Permit: r.Permit}, address)
			p.grantor.Record(r)
		}
		return answer
	}
	return p.grantor.Acquire(r)
}

// isRelaying reports whether this router leaves the servers of a service to the next in rank.
func (p *permitHolder) isRelaying(service string, relays int) bool {
	rate, fragile := p.node.fragility.Lookup(service)
	return relays < permits.MaxRelays && fragile && time.Since(rate.Since) >= fragileStart && time.Since(p.node.createdAt) < grantorHandover
}

// following returns the addresses of the routers that rank after this one for a server's permits.
func (p *permitHolder) following(incarnation string) []string {
	ranked := p.ranked(incarnation)
	ranked = ranked[slices.Index(ranked, "")+1:]
	return ranked[:min(len(ranked), permits.MaxGrantors)]
}

func (p *permitHolder) recordRelayed(id permits.ID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.relayed) >= maxRelayed {
		clear(p.relayed) // their grantors learn of their ends from reports
	}
	p.relayed[id] = address
}

// takeBack takes back a permit that this router granted or passed on.
func (p *permitHolder) takeBack(r permits.Release) {
	p.grantor.Release(r)
	id := permits.ID{Holder: r.Holder, Permit: r.Permit}
	p.mu.Lock()
	address, relayed := p.relayed[id]
	delete(p.relayed, id)
	p.mu.Unlock()
	if relayed {
		p.sendRelease(address, r)
	}
}

// sendRelease returns a permit to another router.
func (p *permitHolder) sendRelease(address string, r permits.Release) {
	p.releases.Go(func() {
		if err := p.node.peers.ReleasePermit(context.Background(), address, r); err != nil {
			p.node.metrics.countPermit(permitNotReturned)
		}
	})
}

// takeReport takes over a report that reached this router.
func (p *permitHolder) takeReport(r permits.Report) {
	own, relayed := r, make(map[string][]permits.Usage)
	own.Usages = nil
	for _, u := range r.Usages {
		following := p.following(u.Server.Incarnation)
		if len(following) == 0 || !p.isRelaying(u.Server.Service, r.Relays) {
			own.Usages = append(own.Usages, u)
			continue
		}
		relayed[following[0]] = append(relayed[following[0]], u)
	}
	p.grantor.Report(own)
	for address, usages := range relayed {
		report := permits.Report{Holder: r.Holder, Usages: usages, Interval: r.Interval, Relays: r.Relays + 1}
		p.grantor.RecordReport(report)
		p.releases.Go(func() {
			if err := p.node.peers.ReportRequests(context.Background(), address, report); err != nil {
				p.node.metrics.countPermit(permitNotReported)
			}
		})
	}
}

// release returns a permit. If that fails, the grantor learns of it from the next report.
func (p *permitHolder) release(address string, s *fleet.Server, granted permits.Request, outcome permits.Outcome) {
	p.drop(s.Incarnation, granted.Permit)
	release := permits.Release{Holder: granted.Holder, Permit: granted.Permit, Server: p.describe(s), Outcome: outcome, Load: s.ReportedLoad(time.Now())}
	if address == "" {
		p.takeBack(release)
		return
	}
	p.sendRelease(address, release)
}

// HeldOff implements forward.Permits.
func (p *permitHolder) HeldOff(s *fleet.Server, priority int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, found := p.holdOffs[s.Incarnation]
	if !found || priority < h.priority {
		return 0
	}
	return max(0, time.Until(h.until))
}

func (p *permitHolder) recordHoldOff(incarnation string, priority int, d time.Duration) {
	if d <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.holdOffs) >= maxHoldOffs {
		clear(p.holdOffs)
	}
	known := p.holdOffs[incarnation]
	if now.Before(known.until) {
		priority = min(priority, known.priority)
	}
	p.holdOffs[incarnation] = holdOff{until: now.Add(d), priority: priority}
}

// reportRequests tells the grantors of fragile servers, at intervals, how many requests this router has in
// progress at each. A grantor learns so of requests without a permit and, when it is new, of all.
func (p *permitHolder) reportRequests(ctx context.Context) {
	ticker := time.NewTicker(permits.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.releases.Close()
			return
		case <-ticker.C:
		}
		p.reportOnce(ctx)
	}
}

func (p *permitHolder) reportOnce(ctx context.Context) {
	type destination struct {
		first, second string // addresses of the first two grantors
		alone         bool   // there is no second
	}
	usages := make(map[destination][]permits.Usage)
	for service := range p.node.fragility.InForce() {
		for _, s := range p.node.registry.View().ByService[service] {
			grantors := p.grantors(s.Incarnation)
			usage := permits.Usage{Server: p.describe(s), Permits: p.heldPermits(s.Incarnation), Others: p.others(s)}
			if len(usage.Permits)+usage.Others == 0 || len(grantors) == 0 {
				continue
			}
			to := destination{first: grantors[0], alone: len(grantors) == 1}
			if !to.alone {
				to.second = grantors[1]
			}
			usages[to] = append(usages[to], usage)
		}
	}
	var calls conc.WaitGroup
	for to, list := range usages {
		calls.Go(func() {
			report := permits.Report{Holder: p.node.incarnation, Usages: list, Interval: permits.ReportInterval}
			err := p.sendReport(ctx, to.first, report)
			if hasEnded(err) && !to.alone {
				report.Standby = true
				err = p.sendReport(ctx, to.second, report)
			}
			if err != nil {
				p.node.metrics.countPermit(permitNotReported)
			}
		})
	}
	calls.Wait()
}

func (p *permitHolder) sendReport(ctx context.Context, address string, r permits.Report) error {
	if address == "" {
		p.takeReport(r)
		return nil
	}
	err := p.node.peers.ReportRequests(ctx, address, r)
	if isBroken(err) {
		err = p.node.peers.ReportRequests(ctx, address, r) // on a new connection
	}
	return err
}

// AcquirePermit implements peers.StateSource.
func (n *Node) AcquirePermit(r permits.Request) permits.Answer {
	return n.permits.acquire(r)
}

// ReleasePermit implements peers.StateSource.
func (n *Node) ReleasePermit(r permits.Release) {
	n.permits.takeBack(r)
}

// ReportRequests implements peers.StateSource.
func (n *Node) ReportRequests(r permits.Report) {
	n.permits.takeReport(r)
}

// RouterDisconnected implements peers.StateSource.
func (n *Node) RouterDisconnected(holder string) {
	n.permits.grantor.Disconnected(holder)
}
