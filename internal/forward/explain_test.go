package forward

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/admission"
	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// dump writes all that is reachable from a value, also in unexported fields, except functions and channels.
func dump(out *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			_, _ = fmt.Fprint(out, "^ ")
			return
		}
		seen[v.Pointer()] = true
		dump(out, v.Elem(), seen)
	case reflect.Interface:
		if !v.IsNil() {
			dump(out, v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			_, _ = fmt.Fprintf(out, "%s{", v.Type().Field(i).Name)
			dump(out, v.Field(i), seen)
			out.WriteString("} ")
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(out, v.Index(i), seen)
		}
	case reflect.Map:
		var entries []string
		for _, key := range v.MapKeys() {
			entry := &strings.Builder{}
			dump(entry, key, seen)
			entry.WriteString(":")
			dump(entry, v.MapIndex(key), map[uintptr]bool{})
			entries = append(entries, entry.String())
		}
		slices.Sort(entries)
		_, _ = fmt.Fprint(out, entries)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		_, _ = fmt.Fprint(out, v, " ")
	}
}

// noPeers lends nothing.
type noPeers struct{ escrow.Peers }

func (noPeers) Borrow(context.Context, string, int64) (got, used int64) { return 0, 0 }

// busyRouter is a forwarder of a service with 300 servers in all conditions, whose admission limits requests.
type busyRouter struct {
	*Forwarder
	servers []*fleet.Server
	pacer   *pacing.Limiter
	counts  map[string]int // of what Metrics of admission counted
	stopped time.Time      // where admission's clock stands, so that its reports stay recent however busy the machine is
}

func (b *busyRouter) CountAdmission(_ int, outcome string) { b.counts[outcome]++ }

func (b *busyRouter) now() time.Time {
	if b.stopped.IsZero() {
		return time.Now()
	}
	return b.stopped
}

func newBusyRouter(c *qt.C) *busyRouter {
	b := &busyRouter{counts: make(map[string]int)}
	var incarnations []string
	for i := range 300 {
		s := fleet.NewServer(fleet.Entry{ID: fmt.Sprint("s", i), Service: "m", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: fmt.Sprint("d", i%3), Slots: 4})
		b.servers = append(b.servers, s)
		incarnations = append(incarnations, s.Incarnation)
	}
	now := time.Now()
	b.servers[0].MarkLeaving()
	b.servers[1].SetEvacuated(true)
	b.servers[2].MarkUnavailable(now, time.Hour)
	b.servers[3].MarkCold(now, time.Hour)
	for range 5 {
		b.servers[4].RecordFailure(now)
	}
	rates := pacing.NewAnnouncedRates(pacing.RateLimits, event.Discard(), nil)
	rates.ObserveResponse(b.servers[5].Incarnation, fleet.AnnouncedRate{State: fleet.RatePresent, PerSecond: 5}, now)
	b.pacer = &pacing.Limiter{ColdRate: func(string) float64 { return 3 }, Limits: rates, Now: time.Now,
		SenderRank: func(string) pacing.SenderRank { return pacing.SenderRank{Total: 1, Valid: true} }}
	controller := admission.New(admission.Options{Metrics: b, Log: event.Discard(), Eligible: func(string) []string { return incarnations }, Now: b.now})
	account := policy.Account{Name: "boatyard", Metered: true, Prepaid: 1e6, Contract: &contract.Contract{RequestsPerSecond: 10, Burst: 10, Concurrency: 10}}
	p := policy.New(policy.Definition{Version: 7, Services: []policy.Service{{Name: "m"}}, Accounts: []policy.Account{account}, Keys: map[string]string{"secret": "boatyard"},
		Routes: []policy.Route{{Name: "draft", Host: "h", Prefix: "/", Kind: policy.Streaming, Targets: []policy.Target{{Service: "m", Weight: 1}}, LatencyGoal: time.Second, Timeout: 5 * time.Second},
			{Name: "unused", Host: "h", Prefix: "/unused/", Targets: []policy.Target{{Service: "unused", Weight: 1}}}}})
	clock, err := escrow.SystemClock()
	c.Assert(err, qt.IsNil)
	grants := escrow.New(escrow.Options{Store: memstore.New(nil), Prefix: "budget/", VM: "vm", Address: "vm", Incarnation: "p1", Clock: clock,
		Budgets: func() map[string]int64 { return map[string]int64{"boatyard": 1e6} }, Log: event.Discard(),
		Home: func(string) string { return "" }, Holders: func(string) []string { return nil }, Peers: noPeers{}})
	b.Forwarder = &Forwarder{
		Policy: func() *policy.Policy { return p }, Servers: func(string) []*fleet.Server { return b.servers }, Budget: grants,
		Quarantine: quarantine.New(nil, func(quarantine.Change) {}), TryAgain: func(quarantine.Feature) bool { c.Error("a trial was taken"); return true },
		Chooser: balance.NewChooser("d0", b.pacer, nil), CopyPacer: func() balance.Pacer { return b.pacer.Copy() }, RateLimits: rates,
		Fragility: pacing.NewAnnouncedRates(pacing.Fragility, event.Discard(), nil), Admission: controller, PriorityGate: &pacing.PriorityGate{Now: time.Now},
		ServersOutdated: func() bool { return false }, LinkDelay: func() time.Duration { return 0 }, Limits: limit.New(func() int { return 1 }, nil),
	}
	ctx, cancel := context.WithCancel(context.Background())
	drawn := make(chan struct{})
	go func() { defer close(drawn); grants.Run(ctx) }()
	_, err = grants.Reserve(ctx, "boatyard", 960_000, 0)
	c.Assert(err, qt.IsNil)
	_, _ = grants.Reserve(ctx, "boatyard", 100, 0) // finds that little is left
	_, _, _ = b.Limits.Admit("boatyard", limit.Limits{PerSecond: 10, Burst: 10, Concurrency: 10})
	cancel()
	<-drawn
	const busy, step = 500 * time.Millisecond, 20 * time.Millisecond // until the servers are full for long enough
	b.stopped = time.Now().Add(-busy)
	for range busy / step {
		b.stopped = b.stopped.Add(step)
		for _, s := range b.servers {
			load := fleet.Load{Running: 4, Waiting: 8, Slots: 4, Pace: 120}
			controller.Observe("m", admission.Signal{Incarnation: s.Incarnation, Load: load, HasLoad: true})
			b.Chooser.ObserveLoad(s, load)
		}
		_, _ = controller.Admit(ctx, admission.Request{Service: "m", Account: "boatyard", Work: 200}) // counts its demand
	}
	b.Chooser.RecordSent(b.servers[9], b.request())
	return b
}

func (b *busyRouter) request() *request.Request {
	return &request.Request{ID: "r1", Host: "h", Path: "/x", APIKey: "secret", Arrived: time.Now(), HasTokenUsage: true, PromptTokens: 150, MaxOutputTokens: 50,
		PromptParts: []request.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 50}}}
}

func (b *busyRouter) state() string {
	out := &strings.Builder{}
	dump(out, reflect.ValueOf([]any{b.counts, b.servers, b.pacer, b.Chooser, b.Admission, b.Budget, b.Quarantine, b.Limits, b.PriorityGate, b.RateLimits, b.Fragility}), make(map[uintptr]bool))
	return out.String()
}

// Guards against a question that takes a place, token, claim or pacing slot, or that the router learns from.
func TestExplainChangesNothing(t *testing.T) {
	c := qt.New(t)
	b := newBusyRouter(c)
	before := b.state()
	c.Assert(before, qt.Contains, "sentParts")
	c.Assert(before, qt.Contains, "low{rationed")
	time.Sleep(300 * time.Millisecond) // long enough for the model to take it for a freeze
	predicted, _ := b.Explain(b.request())
	c.Assert(predicted.Servers[0].Predicted, qt.IsTrue)
	started := time.Now()
	for i := range 1000 {
		r := b.request()
		switch i % 4 {
		case 1:
			r.Timeout = time.Millisecond // late
		case 2:
			r.MaxOutputTokens = 10_000_000 // more than the budget
		case 3:
			r.ID = fmt.Sprint("r", i)
		}
		if i%100 == 0 {
			r.Path = "/unused/x" // of a service that had no request
			report, _ := b.Explain(r)
			c.Assert(report.Service, qt.Equals, "unused")
			continue
		}
		report, _ := b.Explain(r)
		c.Assert(report.Admission.Limited, qt.IsTrue)
	}
	c.Logf("%v per question", time.Since(started)/1000)
	if after := b.state(); after != before {
		at := 0
		for at < min(len(before), len(after)) && before[at] == after[at] {
			at++
		}
		c.Fatalf("changed:\n%s\n%s", before[max(0, at-200):min(len(before), at+100)], after[max(0, at-200):min(len(after), at+100)])
	}
}

// Guards against data races between questions and the requests and responses of a busy router.
func TestExplainBesideRequests(t *testing.T) {
	c := qt.New(t)
	b := newBusyRouter(c)
	b.stopped = time.Time{}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var others conc.WaitGroup
	others.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			s, now := b.servers[n%len(b.servers)], time.Now()
			load := fleet.Load{Running: 4, Waiting: n % 8, Slots: 4, Pace: float64(80 + n%90)}
			b.Admission.Observe("m", admission.Signal{Incarnation: s.Incarnation, Load: load, HasLoad: true})
			b.Chooser.ObserveLoad(s, load)
			s.SetLoad(load, now)
			s.RecordFailure(now)
			s.MarkUnavailable(now, time.Millisecond)
			b.RateLimits.ObserveResponse(s.Incarnation, fleet.AnnouncedRate{State: fleet.RatePresent, PerSecond: float64(n % 5)}, now)
			b.PriorityGate.RecordRefusal("m", n%3)
		}
	})
	others.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			r := b.request()
			r.ID = fmt.Sprint("other-", n)
			never := func(*fleet.Server) bool { return false }
			if choice := b.Chooser.Choose(b.servers, r, never); choice.Server != nil {
				stream := b.Chooser.Begin(choice, r)
				b.Chooser.RecordSent(choice.Server, r)
				stream.Event(time.Now())
				stream.End()
			}
			request := admission.Request{Service: "m", Route: fmt.Sprint(n % 5), Account: fmt.Sprint(n % 7), Work: float64(n % 300), Goal: 10 * time.Millisecond}
			if ticket, refused := b.Admission.Admit(ctx, request); refused == nil {
				ticket.Done(admission.Outcome{Served: true, Took: 10 * time.Millisecond})
			}
		}
	})
	questions := 0
	for ; ctx.Err() == nil; questions++ {
		_, _ = b.Explain(b.request())
	}
	others.Wait()
	c.Check(questions > 0, qt.IsTrue)
}

// Guards against reasons that are wrong or absent for servers that get no requests.
func TestExplainNamesWhyServersAreLeftOut(t *testing.T) {
	c := qt.New(t)
	b := newBusyRouter(c)
	report, _ := b.Explain(b.request())
	why := make(map[string]string)
	for _, s := range slices.Concat(report.LeftOut, report.Servers) {
		why[s.ID] = s.Why
	}
	for id, reason := range map[string]string{"s0": "leaving", "s1": "evacuated", "s2": "unavailable", "s4": "in backoff", "s5": "limited", "s6": ""} {
		c.Check(why[id], qt.Equals, reason, qt.Commentf(id))
	}
	c.Check(why, qt.HasLen, len(b.servers))
	c.Check(report.Servers[len(report.Servers)-1].ID, qt.Equals, "s4")
	c.Check(report.Budget.Tokens, qt.Equals, int64(200))
}

// Guards against a number of requests running without the age of the report that it is from, and against one that is
// taken for the whole load although the server has not reported.
func TestExplainTellsAgeOfReports(t *testing.T) {
	c := qt.New(t)
	b := newBusyRouter(c)
	s7, s8 := b.servers[7], b.servers[8]
	s7.SetLoad(fleet.Load{Running: 3, Waiting: 2, Slots: 4}, time.Now().Add(-time.Second))
	s8.SetLoad(fleet.Load{Running: 3, Waiting: 2, Slots: 4}, time.Now().Add(-time.Minute))
	r := b.request()
	r.PromptTokens = 100_000 // too long for prediction
	report, _ := b.Explain(r)
	for _, s := range report.Servers {
		switch s.ID {
		case s7.ID:
			c.Check(s.Reported && s.ReportAgeMS >= 1000 && s.ReportAgeMS < 1500, qt.IsTrue, qt.Commentf("%v", s))
			c.Check(s.Running, qt.Equals, 5.0)
			c.Check(s.Slots, qt.Equals, 4)
		case s8.ID:
			c.Check(s.Reported, qt.IsFalse)
			c.Check(s.Running, qt.Equals, 0.0)
		}
	}
}

// Guards against a refusal that differs from the one that the request then gets, also where several checks would refuse
// it and the first one decides.
func TestExplainedRefusalIsTheOneServed(t *testing.T) {
	c := qt.New(t)
	b := newBusyRouter(c)
	caller := &refusedCaller{}
	b.Log, b.Metrics = event.Discard(), caller
	b.Retries = retry.NewBudget(retry.Limits{Window: time.Second, Extra: 1}, 1, nil)
	check := func(cause Cause, change func(*request.Request)) {
		r := b.request()
		change(r)
		_, refusal := b.Explain(r)
		b.Serve(context.Background(), r, caller)
		c.Check(refusal.Cause, qt.Equals, cause)
		c.Check(refusal.Cause, qt.Equals, caller.refusal.Cause)
		c.Check(refusal.Detail, qt.Equals, caller.refusal.Detail)
	}
	check(UnknownKey, func(r *request.Request) { r.APIKey = "other" })
	check(UnknownRoute, func(r *request.Request) { r.Host = "other" })
	b.Policy().Route("h", "/x").LatencyGoal = 0 // nothing waits for capacity
	check(BackendsBusy, func(*request.Request) {})
	tooMuch := func(r *request.Request) { r.MaxOutputTokens = 10_000_000 }
	late := func(r *request.Request) { r.Timeout = time.Millisecond }
	check(BackendsBusy, tooMuch)
	check(BackendsBusy, late)
	b.Admission = nil
	check(OverdueUnsent, func(r *request.Request) { r.Timeout, r.HasTokenUsage = time.Millisecond, false })
	for _, s := range b.servers {
		s.SetEvacuated(true)
	}
	check(BackendsEvacuated, func(*request.Request) {})
	check(BackendsEvacuated, tooMuch)
	check(BackendsEvacuated, late)
	for wait := time.Duration(0); wait < time.Second; time.Sleep(min(wait, time.Millisecond)) { // until all concurrent requests are taken
		_, wait, _ = b.Limits.Admit("boatyard", limit.Limits{PerSecond: 1000, Burst: 1000, Concurrency: 10})
	}
	check(OverLimit, late)
}

// BenchmarkExplain measures a question with 300 servers that report a pace, while admission limits the service.
func BenchmarkExplain(b *testing.B) {
	router := newBusyRouter(qt.New(b))
	r := router.request()
	for b.Loop() {
		report, _ := router.Explain(r)
		if !report.Servers[0].Predicted || !report.Admission.Limited {
			b.Fatal("the servers are not predicted, or admission does not limit the service")
		}
	}
}
