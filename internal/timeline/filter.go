package timeline

import (
	"slices"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Filter selects lines. A zero field matches all lines; a line must match all other fields.
type Filter struct {
	// Request is the ID of a request or of one of its attempts. It matches all lines of the
	// request and of all its attempts.
	Request string
	Account string
	// Router is "vm@incarnation" or "vm". It matches lines that the router wrote or that
	// name it.
	Router  string
	Backend string
	Cause   string
	Events  []event.Number
	Since   time.Time // inclusive
	Until   time.Time // exclusive
}

// Apply returns the matching lines in their order.
func (f Filter) Apply(lines []Line) []Line {
	ids := relatedIDs(lines, f.Request)
	var selected []Line
	for i := range lines {
		if f.matches(&lines[i], ids) {
			selected = append(selected, lines[i])
		}
	}
	return selected
}

func (f Filter) matches(line *Line, ids map[string]bool) bool {
	switch {
	case f.Request != "" && !ids[line.Attr(event.KeyRequest)] && !ids[line.Attr(event.KeyAttempt)]:
		return false
	case f.Account != "" && line.Attr(event.KeyAccount) != f.Account:
		return false
	case f.Backend != "" && line.Attr(event.KeyBackend) != f.Backend:
		return false
	case f.Cause != "" && line.Attr(event.KeyCause) != f.Cause:
		return false
	case f.Router != "" && !matchesRouter(line.Process, f.Router) && !matchesRouter(line.Attr(event.KeyRouter), f.Router):
		return false
	case len(f.Events) > 0 && !slices.Contains(f.Events, line.Number):
		return false
	case !f.Since.IsZero() && line.Time.Before(f.Since):
		return false
	}
	return f.Until.IsZero() || line.Time.Before(f.Until)
}

func matchesRouter(name, router string) bool {
	return name == router || strings.HasPrefix(name, router+"@")
}

// relatedIDs returns the IDs of the request with the given request or attempt ID and of its
// attempts. Some lines, such as those of an engine, name only the attempt.
func relatedIDs(lines []Line, id string) map[string]bool {
	if id == "" {
		return nil
	}
	ids := map[string]bool{id: true}
	for i := range lines {
		if request := lines[i].Attr(event.KeyRequest); request != "" && lines[i].Attr(event.KeyAttempt) == id {
			ids[request] = true
		}
	}
	for i := range lines {
		if attempt := lines[i].Attr(event.KeyAttempt); attempt != "" && ids[lines[i].Attr(event.KeyRequest)] {
			ids[attempt] = true
		}
	}
	return ids
}
