package ctl

import (
	"fmt"
	"math"
	"strconv"

	"chicorytiller.example/chicorytiller/internal/explain"
)

// printExplanations prints one router's answer in full and those of several as a table.
func (a *app) printExplanations(answers []explanation) error {
	if a.jsonOutput {
		return a.printJSON(answers)
	}
	if len(answers) == 1 {
		if answers[0].Report == nil {
			return nil // the error is printed in any case
		}
		return a.printReport(answers[0].Report)
	}
	t := table{{"ROUTER", "PEERS", "FAILURE DOMAIN", "ANSWER", "FIRST SERVER", "COST MS"}}
	for _, answer := range answers {
		r := answer.Report
		if r == nil {
			t = append(t, []string{"?", answer.Peer, "", "not asked: " + answer.Error, "", ""})
			continue
		}
		server, cost := "-", "-"
		if len(r.Servers) > 0 {
			server, cost = r.Servers[0].ID, formatMS(r.Servers[0].CostMS)
		}
		t = append(t, []string{r.Router, answer.Peer, r.FailureDomain, answerText(r), server, cost})
	}
	return a.print(nil, t)
}

func (a *app) printReport(r *explain.Report) error {
	rows := table{
		{"router", r.Router + ", failure domain " + r.FailureDomain + ", configuration " + formatInt(r.Config)},
		{"answer", answerText(r)},
	}
	if r.Route != "" {
		rows = append(rows, []string{"route", fmt.Sprintf("%s, priority %d, service %s", r.Route, r.Priority, r.Service)})
	}
	if r.Account != "" {
		rows = append(rows, []string{"account", r.Account})
	}
	if r.DeadlineMS != 0 {
		rows = append(rows, []string{"time left", formatMS(r.DeadlineMS) + " ms"})
	}
	if b := r.Budget; b != nil {
		covered := "covered by"
		if !b.Covered {
			covered = "not covered by"
		}
		rows = append(rows, []string{"tokens", fmt.Sprintf("%d, %s this router's grant (%d available)", b.Tokens, covered, b.Available)})
	}
	rows = append(rows, admissionRows(r.Admission)...)
	for _, note := range r.Notes {
		rows = append(rows, []string{"note", note})
	}
	if err := a.print(nil, rows); err != nil {
		return err
	}
	return a.printServers(r)
}

func answerText(r *explain.Report) string {
	if r.Refusal == nil {
		return "would be sent"
	}
	text := fmt.Sprintf("would be refused: %d %s", r.Refusal.Status, r.Refusal.Cause)
	if r.Refusal.Detail != "" {
		text += " (" + r.Refusal.Detail + ")"
	}
	if r.Refusal.RetryAfterMS > 0 {
		const perSecond = 1000
		text += ", Retry-After " + strconv.FormatFloat(math.Ceil(r.Refusal.RetryAfterMS)/perSecond, 'f', -1, 64)
	}
	return text
}

func admissionRows(a *explain.Admission) table {
	if a == nil {
		return nil
	}
	reports := "nothing measured yet"
	if a.Measured {
		reports = fmt.Sprintf("%d of %d servers reported, %d full, load %.0f of %.0f slots; measured %s ms ago, oldest report %s ms older",
			a.Reported, a.Servers, a.Full, a.Load, a.Slots, formatMS(a.MeasuredAgeMS), formatMS(a.ReportAgeMS))
	}
	if !a.Limited {
		return table{{"admission", fmt.Sprintf("%s, not limited, %d in progress", a.Outcome, a.InProgress)}, {"", reports}}
	}
	share := "all it asks for"
	if a.Share != nil {
		share = fmt.Sprintf("%.2f, of which %.2f used", *a.Share, a.Used)
		if a.AdmittedBelow != nil {
			share += fmt.Sprintf(", admitted below %.2f", *a.AdmittedBelow)
		}
	}
	outcome := a.Outcome
	if outcome == explain.WouldWait {
		outcome += " up to " + formatMS(a.WaitMS) + " ms"
	}
	return table{
		{"admission", fmt.Sprintf("%s; limit %.2f, %d in progress, %d waiting, share %s", outcome, a.Limit, a.InProgress, a.Waiting, share)},
		{"", "a request like it takes " + formatMS(a.RequestMS) + " ms"},
		{"", reports},
	}
}

func (a *app) printServers(r *explain.Report) error {
	if len(r.Servers) > 0 {
		t := table{{"", "SERVER", "FAILURE DOMAIN", "COST MS", "QUEUE MS", "READING MS", "PACE", "RUNNING", "SLOTS", "REPORT AGE MS", "CACHED", "UNREAD", "REMARK"}}
		for i, s := range r.Servers[:min(len(r.Servers), maxTextServers)] {
			queue, reading, pace, slots, age := "-", "-", "-", "-", "-"
			if s.Slots > 0 {
				slots = strconv.Itoa(s.Slots)
			}
			if s.Reported {
				age = formatMS(s.ReportAgeMS)
			}
			if s.Predicted {
				queue, reading, pace = formatMS(s.QueueMS), formatMS(s.ReadingMS), fmt.Sprintf("%.2f", s.Pace)
			}
			t = append(t, []string{strconv.Itoa(i + 1), s.ID, s.FailureDomain, formatMS(s.CostMS), queue, reading, pace,
				fmt.Sprintf("%.1f", s.Running), slots, age, fmt.Sprintf("%.0f", s.CachedTokens), fmt.Sprintf("%.0f", s.UnreadTokens), s.Why})
		}
		if err := a.printf("\n"); err != nil {
			return err
		}
		if err := a.print(nil, t); err != nil {
			return err
		}
	}
	if more := len(r.Servers) - maxTextServers; more > 0 {
		if err := a.printf("and %d more, see --json\n", more); err != nil {
			return err
		}
	}
	if len(r.LeftOut) == 0 {
		return nil
	}
	t := table{{"LEFT OUT", "FAILURE DOMAIN", "WHY", "FOR MS"}}
	for _, s := range r.LeftOut[:min(len(r.LeftOut), maxTextServers)] {
		wait := "-"
		if s.WaitMS > 0 {
			wait = formatMS(s.WaitMS)
		}
		t = append(t, []string{s.ID, s.FailureDomain, s.Why, wait})
	}
	if err := a.printf("\n"); err != nil {
		return err
	}
	if err := a.print(nil, t); err != nil {
		return err
	}
	if more := len(r.LeftOut) - maxTextServers; more > 0 {
		return a.printf("and %d more, see --json\n", more)
	}
	return nil
}

func formatMS(ms float64) string {
	return strconv.FormatFloat(ms, 'f', 1, 64)
}
