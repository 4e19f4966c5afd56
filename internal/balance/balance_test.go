package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

func newServers(n int) []*fleet.Server {
	list := make([]*fleet.Server, n)
	for i := range list {
		list[i] = fleet.NewServer(fleet.Entry{ID: fmt.Sprintf("s%d", i), Domain: "zone-1"})
	}
	return list
}

func newPromptRequest(subjectID string) *request.Request {
	return &request.Request{HasTokenUsage: true, PromptTokens: 9000,
		PromptParts: []request.PromptPart{{ID: "common", Tokens: 2500}, {ID: subjectID, Tokens: 3800}, {ID: "own", Tokens: 2700}}}
}

func excludeNone(*fleet.Server) bool { return false }

// Guards against shared prompt parts that are processed at several servers because the routers
// don't agree on one.
func TestRoutersSendSharedPromptToSameServer(t *testing.T) {
	list := newServers(9)
	first, second := NewChooser("zone-1", unlimitedPacer{}, nil), NewChooser("zone-1", unlimitedPacer{}, nil)
	used := map[string]bool{}
	for i := 0; i < 40; i++ {
		r := newPromptRequest(fmt.Sprintf("subject-%d", i))
		a, b := first.Choose(list, r, excludeNone), second.Choose(list, r, excludeNone)
		qt.Assert(t, a.Server, qt.Equals, b.Server)
		qt.Assert(t, a.UncachedTokens, qt.Equals, 2700.0)
		used[a.Server.ID] = true
	}
	qt.Assert(t, len(used) > 5, qt.IsTrue, qt.Commentf("%d of 9 servers used", len(used)))
}

// Guards against requests queueing at the busy home server of their prompt while another server
// would answer sooner.
func TestBusyHomeServerIsBypassed(t *testing.T) {
	list := newServers(3)
	c := NewChooser("zone-1", unlimitedPacer{}, nil)
	r := newPromptRequest("subject")
	home := c.Choose(list, r, excludeNone).Server
	home.BeginRequest(60_000)
	other := c.Choose(list, r, excludeNone)
	qt.Assert(t, other.Server, qt.Not(qt.Equals), home)
	qt.Assert(t, other.UncachedTokens, qt.Equals, 9000.0)
	c.RecordSent(other.Server, r)
	qt.Assert(t, c.Choose(list, r, excludeNone).UncachedTokens, qt.Equals, 2700.0)
}

// Guards against a server that restarted under its ID being credited with the cache of its former
// incarnation.
func TestRestartedServerHasEmptyCache(t *testing.T) {
	before := fleet.NewServer(fleet.Entry{ID: "s", Domain: "zone-1", StartUnixMilli: 1})
	after := fleet.NewServer(fleet.Entry{ID: "s", Domain: "zone-1", StartUnixMilli: 2})
	c, r := NewChooser("zone-1", unlimitedPacer{}, nil), newPromptRequest("subject")
	c.RecordSent(before, r)
	qt.Assert(t, c.cachedTokens(before, r, false, time.Now()), qt.Equals, r.SharedTokens())
	qt.Assert(t, c.cachedTokens(after, r, false, time.Now()), qt.Equals, 0)
}

// Guards against requests to leaving, excluded or recently failed servers while there is another.
func TestIneligibleServersAreSkipped(t *testing.T) {
	list := newServers(3)
	c := NewChooser("zone-1", unlimitedPacer{}, nil)
	list[0].MarkLeaving()
	list[1].RecordFailure(time.Now())
	r := &request.Request{}
	qt.Assert(t, c.Choose(list, r, excludeNone).Server, qt.Equals, list[2])
	excludeLast := func(s *fleet.Server) bool { return s == list[2] }
	qt.Assert(t, c.Choose(list, r, excludeLast).Server, qt.Equals, list[1])
	qt.Assert(t, c.Choose(list, r, func(*fleet.Server) bool { return true }).Server, qt.IsNil)
}

// Guards against avoidable traffic between failure domains.
func TestServerInSameDomainIsPreferred(t *testing.T) {
	near := fleet.NewServer(fleet.Entry{ID: "near", Domain: "zone-1"})
	far := fleet.NewServer(fleet.Entry{ID: "far", Domain: "zone-2"})
	c := NewChooser("zone-1", unlimitedPacer{}, nil)
	list := []*fleet.Server{far, near}
	qt.Assert(t, c.Choose(list, &request.Request{}, excludeNone).Server, qt.Equals, near)
	near.BeginRequest(0)
	qt.Assert(t, c.Choose(list, &request.Request{}, excludeNone).Server, qt.Equals, far)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 140, 3000} {
		for _, paced := range []bool{false, true} {
			b.Run(fmt.Sprint(n, "/pace=", paced), func(b *testing.B) {
				list, c, r := newServers(n), NewChooser("zone-1", unlimitedPacer{}, nil), newPromptRequest("subject")
				for i, s := range list {
					if paced && i%3 == 0 {
						c.ObserveLoad(s, fleet.Load{Running: 2, Slots: 32, Pace: 100})
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					c.Choose(list, r, excludeNone)
				}
			})
		}
	}
}

// unlimitedPacer paces no server.
type unlimitedPacer struct{}

func (unlimitedPacer) Paced(*fleet.Server) bool          { return false }
func (unlimitedPacer) CanAcquire(*fleet.Server) bool     { return true }
func (unlimitedPacer) TryAcquire(*fleet.Server) bool     { return true }
func (unlimitedPacer) ProbeDue(*fleet.Server) bool       { return false }
func (unlimitedPacer) Delay(*fleet.Server) time.Duration { return 0 }

// permitPacer maps each paced server to the number of requests that it may still get.
type permitPacer map[*fleet.Server]int

func (p permitPacer) Paced(s *fleet.Server) bool {
	_, paced := p[s]
	return paced
}

func (p permitPacer) CanAcquire(s *fleet.Server) bool { return p[s] > 0 }

func (p permitPacer) ProbeDue(*fleet.Server) bool { return false }

func (p permitPacer) Delay(s *fleet.Server) time.Duration { return s.ColdFor(time.Now()) }

func (p permitPacer) TryAcquire(s *fleet.Server) bool {
	p[s]--
	return p[s] >= 0
}

// Guards against a burst of requests to a server that has just started.
func TestColdServerIsPaced(t *testing.T) {
	list := newServers(3)
	list[0].MarkCold(time.Now(), time.Minute)
	pacer := permitPacer{list[0]: 2}
	c := NewChooser("zone-1", pacer, nil)
	for i := range 20 {
		qt.Assert(t, c.Choose(list, newPromptRequest(fmt.Sprint("subject-", i)), excludeNone).Server, qt.Not(qt.Equals), list[0])
	}
	qt.Assert(t, c.Choose(list, &request.Request{}, excludeNone).Server, qt.Not(qt.Equals), list[0])
	list[1].BeginRequest(60_000)
	list[2].BeginRequest(60_000)
	for range 2 {
		qt.Assert(t, c.Choose(list, newPromptRequest("subject"), excludeNone).Server, qt.Equals, list[0])
	}
	qt.Assert(t, c.Choose(list, newPromptRequest("subject"), excludeNone).Server, qt.Not(qt.Equals), list[0])
}

// Guards against a second request to a cold server that may get only one: the request that loses
// the race goes to a warm server.
func TestLostRaceFallsBackToWarmServer(t *testing.T) {
	list := newServers(2)
	c := NewChooser("zone-1", contendedPacer{permitPacer{list[0]: 1}}, nil)
	list[1].BeginRequest(60_000)
	qt.Assert(t, c.Choose(list, newPromptRequest("subject"), excludeNone).Server, qt.Equals, list[1])
}

// contendedPacer refuses requests that CanAcquire allowed, as if another one had been counted
// in between.
type contendedPacer struct{ permitPacer }

func (contendedPacer) TryAcquire(*fleet.Server) bool { return false }

// Guards against requests that wait, or are refused for a wrong reason, where no server can take
// any.
func TestAvailability(t *testing.T) {
	list := newServers(2)
	state := func(pacer Pacer) State {
		return NewChooser("zone-1", pacer, nil).Availability(list).State
	}
	qt.Assert(t, state(unlimitedPacer{}), qt.Equals, Available)
	qt.Assert(t, state(permitPacer{list[0]: 0}), qt.Equals, Available)
	list[0].MarkCold(time.Now(), time.Minute)
	list[1].MarkCold(time.Now(), time.Hour)
	out := NewChooser("zone-1", permitPacer{list[0]: 0, list[1]: 0}, nil).Availability(list)
	qt.Assert(t, out.State, qt.Equals, AllCold)
	qt.Assert(t, out.Delay > 50*time.Second && out.Delay <= time.Minute, qt.IsTrue, qt.Commentf("%v", out.Delay))
	qt.Assert(t, state(permitPacer{list[0]: 0, list[1]: 1}), qt.Equals, Available)
	list[0].SetEvacuated(true)
	qt.Assert(t, state(unlimitedPacer{}), qt.Equals, Available)
	qt.Assert(t, state(permitPacer{list[1]: 0}), qt.Equals, AllCold)
	list[1].SetEvacuated(true)
	qt.Assert(t, state(unlimitedPacer{}), qt.Equals, AllEvacuated)
	list[0].MarkLeaving()
	list[1].MarkLeaving()
	qt.Assert(t, state(unlimitedPacer{}), qt.Equals, NoServers)
}

// Guards against requests to a server in an evacuated failure domain.
func TestEvacuatedServerIsSkipped(t *testing.T) {
	list, r := newServers(3), newPromptRequest("subject")
	c := NewChooser("zone-1", unlimitedPacer{}, nil)
	home := c.Choose(list, r, excludeNone).Server
	home.SetEvacuated(true)
	for range 5 {
		qt.Assert(t, c.Choose(list, r, excludeNone).Server, qt.Not(qt.Equals), home)
	}
	home.SetEvacuated(false)
	qt.Assert(t, c.Choose(list, r, excludeNone).Server, qt.Equals, home)

	plain := &request.Request{}
	first := c.Choose(list, plain, excludeNone).Server
	first.SetEvacuated(true)
	qt.Assert(t, c.Choose(list, plain, excludeNone).Server, qt.Not(qt.Equals), first)
}
