package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
)

func servers(n int) []*fleet.Server {
	list := make([]*fleet.Server, n)
	for i := range list {
		list[i] = fleet.NewServer(fleet.Entry{ID: fmt.Sprintf("s%d", i), Domain: "zone-1"})
	}
	return list
}

func prompt(part string) *request.Request {
	return &request.Request{HasTokenUsage: true, PromptTokens: 9000,
		PromptParts: []request.PromptPart{{ID: "common", Tokens: 2500}, {ID: part, Tokens: 3800}, {ID: "own", Tokens: 2700}}}
}

func none(*fleet.Server) bool { return false }

// Guards against prompts read again because routers send one subject to different servers.
func TestOneSubjectHasOneServerAtAllRouters(t *testing.T) {
	list := servers(9)
	first, second := NewChooser("zone-1", warm{}, nil), NewChooser("zone-1", warm{}, nil)
	used := map[string]bool{}
	for i := 0; i < 40; i++ {
		r := prompt(fmt.Sprintf("subject-%d", i))
		a, b := first.Choose(list, r, none), second.Choose(list, r, none)
		qt.Assert(t, a.Server, qt.Equals, b.Server)
		qt.Assert(t, a.UncachedTokens, qt.Equals, 2700.0)
		used[a.Server.ID] = true
	}
	qt.Assert(t, len(used) > 5, qt.IsTrue, qt.Commentf("%d of 9 servers used", len(used)))
}

// Guards against requests that wait at their subject's busy server while another is sooner done.
func TestBusyServerIsLeft(t *testing.T) {
	list := servers(3)
	c := NewChooser("zone-1", warm{}, nil)
	r := prompt("subject")
	home := c.Choose(list, r, none).Server
	home.BeginRequest(60_000)
	other := c.Choose(list, r, none)
	qt.Assert(t, other.Server, qt.Not(qt.Equals), home)
	qt.Assert(t, other.UncachedTokens, qt.Equals, 9000.0)
	c.RecordSent(other.Server, r)
	qt.Assert(t, c.Choose(list, r, none).UncachedTokens, qt.Equals, 2700.0)
}

// A server that read a prompt starts again under its id. It has read nothing.
func TestRestartedServerHasReadNothing(t *testing.T) {
	before := fleet.NewServer(fleet.Entry{ID: "s", Domain: "zone-1", StartUnixMilli: 1})
	after := fleet.NewServer(fleet.Entry{ID: "s", Domain: "zone-1", StartUnixMilli: 2})
	c, r := NewChooser("zone-1", warm{}, nil), prompt("subject")
	c.RecordSent(before, r)
	qt.Assert(t, c.kept(before, r, false, time.Now()), qt.Equals, r.SharedTokens())
	qt.Assert(t, c.kept(after, r, false, time.Now()), qt.Equals, 0)
}

// Guards against requests to leaving, excluded or failed servers while there is another.
func TestUnfitServersArePassedOver(t *testing.T) {
	list := servers(3)
	c := NewChooser("zone-1", warm{}, nil)
	list[0].MarkLeaving()
	list[1].RecordFailure(time.Now())
	r := &request.Request{}
	qt.Assert(t, c.Choose(list, r, none).Server, qt.Equals, list[2])
	without := func(s *fleet.Server) bool { return s == list[2] }
	qt.Assert(t, c.Choose(list, r, without).Server, qt.Equals, list[1])
	qt.Assert(t, c.Choose(list, r, func(*fleet.Server) bool { return true }).Server, qt.IsNil)
}

// Guards against bytes between failure domains that a near server would save.
func TestNearServerIsPreferred(t *testing.T) {
	near := fleet.NewServer(fleet.Entry{ID: "near", Domain: "zone-1"})
	far := fleet.NewServer(fleet.Entry{ID: "far", Domain: "zone-2"})
	c := NewChooser("zone-1", warm{}, nil)
	list := []*fleet.Server{far, near}
	qt.Assert(t, c.Choose(list, &request.Request{}, none).Server, qt.Equals, near)
	near.BeginRequest(0)
	qt.Assert(t, c.Choose(list, &request.Request{}, none).Server, qt.Equals, far)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 140, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list, c, r := servers(n), NewChooser("zone-1", warm{}, nil), prompt("subject")
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(list, r, none)
			}
		})
	}
}

// warm bounds nothing: no server is cold.
type warm struct{}

func (warm) Paced(*fleet.Server) bool          { return false }
func (warm) CanAcquire(*fleet.Server) bool     { return true }
func (warm) TryAcquire(*fleet.Server) bool     { return true }
func (warm) ProbeDue(*fleet.Server) bool       { return false }
func (warm) Delay(*fleet.Server) time.Duration { return 0 }

// permits is how many requests each cold server may get.
type permits map[*fleet.Server]int

func (p permits) Paced(s *fleet.Server) bool {
	_, cold := p[s]
	return cold
}

func (p permits) CanAcquire(s *fleet.Server) bool { return p[s] > 0 }

func (p permits) ProbeDue(*fleet.Server) bool { return false }

func (p permits) Delay(s *fleet.Server) time.Duration { return s.ColdFor(time.Now()) }

func (p permits) TryAcquire(s *fleet.Server) bool {
	p[s]--
	return p[s] >= 0
}

// Guards against a rush of requests on a server that has just started.
func TestColdServerGetsLittle(t *testing.T) {
	list := servers(3)
	list[0].MarkCold(time.Now(), time.Minute)
	limit := permits{list[0]: 2}
	c := NewChooser("zone-1", limit, nil)
	for i := range 20 {
		qt.Assert(t, c.Choose(list, prompt(fmt.Sprint("subject-", i)), none).Server, qt.Not(qt.Equals), list[0])
	}
	qt.Assert(t, c.Choose(list, &request.Request{}, none).Server, qt.Not(qt.Equals), list[0])
	list[1].BeginRequest(60_000)
	list[2].BeginRequest(60_000)
	for range 2 {
		qt.Assert(t, c.Choose(list, prompt("subject"), none).Server, qt.Equals, list[0])
	}
	qt.Assert(t, c.Choose(list, prompt("subject"), none).Server, qt.Not(qt.Equals), list[0])
}

// Two requests want the last place at a cold server; the second goes to a warm one.
func TestLastPlaceAtAColdServerIsTakenOnce(t *testing.T) {
	list := servers(2)
	c := NewChooser("zone-1", lost{permits{list[0]: 1}}, nil)
	list[1].BeginRequest(60_000)
	qt.Assert(t, c.Choose(list, prompt("subject"), none).Server, qt.Equals, list[1])
}

// lost refuses what it promised: another request was faster.
type lost struct{ permits }

func (lost) TryAcquire(*fleet.Server) bool { return false }

// Guards against refusals that wait, or name a wrong reason, where nothing can be sent.
func TestObstacles(t *testing.T) {
	list := servers(2)
	obstacle := func(limit Pacer) State {
		return NewChooser("zone-1", limit, nil).Availability(list).State
	}
	qt.Assert(t, obstacle(warm{}), qt.Equals, Available)
	qt.Assert(t, obstacle(permits{list[0]: 0}), qt.Equals, Available)
	list[0].MarkCold(time.Now(), time.Minute)
	list[1].MarkCold(time.Now(), time.Hour)
	out := NewChooser("zone-1", permits{list[0]: 0, list[1]: 0}, nil).Availability(list)
	qt.Assert(t, out.State, qt.Equals, AllCold)
	qt.Assert(t, out.Delay > 50*time.Second && out.Delay <= time.Minute, qt.IsTrue, qt.Commentf("%v", out.Delay))
	qt.Assert(t, obstacle(permits{list[0]: 0, list[1]: 1}), qt.Equals, Available)
	list[0].SetEvacuated(true)
	qt.Assert(t, obstacle(warm{}), qt.Equals, Available)
	qt.Assert(t, obstacle(permits{list[1]: 0}), qt.Equals, AllCold)
	list[1].SetEvacuated(true)
	qt.Assert(t, obstacle(warm{}), qt.Equals, AllEvacuated)
	list[0].MarkLeaving()
	list[1].MarkLeaving()
	qt.Assert(t, obstacle(warm{}), qt.Equals, NoServers)
}

// Guards against requests to a server whose failure domain is evacuated.
func TestEvacuatedServerIsPassedOver(t *testing.T) {
	list, r := servers(3), prompt("subject")
	c := NewChooser("zone-1", warm{}, nil)
	home := c.Choose(list, r, none).Server
	home.SetEvacuated(true)
	for range 5 {
		qt.Assert(t, c.Choose(list, r, none).Server, qt.Not(qt.Equals), home)
	}
	home.SetEvacuated(false)
	qt.Assert(t, c.Choose(list, r, none).Server, qt.Equals, home)

	plain := &request.Request{}
	first := c.Choose(list, plain, none).Server
	first.SetEvacuated(true)
	qt.Assert(t, c.Choose(list, plain, none).Server, qt.Not(qt.Equals), first)
}
