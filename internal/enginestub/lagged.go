package enginestub

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// laggedLoad gives load reports that are lag old, as a real engine's are.
type laggedLoad struct {
	lag     time.Duration
	reports []backend.LoadReport // by time; the first is at least lag old
}

// record notes the load as it is now.
func (l *laggedLoad) record(now time.Time, report backend.LoadReport) {
	report.At = now
	if l.lag == 0 {
		l.reports = append(l.reports[:0], report)
		return
	}
	l.reports = append(l.reports, report)
	l.forget(now)
}

// at gives the newest report that is at least lag old; the oldest, if none is.
func (l *laggedLoad) at(now time.Time) backend.LoadReport {
	l.forget(now)
	if len(l.reports) == 0 {
		return backend.LoadReport{}
	}
	return l.reports[0]
}

// forget drops the reports that a newer one, itself old enough, replaces.
func (l *laggedLoad) forget(now time.Time) {
	visible := now.Add(-l.lag)
	drop := 0
	for drop+1 < len(l.reports) && !l.reports[drop+1].At.After(visible) {
		drop++
	}
	l.reports = l.reports[drop:]
}
