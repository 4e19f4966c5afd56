package permits

import (
	"maps"
	"sync"
	"time"
)

// Change is a change of the number of requests that a grantor admits to a server.
type Change struct {
	Server     Server
	Limit      int
	InProgress int
	// Rejections is how many requests the server rejected within the last second.
	Rejections int
}

// Grantor grants permits for servers. It is safe for concurrent use.
type Grantor struct {
	// Takeover reports whether another router may have granted permits for a server of a service that
	// this router has not been asked for yet.
	Takeover func(service string) bool
	// OnChange is called with each change of a limit. It must not call the grantor.
	OnChange func(Change)
	// Now returns the time.
	Now func() time.Time

	mu      sync.Mutex
	servers map[string]*server // by incarnation
	pruned  time.Time
	// oldReportAt is when a router of an older build last reported, which does so less often.
	oldReportAt time.Time
}

// Acquire grants or denies a permit. It waits up to the request's Wait.
func (g *Grantor) Acquire(r Request) Answer {
	r.Wait = min(r.Wait, MaxWait)
	answered := make(chan Answer, 1)
	cancel := g.request(r, func(a Answer) { answered <- a })
	if r.Wait <= 0 {
		return <-answered
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	select {
	case a := <-answered:
		return a
	case <-timer.C:
		cancel()
		return <-answered
	}
}

// request passes the answer to a request to answer, at once or later. cancel denies a request that is
// still in the queue.
func (g *Grantor) request(r Request, answer func(Answer)) (cancel func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, now := g.server(r.Server, r.Standby), g.Now()
	w := &waiter{Request: r, answer: answer}
	s.request(w, now)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.cancel(w, g.Now())
	}
}

// Release takes a permit back.
func (g *Grantor) Release(r Release) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[r.Server.Incarnation]
	if s == nil {
		return // this router has become the grantor since
	}
	before := s.limit
	s.release(r, g.Now())
	g.reportChange(r.Server, s, before)
}

// Report takes over a router's numbers of requests in progress.
func (g *Grantor) Report(r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteInterval(r)
	for _, u := range r.Usages {
		g.server(u.Server, r.Standby).report(r.Holder, u, g.Now())
	}
}

// Record takes over a permit that another grantor granted through this router. This router knows so, when it
// becomes the grantor itself, what is in progress.
func (g *Grantor) Record(r Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayedServer(r.Server).record(r, g.Now())
}

// RecordReport takes over a report that this router passes on to another grantor.
func (g *Grantor) RecordReport(r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteInterval(r)
	for _, u := range r.Usages {
		g.relayedServer(u.Server).report(r.Holder, u, g.Now())
	}
}

// noteInterval takes over how often a router reports. g.mu must be held.
func (g *Grantor) noteInterval(r Report) {
	if r.Interval == 0 {
		g.oldReportAt = g.Now()
	}
}

// reportInterval returns the time within which all routers have reported. g.mu must be held.
func (g *Grantor) reportInterval() time.Duration {
	if g.Now().Sub(g.oldReportAt) < oldBuildTTL {
		return oldReportInterval
	}
	return ReportInterval
}

// Disconnected tells that the connection of a router has ended. If it is not heard of again, its requests
// count for as long as requests at the server take.
func (g *Grantor) Disconnected(holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.disconnected(holder, g.Now())
	}
}

// Active returns the number of servers that this router grants permits for.
func (g *Grantor) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.servers)
}

// server returns the state of a server that this router grants permits for. It is new if there was none. It is no
// longer valid if this router stands in for another one that has granted permits since. g.mu must be held.
func (g *Grantor) server(s Server, standby bool) *server {
	g.prune()
	now := g.Now()
	known := g.servers[s.Incarnation]
	switch {
	case known == nil:
		known = g.add(s)
		if standby || g.Takeover(s.Service) {
			known.takeOver(now, standby, g.reportInterval())
		}
	case standby && now.Sub(known.lastUse) >= staleAfter:
		known.takeOver(now, standby, g.reportInterval())
	}
	return known
}

// relayedServer returns the state of a server whose permits another router grants. g.mu must be held.
func (g *Grantor) relayedServer(s Server) *server {
	g.prune()
	if known := g.servers[s.Incarnation]; known != nil {
		return known
	}
	return g.add(s)
}

// add adds the state of a server. g.mu must be held.
func (g *Grantor) add(s Server) *server {
	if g.servers == nil {
		g.servers = make(map[string]*server)
	}
	added := newServer(s, g.Now())
	g.servers[s.Incarnation] = added
	return added
}

// reportChange calls OnChange if the limit of a server is not what it was before.
func (g *Grantor) reportChange(server Server, s *server, before int) {
	if s.limit == before {
		return
	}
	now := g.Now()
	g.OnChange(Change{Server: server, Limit: s.limit, InProgress: s.inProgress(now),
		Rejections: s.rejections.count(now, rejectionWindow)})
}

// prune removes, now and then, the servers that nobody asked for within idleTTL. g.mu must be held.
func (g *Grantor) prune() {
	now := g.Now()
	if now.Sub(g.pruned) < idleTTL {
		return
	}
	g.pruned = now
	maps.DeleteFunc(g.servers, func(_ string, s *server) bool { return now.Sub(s.lastUse) >= idleTTL && len(s.waiting) == 0 })
}
