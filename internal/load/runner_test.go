package load

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a load loop that sends a request twice or skips one.
func TestRunnerSendsEachRequestOnce(t *testing.T) {
	for name, pace := range map[string]Pace{
		"closed loop": {Requests: 30, Concurrency: 4},
		"open loop":   {Requests: 30, Rate: 5000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			routers := []*fakeRouter{startRouter(c, scriptedResponse{events: completeEvents()}), startRouter(c, scriptedResponse{events: completeEvents()})}
			workload, err := NewWorkload(WorkloadConfig{
				RunID: "run", Accounts: 1, Model: "m", MinOutputTokens: 5, MaxOutputTokens: 5, Stream: true, Answer: testAnswer,
			})
			c.Assert(err, qt.IsNil)
			var waits []time.Duration
			runner, err := NewRunner(workload, pace,
				Target{Name: "routers", Caller: testCaller(&waits, routers[0].address)},
				Target{Name: "direct", Caller: testCaller(&waits, routers[1].address)})
			c.Assert(err, qt.IsNil)
			run := runner.Run(context.Background())
			for _, router := range routers {
				unique := map[string]bool{}
				for _, key := range router.keys {
					unique[key] = true
				}
				c.Assert(router.keys, qt.HasLen, 30)
				c.Assert(unique, qt.HasLen, 30)
			}
			report := run.Report()
			c.Assert(report.Violations(), qt.Equals, 0)
			c.Assert(report.Paired.Pairs, qt.Equals, 30)
			c.Assert(report.Targets[0].InterTokenTime.Count, qt.Equals, int64(30*4))
			c.Assert(run.Outcomes(), qt.HasLen, 30)
			c.Assert(run.DirectOutcomes(), qt.HasLen, 30)
			var table bytes.Buffer
			c.Assert(report.WriteTable(&table), qt.IsNil)
			c.Assert(table.String(), qt.Contains, "target routers: 30 requests")
		})
	}
}

func TestFailedRequestsAreViolations(t *testing.T) {
	c := qt.New(t)
	recorder := NewRecorder()
	for _, status := range []Status{StatusLost, StatusSpliced, StatusTruncated} {
		recorder.Add(&Result{Status: status, Tries: 1, Err: ErrMismatch})
	}
	recorder.Add(&Result{Status: StatusRefused, Tries: 3, Refusal: &Refusal{Cause: "overload", Outcome: "not_run", Status: 503}})
	run := &Run{Elapsed: time.Second, targets: []Target{{Name: "routers"}}, recorders: []*Recorder{recorder}}
	report := run.Report()
	c.Assert(report.Violations(), qt.Equals, 3)
	c.Assert(report.Targets[0].Retries, qt.Equals, 2)
	c.Assert(report.Targets[0].Refusals, qt.DeepEquals, []RefusalCount{{"overload", "not_run", 503, 1}})
}
