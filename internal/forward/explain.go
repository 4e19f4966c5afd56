package forward

import (
	"math"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/admission"
	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Explain returns what would become of a request now, by the checks of Serve in their order, and why. It takes
// nothing and changes nothing. Once a check refuses the request, the others are still reported.
func (f *Forwarder) Explain(r *request.Request) (report explain.Report, refusal *Refusal) {
	p := f.Policy()
	cause := f.admit(p, r)
	if p != nil {
		report.Config = p.Version
	}
	if r.Account != nil {
		report.Account = r.Account.Name
	}
	if r.Route != nil {
		report.Route, report.Priority, report.Service = r.Route.Name, r.Priority(), r.Service
	}
	if cause != "" {
		refused := NewRefusal(cause)
		return report, &refused
	}
	first := func(found *Refusal) {
		if refusal == nil {
			refusal = found
		}
	}
	if r.Timeout == 0 && r.Account != nil && r.Account.Contract != nil {
		r.Timeout = r.Account.Contract.Deadline() // the interface with contracts has no other timeout
	}
	deadline := f.deadline(r)
	if !deadline.IsZero() {
		report.DeadlineMS = milliseconds(time.Until(deadline))
	}
	chooser, servers := f.Chooser.Looker(f.CopyPacer()), f.servers(r)
	first(f.explainQuarantine(r, &report))
	if limits, limited := limitsOf(r); limited {
		if wait, ok := f.Limits.Look(r.Account.Name, limits); !ok {
			first(&Refusal{Cause: OverLimit, RetryAfter: wait})
		}
	}
	unsent, _ := f.lookAtServers(r, servers, chooser)
	first(unsent)
	first(f.explainAdmission(r, &report))
	first(f.explainBudget(r, &report))
	if f.isTooLate(deadline, false) {
		late := NewRefusal(OverdueUnsent)
		first(&late)
	}
	f.explainServers(r, servers, chooser, &report)
	return report, refusal
}

func (f *Forwarder) explainQuarantine(r *request.Request, report *explain.Report) *Refusal {
	_, refused := checkFeatures(featuresOf(r), f.Quarantine.LookHeld, func(quarantine.Feature) bool { return false })
	if refused != nil {
		report.Notes = append(report.Notes, "one router of the fleet may send such a request on trial")
	}
	return refused
}

func (f *Forwarder) explainAdmission(r *request.Request, report *explain.Report) *Refusal {
	if f.isFragile(r.Service) {
		report.Notes = append(report.Notes, "the servers are fragile: the request needs a permit, which was not asked for")
		return nil
	}
	if f.Admission == nil {
		return nil
	}
	look := f.Admission.Look(f.admissionRequest(r))
	a := &explain.Admission{Limited: look.Limited, InProgress: look.InProgress, Waiting: look.Waiting, Used: look.Used,
		Outcome: admission.AdmittedAtOnce, WaitMS: milliseconds(look.Wait), RequestMS: milliseconds(look.Duration),
		Servers: look.Pressure.Eligible, Reported: look.Pressure.Known, Full: look.Pressure.Full, Slots: look.Pressure.Slots,
		Load: look.Pressure.Load, ReportAgeMS: milliseconds(look.Pressure.Age)}
	if look.Limited {
		a.Limit = look.Limit
	}
	if look.Limited && !math.IsInf(look.Share, 1) {
		a.Share, a.AdmittedBelow = &look.Share, &look.Threshold
	}
	if !look.Measured.IsZero() {
		a.Measured, a.MeasuredAgeMS = true, milliseconds(time.Since(look.Measured))
	}
	report.Admission = a
	switch {
	case look.Refusal != nil:
		a.Outcome = string(look.Refusal.Cause)
		return admissionRefusal(look.Refusal)
	case look.Waits:
		a.Outcome = explain.WouldWait
		report.Notes = append(report.Notes, "the request would wait for capacity; it is refused if none becomes free")
	}
	return nil
}

func (f *Forwarder) explainBudget(r *request.Request, report *explain.Report) *Refusal {
	if !needsTokens(r) {
		return nil
	}
	look := f.Budget.Look(r.Account.Name, r.MaxTokens(), r.Priority())
	report.Budget = &explain.Budget{Tokens: r.MaxTokens(), Available: look.Available, Covered: look.Covered}
	if look.Err != nil {
		refused := NewRefusal(budgetCause(look.Err))
		return &refused
	}
	if !look.Covered {
		report.Notes = append(report.Notes, "this router's grant does not cover the request: other routers or the store would be asked, and may refuse")
	}
	return nil
}

// explainServers lists the service's servers: those that are compared in the order of the choice, and the others.
func (f *Forwarder) explainServers(r *request.Request, servers []*fleet.Server, chooser *balance.Chooser, report *explain.Report) {
	now := time.Now()
	report.Servers = make([]explain.Server, 0, len(servers))
	for _, ranked := range chooser.Rank(servers, r) {
		s := serverOf(ranked, r, now)
		s.OtherDomain = ranked.Server.Domain != chooser.Domain()
		switch {
		case ranked.State != balance.Available:
			s.Why = whyLeftOut(ranked.Server, ranked.State)
		case ranked.Skipped:
			s.Why = "not compared for this request"
		case f.isFragile(r.Service) && f.Permits.HeldOff(ranked.Server, r.Priority()) > 0:
			s.Why, s.WaitMS = "no permits", milliseconds(f.Permits.HeldOff(ranked.Server, r.Priority()))
		default:
			if ranked.InBackoff() {
				s.Why = "in backoff"
			}
			report.Servers = append(report.Servers, s)
			continue
		}
		report.LeftOut = append(report.LeftOut, s)
	}
	all := f.Servers(r.Service)
	if len(all) == len(servers) {
		return
	}
	for _, s := range all {
		if !slices.Contains(servers, s) {
			report.LeftOut = append(report.LeftOut, explain.Server{ID: s.ID, FailureDomain: s.Domain, Why: "version not admitted", Running: float64(s.Status(now).Running)})
		}
	}
}

func serverOf(ranked *balance.Ranked, r *request.Request, now time.Time) explain.Server {
	s := explain.Server{ID: ranked.Server.ID, FailureDomain: ranked.Server.Domain, WaitMS: milliseconds(ranked.Delay), CostMS: ranked.CostMs,
		Predicted: ranked.Predicted(), QueueMS: ranked.QueueMs, ReadingMS: ranked.ReadingMs, Pace: ranked.Pace, PaceAgeMS: ranked.AgeMs,
		Running: ranked.Running, Paced: ranked.Paced()}
	status := ranked.Server.Status(now)
	s.Slots, s.Reported, s.ReportAgeMS = status.Slots, status.Reported, milliseconds(status.ReportAge)
	if !ranked.Predicted() {
		s.Running = float64(status.Running)
	}
	if r.HasTokenUsage && ranked.State == balance.Available && !ranked.Skipped {
		s.UnreadTokens = ranked.UncachedTokens
		s.CachedTokens = max(0, float64(r.PromptTokens)-ranked.UncachedTokens)
	}
	return s
}

// whyLeftOut returns the reason why a server gets no request.
func whyLeftOut(s *fleet.Server, state balance.State) string {
	switch {
	case s.Leaving():
		return "leaving"
	case s.Missing():
		return "missing"
	}
	switch state {
	case balance.AllEvacuated:
		return "evacuated"
	case balance.AllCold:
		return "cold"
	case balance.AllLimited:
		return "limited"
	case balance.AllUnavailable:
		return "unavailable"
	}
	return "not eligible"
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
