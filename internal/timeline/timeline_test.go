package timeline

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/event"
)

// testLog is the log of one process.
type testLog struct {
	*event.Log
	out bytes.Buffer
}

// newLog returns the log of a process whose wall clock is off by skew.
func newLog(process string, skew time.Duration) *testLog {
	log := &testLog{}
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC).Add(skew)
	log.Log = event.New(&log.out, process, slog.LevelDebug, func() time.Time {
		now = now.Add(time.Millisecond)
		return now
	})
	return log
}

func read(c *qt.C, logs ...string) *Log {
	var all Log
	for _, log := range logs {
		c.Assert(all.Read(strings.NewReader(log)), qt.IsNil)
	}
	return &all
}

func summarize(lines []Line) []string {
	var summaries []string
	for _, line := range lines {
		summaries = append(summaries, fmt.Sprintf("%s %d", line.Process, line.Number))
	}
	return summaries
}

// Guards against a timeline ordered by wrong wall clocks.
func TestMergeIgnoresWrongWallClocks(t *testing.T) {
	c := qt.New(t)
	router, other := newLog("a@1", 0), newLog("b@1", -time.Hour)
	router.Emit(event.RequestReplayed)
	router.Emit(event.RequestServed)
	other.Observe(router.Tick()) // the tokens arrive
	other.Emit(event.TokensHandedOver)
	router.Observe(other.Tick()) // the acknowledgement arrives
	router.Emit(event.RequestAbandoned)

	log := read(c, other.out.String(), router.out.String())
	c.Assert(summarize(Merge(log.Lines)), qt.DeepEquals, []string{"a@1 207", "a@1 208", "b@1 308", "a@1 206"})
}

// Guards against an effect before its cause in the timeline, whatever the wall clocks show.
func TestMergePutsCausesBeforeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var logs []*testLog
		for i := range rapid.IntRange(1, 4).Draw(t, "processes") {
			skew := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew")) * time.Millisecond
			logs = append(logs, newLog(fmt.Sprintf("p%d", i), skew))
		}
		emitted := make([]uint64, len(logs))       // last seq of each process
		causesOf := map[string]map[string]uint64{} // line -> process -> seq that must precede the line
		emit := func(i int, causes map[string]uint64) {
			emitted[i]++
			causesOf[fmt.Sprintf("p%d/%d", i, emitted[i])] = causes
			logs[i].Emit(event.ProcessReady)
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, len(logs)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(logs)-1).Draw(t, "to")
			emit(from, nil)
			logs[to].Observe(logs[from].Tick())
			emit(to, map[string]uint64{fmt.Sprintf("p%d", from): emitted[from]})
		}
		var all Log
		for _, log := range logs {
			if err := all.Read(&log.out); err != nil {
				t.Fatal(err)
			}
		}
		seen := map[string]uint64{}
		for _, line := range Merge(all.Lines) {
			if line.Seq != seen[line.Process]+1 {
				t.Fatalf("%s: seq %d after %d", line.Process, line.Seq, seen[line.Process])
			}
			for process, seq := range causesOf[fmt.Sprintf("%s/%d", line.Process, line.Seq)] {
				if process != line.Process && seen[process] < seq {
					t.Fatalf("%s/%d came before its cause %s/%d", line.Process, line.Seq, process, seq)
				}
			}
			seen[line.Process] = line.Seq
		}
	})
}

func TestReadCountsAndSkipsMalformedLines(t *testing.T) {
	c := qt.New(t)
	source := newLog("a@1", 0)
	source.Emit(event.ProcessStarted)
	good := source.out.String()
	bad := []string{
		"not json", `{"event":100}`, `[]`, `7`, strings.Replace(good, `"seq":1`, `"seq":"x"`, 1),
		strings.Replace(good, `"clock":1`, `"clock":-1`, 1), strings.Repeat("x", MaxLineBytes+10),
		strings.Repeat("x", 3*MaxLineBytes),
	}
	partial := good[:len(good)/2] // as at the end of a killed process's log
	log := read(c, good+"\n"+strings.Join(bad, "\n")+"\n"+good+partial)
	c.Assert(log.Lines, qt.HasLen, 2)
	c.Assert(log.MalformedLines, qt.Equals, len(bad)+1)
}

func TestFilterApply(t *testing.T) {
	c := qt.New(t)
	router, engine := newLog("vm-1@7", 0), newLog("engine-1", 0)
	emit := func(log *testLog, number event.Number, pairs ...string) {
		var attrs []slog.Attr
		for i := 0; i < len(pairs); i += 2 {
			attrs = append(attrs, slog.String(pairs[i], pairs[i+1]))
		}
		log.Emit(number, attrs...)
	}
	emit(router, event.RequestReplayed, event.KeyRequest, "r1", event.KeyAccount, "harbour")
	emit(router, event.RequestServed, event.KeyRequest, "r1", event.KeyAttempt, "r1.1", event.KeyBackend, "e1")
	emit(router, event.AttemptFailed, event.KeyAttempt, "r1.1", event.KeyCause, "backend_failed")
	emit(router, event.RequestReplayed, event.KeyRequest, "r2", event.KeyAccount, "depot")
	emit(router, event.PeerLeft, event.KeyRouter, "vm-2@3")
	engine.Observe(router.Tick())
	emit(engine, event.BackendLeaving, event.KeyAttempt, "r1.1")
	lines := Merge(read(c, router.out.String(), engine.out.String()).Lines)
	start := lines[0].Time

	related := []string{"vm-1@7 207", "vm-1@7 208", "vm-1@7 203", "engine-1 702"}
	tests := []struct {
		name   string
		filter Filter
		want   []string
	}{
		{"request and its attempts", Filter{Request: "r1"}, related},
		{"attempt and its request", Filter{Request: "r1.1"}, related},
		{"unknown request", Filter{Request: "r"}, nil},
		{"account", Filter{Account: "depot"}, []string{"vm-1@7 207"}},
		{"router that is named", Filter{Router: "vm-2"}, []string{"vm-1@7 603"}},
		{"router that wrote", Filter{Router: "vm-1@7", Request: "r2"}, []string{"vm-1@7 207"}},
		{"router with a longer name", Filter{Router: "vm"}, nil},
		{"backend", Filter{Backend: "e1"}, []string{"vm-1@7 208"}},
		{"cause", Filter{Cause: "backend_failed"}, []string{"vm-1@7 203"}},
		{"events", Filter{Events: []event.Number{603, 702}}, []string{"vm-1@7 603", "engine-1 702"}},
		{"since", Filter{Since: lines[4].Time}, []string{"vm-1@7 603"}},
		{"until", Filter{Until: start.Add(time.Millisecond), Router: "vm-1"}, []string{"vm-1@7 207"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, summarize(test.filter.Apply(lines)), qt.DeepEquals, test.want)
		})
	}
}

func TestWriteTableAndJSON(t *testing.T) {
	c := qt.New(t)
	source := newLog("a@1", 0)
	source.Emit(event.RequestRefused, slog.String(event.KeyCause, "overload x=1\n"), slog.Int(event.KeyTokens, 7))
	lines := read(c, source.out.String()).Lines
	var table, raw bytes.Buffer
	c.Assert(WriteTable(&table, lines), qt.IsNil)
	c.Assert(table.String(), qt.Contains, `201    request refused  cause="overload x=1\n" tokens=7`)
	c.Assert(WriteJSON(&raw, lines), qt.IsNil)
	c.Assert(raw.String(), qt.Equals, source.out.String())
}

// FuzzRead checks that no input makes Read fail, and that the lines read can be written and
// read again.
func FuzzRead(f *testing.F) {
	source := newLog("a@1", 0)
	source.Emit(event.RequestRefused, slog.String(event.KeyCause, "overload"), slog.Group("g", slog.Int("n", 1)))
	f.Add(source.out.Bytes())
	f.Add([]byte("{\"event\":100,\"seq\":1\n\n{}\n\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var log Log
		if err := log.Read(bytes.NewReader(data)); err != nil {
			t.Fatal(err)
		}
		merged := Merge(log.Lines)
		if len(merged) != len(log.Lines) {
			t.Fatalf("%d lines of %d", len(merged), len(log.Lines))
		}
		var out bytes.Buffer
		if err := WriteJSON(&out, merged); err != nil {
			t.Fatal(err)
		}
		var again Log
		if err := again.Read(&out); err != nil || again.MalformedLines != 0 || len(again.Lines) != len(merged) {
			t.Fatalf("read again: %v, %d malformed, %d lines of %d", err, again.MalformedLines, len(again.Lines), len(merged))
		}
	})
}

func BenchmarkReadAndMerge(b *testing.B) {
	const processes, events = 8, 1000
	var data []byte
	for i := range processes {
		source := newLog(fmt.Sprintf("p%d", i), 0)
		for range events {
			source.Emit(event.RequestRefused, slog.String(event.KeyRequest, "r1"), slog.String(event.KeyCause, "overload"))
		}
		data = append(data, source.out.Bytes()...)
	}
	for b.Loop() {
		var log Log
		if err := log.Read(bytes.NewReader(data)); err != nil {
			b.Fatal(err)
		}
		Merge(log.Lines)
	}
	b.ReportMetric(float64(processes*events*b.N)/b.Elapsed().Seconds(), "lines/s")
}
