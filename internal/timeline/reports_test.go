package timeline

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

// tableRow returns the words of the table row that begins with first.
func tableRow(c *qt.C, write func(io.Writer, []Line) error, lines []Line, first string) []string {
	var out bytes.Buffer
	c.Assert(write(&out, lines), qt.IsNil)
	for _, row := range strings.Split(out.String(), "\n") {
		if strings.HasPrefix(row, first+" ") {
			return strings.Fields(row)
		}
	}
	c.Fatalf("no row %q in:\n%s", first, out.String())
	return nil
}

func TestWriteRequestsByRouteAndStage(t *testing.T) {
	c := qt.New(t)
	log := newLog("a@1", 0)
	for i := range 10 {
		log.Emit(event.RequestServed, slog.String("route", "draft"), slog.Int("ms", 100*i), slog.Int("first_ms", 50*i),
			slog.Int("reserved_ms", 10*i), slog.Int("server_ms", 30*i), slog.Int("pause_ms", i))
	}
	log.Emit(event.ResponseAborted, slog.String("route", "draft"), slog.Int("ms", 7))
	log.Emit(event.RequestAbandoned, slog.String("route", "other"))
	lines := read(c, log.out.String()).Lines
	c.Assert(tableRow(c, WriteRequests, lines, "draft"), qt.DeepEquals,
		strings.Fields("draft 10 0 1 50 / 90 / 90 50 / 90 / 90 150 / 270 / 270 5 / 9 / 9 500 / 900 / 900"))
	c.Assert(tableRow(c, WriteRequests, lines, "other"), qt.DeepEquals, strings.Fields("other 0 1 0 - - - - -"))
}

// Guards against a last refusal earlier than the first if the clocks of routers differ.
func TestWriteRequestsRefusalsByCause(t *testing.T) {
	c := qt.New(t)
	ahead, behind := newLog("a@1", 0), newLog("b@1", -time.Hour)
	ahead.Emit(event.RequestRefused, slog.String(event.KeyCause, "no_backend"), slog.Int("ms", 3))
	behind.Observe(ahead.Tick())
	behind.Emit(event.RequestRefused, slog.String(event.KeyCause, "no_backend"), slog.Int("ms", 5))
	row := tableRow(c, WriteRequests, Merge(read(c, ahead.out.String(), behind.out.String()).Lines), "no_backend")
	c.Assert(row[1], qt.Equals, "2")
	c.Assert(row[2] < row[3], qt.IsTrue, qt.Commentf("%v", row))
}

func TestWriteBudgetsByAccount(t *testing.T) {
	c := qt.New(t)
	log := newLog("a@1", 0)
	account := slog.String(event.KeyAccount, "boatyard")
	log.Emit(event.RequestServed, account, slog.Int(event.KeyTokens, 700))
	log.Emit(event.RequestAbandoned, account, slog.Int(event.KeyTokens, 50))
	log.Emit(event.RequestServed, slog.String("route", "unmetered"))
	log.Emit(event.GrantClosed, slog.String(event.KeyBudget, "boatyard"), slog.Int("judged", 900), slog.Int("spent", 600))
	for range 2 {
		log.Emit(event.RequestRefused, account, slog.String(event.KeyCause, "budget_in_doubt"))
	}
	log.Emit(event.RequestRefused, account, slog.String(event.KeyCause, "no_backend"))
	lines := read(c, log.out.String()).Lines
	c.Assert(tableRow(c, WriteBudgets, lines, "boatyard"), qt.DeepEquals, strings.Fields("boatyard 750 1 900 600 300 in_doubt=2"))
}
