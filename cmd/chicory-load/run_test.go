package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/load"
)

func TestRunAgainstEngine(t *testing.T) {
	c := qt.New(t)
	engine := enginestub.New(enginestub.Config{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- engine.Serve(listener) }()
	defer func() {
		engine.Close()
		c.Check(<-done, qt.IsNil)
	}()
	address := listener.Addr().String()
	o := parseOptions([]string{
		"--direct", address, "--engines", address, "--requests", "40", "--output-tokens", "5-20", "--output", "json",
	})
	var out bytes.Buffer
	violations, err := run(context.Background(), o, &out)
	c.Assert(err, qt.IsNil)
	c.Assert(violations, qt.Equals, 0)
	var report load.Report
	c.Assert(json.Unmarshal(out.Bytes(), &report), qt.IsNil)
	c.Assert(report.Targets[0].Statuses, qt.DeepEquals, map[load.Status]int{load.StatusOK: 40})
	c.Assert(report.Targets[0].TimeToFirstToken.Count, qt.Equals, int64(40))
	c.Assert(report.Reconciliation.CheckedAgainst, qt.DeepEquals, []string{"engines (40)"})
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, args := range [][]string{
		{},                          // neither --router nor --direct
		{"--direct", "127.0.0.1:1"}, // neither requests nor duration
		{"--direct", "127.0.0.1:1", "--paired", "--requests", "1"},                             // --paired without --router
		{"--router", "127.0.0.1:1", "--requests", "1"},                                         // no key
		{"--direct", "127.0.0.1:1", "--requests", "1", "--output-tokens", "9-2"},               // empty range
		{"--router", "127.0.0.1:1", "--key", "k", "--requests", "1", "--service-share", "0.5"}, // no --service
	} {
		_, err := run(context.Background(), parseOptions(args), &bytes.Buffer{})
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", args))
	}
	c.Assert(parseOptions([]string{"--deadline", "3s"}).deadline, qt.Equals, 3*time.Second)
}
