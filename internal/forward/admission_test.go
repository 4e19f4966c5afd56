package forward

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/request"
)

// shortage is an Admission that only tells whether capacity is short.
type shortage struct {
	Admission
	short bool
}

func (s shortage) Short(string) bool { return s.short }

// Guards against refusals later than 100 ms because full servers reject one attempt after the other, and against fewer
// attempts where capacity is not short or the request may have run.
func TestRejectionsLeaveTimeForTheRefusal(t *testing.T) {
	for name, test := range map[string]struct {
		before, attempt time.Duration // until the attempt is sent, and until it is rejected
		short, ran      bool
		again           bool
	}{
		"soon":          {10 * time.Millisecond, 40 * time.Millisecond, true, false, true},
		"slow attempt":  {10 * time.Millisecond, 60 * time.Millisecond, true, false, false},
		"sent late":     {90 * time.Millisecond, 10 * time.Millisecond, true, false, false},
		"capacity left": {90 * time.Millisecond, 60 * time.Millisecond, false, false, true},
		"may have run":  {90 * time.Millisecond, 60 * time.Millisecond, true, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			task := &task{f: &Forwarder{Admission: shortage{short: test.short}}, r: &request.Request{Arrived: time.Now()}, mayHaveRun: test.ran}
			time.Sleep(test.before)
			task.sentAt = time.Now()
			time.Sleep(test.attempt)
			qt.Check(t, task.canRefuseLater(), qt.Equals, test.again, qt.Commentf(name))
		})
	}
}

// Guards against requests that were never sent but are taken for users of their class's share.
func TestUnsentRequestsAreReported(t *testing.T) {
	qt.Check(t, (&task{}).admissionOutcome().Unsent, qt.IsTrue)
	qt.Check(t, (&task{sends: 1}).admissionOutcome().Unsent, qt.IsFalse)
}
