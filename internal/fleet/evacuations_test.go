package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

const testWarmUp = 3 * time.Second

// evacuated is a registry with servers in two failure domains, and the orders about those.
type evacuated struct {
	*qt.C
	*Evacuations
	registry *Registry
	clock    *clock
	log      bytes.Buffer
}

func newEvacuated(t *testing.T) *evacuated {
	e := &evacuated{C: qt.New(t)}
	e.registry, e.clock = newRegistry()
	e.registry.SetWarmUp(func(string) time.Duration { return testWarmUp })
	domainOf := func(key string) (string, bool) { return strings.CutPrefix(key, "orders/evacuate/") }
	e.Evacuations = NewEvacuations(domainOf, e.registry, event.New(&e.log, "p", slog.LevelInfo, nil))
	e.put(1, "east", 0)
	e.put(2, "west", 0)
	return e
}

// put writes a server's entry at a revision, under the name of its domain.
func (e *evacuated) put(revision store.Revision, domain string, cold time.Duration) {
	value, err := json.Marshal(Entry{ID: domain, Service: "engines", Address: "10.0.0.1:80", Domain: domain, Cold: cold})
	e.Assert(err, qt.IsNil)
	e.registry.Apply([]store.Event{put(store.Item{Key: "servers/" + domain, Value: value, Revision: revision})}, usual)
}

func order(domain string, revision store.Revision) store.Item {
	return store.Item{Key: "orders/evacuate/" + domain, Value: []byte("{}"), Revision: revision}
}

// open lists the servers that may get requests, cold ones with a star.
func (e *evacuated) open() string {
	list := ""
	for _, s := range e.registry.View().ByService["engines"] {
		if s.Ineligible() {
			continue
		}
		list += s.ID
		if s.ColdFor(e.clock.now()) > 0 {
			list += "*"
		}
		list += " "
	}
	return strings.TrimSpace(list)
}

// Guards against requests to servers that join an evacuated failure domain.
func TestEvacuatedDomainIsClosedUntilItIsRestored(t *testing.T) {
	e := newEvacuated(t)
	e.Apply([]store.Event{put(order("east", 5)), put(store.Item{Key: "orders/document", Revision: 6})})
	e.Assert(e.open(), qt.Equals, "west")
	e.Assert(e.registry.View().Total, qt.Equals, 2, qt.Commentf("the router stays ready"))
	e.Apply([]store.Event{put(order("east", 7)), put(order("north", 8))})
	e.put(9, "north", 0)
	e.Assert(e.open(), qt.Equals, "west")
	e.Apply([]store.Event{{Item: order("east", 10), Deleted: true}, {Item: order("north", 11), Deleted: true}})
	e.clock.pass(testWarmUp)
	e.Assert(e.open(), qt.Equals, "east north west")
}

// A read replaces all orders: what it lacks was taken back while nobody looked.
func TestReadReplacesAllOrders(t *testing.T) {
	e := newEvacuated(t)
	e.Reset([]store.Item{order("east", 5)})
	e.Assert(e.open(), qt.Equals, "west")
	e.Reset([]store.Item{order("west", 6)})
	e.Assert(e.open(), qt.Equals, "east*")
	e.Assert(e.Items(), qt.DeepEquals, []store.Item{order("west", 6)}, qt.Commentf("what a starting router is told"))
}

// Guards against the usual share at once for servers that got cold while evacuated.
func TestRestoredDomainCountsAsCold(t *testing.T) {
	e := newEvacuated(t)
	e.Apply([]store.Event{put(order("east", 5))})
	e.Apply([]store.Event{{Item: order("east", 6), Deleted: true}})
	e.Assert(e.open(), qt.Equals, "east* west")
	e.put(7, "east", 0)
	e.Assert(e.open(), qt.Equals, "east* west", qt.Commentf("the worst of two sources counts"))
	e.clock.pass(testWarmUp)
	e.Assert(e.open(), qt.Equals, "east west")
}

// An order that names no domain closes nothing, and a line tells of it.
func TestOrderWithoutADomainClosesNothing(t *testing.T) {
	e := newEvacuated(t)
	e.Apply([]store.Event{put(order("", 5)), {Item: order("", 6), Deleted: true}})
	e.Assert(e.open(), qt.Equals, "east west")
	e.Assert(e.log.String(), qt.Contains, fmt.Sprintf(`"event":%d`, event.EntryRejected))
}

// Guards against heartbeats told on as changes, and a server turned cold that is not.
func TestColdServersAreKnown(t *testing.T) {
	e := newEvacuated(t)
	e.put(3, "north", 2*time.Second)
	e.Assert(e.open(), qt.Equals, "east north* west")
	e.clock.pass(2 * time.Second)
	e.Assert(e.open(), qt.Equals, "east north west")
	e.put(4, "east", time.Second)
	e.Assert(e.open(), qt.Equals, "east* north west")

	item := func(cold time.Duration) store.Item {
		value, err := json.Marshal(Entry{ID: "s", Service: "engines", Address: "10.0.0.1:80", Cold: cold})
		e.Assert(err, qt.IsNil)
		return store.Item{Key: "servers/s", Value: value}
	}
	e.Assert(e.registry.Same(item(2*time.Second), item(time.Second)), qt.IsTrue)
	e.Assert(e.registry.Same(item(time.Second), item(0)), qt.IsTrue)
	e.Assert(e.registry.Same(item(0), item(0)), qt.IsTrue)
	e.Assert(e.registry.Same(item(0), item(time.Second)), qt.IsFalse)
	e.Assert(e.registry.Same(item(time.Second), item(2*time.Second)), qt.IsFalse)
}

// A server says that it is cold for a year. It is believed for a minute, and again each time.
func TestAbsurdColdTimeIsBounded(t *testing.T) {
	e := newEvacuated(t)
	e.put(3, "east", 365*24*time.Hour)
	e.clock.pass(coldMost)
	e.Assert(e.open(), qt.Equals, "east west")
}
