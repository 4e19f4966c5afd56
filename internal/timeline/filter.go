package timeline

import (
	"slices"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Filter chooses lines. Each zero field lets everything through; a line must pass
// all others.
type Filter struct {
	// Request is the id of a request or of one of its attempts. It chooses all
	// lines of the request and of all its attempts.
	Request string
	Account string
	// Router is "vm@incarnation" or "vm": lines that the router wrote or that name it.
	Router  string
	Backend string
	Cause   string
	Events  []event.Number
	Since   time.Time // inclusive
	Until   time.Time // exclusive
}

// Apply gives the lines that pass, in their order.
func (f Filter) Apply(lines []Line) []Line {
	family := familyOf(lines, f.Request)
	var chosen []Line
	for i := range lines {
		if f.passes(&lines[i], family) {
			chosen = append(chosen, lines[i])
		}
	}
	return chosen
}

func (f Filter) passes(line *Line, family map[string]bool) bool {
	switch {
	case f.Request != "" && !family[line.Attr(event.KeyRequest)] && !family[line.Attr(event.KeyAttempt)]:
		return false
	case f.Account != "" && line.Attr(event.KeyAccount) != f.Account:
		return false
	case f.Backend != "" && line.Attr(event.KeyBackend) != f.Backend:
		return false
	case f.Cause != "" && line.Attr(event.KeyCause) != f.Cause:
		return false
	case f.Router != "" && !isRouter(line.Process, f.Router) && !isRouter(line.Attr(event.KeyRouter), f.Router):
		return false
	case len(f.Events) > 0 && !slices.Contains(f.Events, line.Number):
		return false
	case !f.Since.IsZero() && line.Time.Before(f.Since):
		return false
	}
	return f.Until.IsZero() || line.Time.Before(f.Until)
}

func isRouter(name, wanted string) bool {
	return name == wanted || strings.HasPrefix(name, wanted+"@")
}

// familyOf gives the ids of a request and of its attempts. Some lines, such as
// those of an engine, name only the attempt.
func familyOf(lines []Line, id string) map[string]bool {
	if id == "" {
		return nil
	}
	family := map[string]bool{id: true}
	for i := range lines {
		if request := lines[i].Attr(event.KeyRequest); request != "" && lines[i].Attr(event.KeyAttempt) == id {
			family[request] = true
		}
	}
	for i := range lines {
		if attempt := lines[i].Attr(event.KeyAttempt); attempt != "" && family[lines[i].Attr(event.KeyRequest)] {
			family[attempt] = true
		}
	}
	return family
}
