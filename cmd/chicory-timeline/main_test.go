package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

func TestRunMergesAndFiltersFiles(t *testing.T) {
	c := qt.New(t)
	var first, second bytes.Buffer
	a := event.New(&first, "a@1", slog.LevelDebug, nil)
	a.Emit(event.RequestReplayed, slog.String(event.KeyRequest, "r1"))
	b := event.New(&second, "b@1", slog.LevelDebug, nil)
	b.Observe(a.Tick())
	b.Emit(event.TokensHandedOver, slog.String(event.KeyRequest, "r1"))
	b.Emit(event.PeerLeft)
	directory := c.TempDir()
	files := []string{filepath.Join(directory, "b.log"), filepath.Join(directory, "a.log")}
	c.Assert(os.WriteFile(files[0], append(second.Bytes(), "half a li"...), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files[1], first.Bytes(), 0o600), qt.IsNil)

	o, err := parseOptions(append(files, "--request", "r1", "--event", "207,308", "--output", "json"))
	c.Assert(err, qt.IsNil)
	var stdout, stderr bytes.Buffer
	c.Assert(run(o, strings.NewReader("not read"), &stdout, &stderr), qt.IsNil)
	line, _, _ := strings.Cut(second.String(), "\n")
	c.Assert(stdout.String(), qt.Equals, first.String()+line+"\n")
	c.Assert(stderr.String(), qt.Equals, "chicory-timeline: 1 damaged lines passed over\n")
}

func TestRunReadsStandardInputWithoutFiles(t *testing.T) {
	c := qt.New(t)
	var log, stdout, stderr bytes.Buffer
	event.New(&log, "a@1", slog.LevelDebug, nil).Emit(event.ProcessReady)
	o, err := parseOptions([]string{"--output", "json"})
	c.Assert(err, qt.IsNil)
	c.Assert(run(o, &log, &stdout, &stderr), qt.IsNil)
	c.Assert(stdout.String(), qt.Contains, "process ready")
	c.Assert(stderr.String(), qt.Equals, "")
}

func TestInvalidFiltersAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, args := range [][]string{{"--event", "x"}, {"--since", "noon"}, {"--until", "1"}} {
		_, err := parseOptions(args)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", args))
	}
}
