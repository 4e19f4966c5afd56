package load

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// startServer runs a server until the end of the test and returns its address.
func startServer(c *qt.C, serve func(net.Listener) error, stop func()) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- serve(listener) }()
	c.Cleanup(func() {
		stop()
		c.Check(<-done, qt.IsNil)
	})
	return listener.Addr().String()
}

// Guards against miscounting the runs that a simulated engine reports.
func TestEngineRunsAreReadFromStub(t *testing.T) {
	c := qt.New(t)
	engine := enginestub.New(enginestub.Config{ChunkTokens: 3})
	address := startServer(c, engine.Serve, engine.Close)
	workload, err := NewWorkload(WorkloadConfig{
		Seed: 1, RunID: "run", Accounts: 1, Model: "m", PromptBytes: 64,
		MinOutputTokens: 1, MaxOutputTokens: 40, Stream: true, Answer: enginestub.Answer,
	})
	c.Assert(err, qt.IsNil)
	var waits []time.Duration
	caller := testCaller(&waits, address)
	ids := map[string]int{}
	for i := range 20 {
		result := caller.Call(context.Background(), workload.Request(i))
		c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
		ids[result.RequestID] = 1
	}
	runs, err := caller.client.EngineRuns([]string{address})
	c.Assert(err, qt.IsNil)
	c.Assert(ids, qt.HasLen, 20)
	c.Assert(runs, qt.DeepEquals, ids)
}

func TestServiceRunsAreReadFromStub(t *testing.T) {
	c := qt.New(t)
	service := enginestub.NewService(enginestub.ServiceConfig{})
	address := startServer(c, service.Serve, service.Close)
	var waits []time.Duration
	caller := testCaller(&waits, address)
	request := Request{Kind: KindConfirm, Key: "k1", Path: "/confirm", Body: mustMarshal(confirmBody{ID: "k1"})}
	for range 2 { // the simulated service does not deduplicate calls
		result := caller.Call(context.Background(), request)
		c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
	}
	evidence, err := caller.client.GatherEvidence(Sources{Services: []string{address}})
	c.Assert(err, qt.IsNil)
	c.Assert(evidence.ServiceRuns, qt.DeepEquals, map[string]int{"k1": 2})
}
