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

// evacuationTest is a registry with one server in each of two failure domains, and the evacuation
// orders applied to it.
type evacuationTest struct {
	*qt.C
	*Evacuations
	registry *Registry
	clock    *clock
	log      bytes.Buffer
}

func newEvacuationTest(t *testing.T) *evacuationTest {
	e := &evacuationTest{C: qt.New(t)}
	e.registry, e.clock = newRegistry()
	e.registry.SetWarmUp(func(string) time.Duration { return testWarmUp })
	parseKey := func(key string) (string, bool) { return strings.CutPrefix(key, "orders/evacuate/") }
	e.Evacuations = NewEvacuations(parseKey, e.registry, event.New(&e.log, "p", slog.LevelInfo, nil))
	e.put(1, "east", 0)
	e.put(2, "west", 0)
	return e
}

// put registers a server whose ID is the name of its failure domain.
func (e *evacuationTest) put(revision store.Revision, domain string, cold time.Duration) {
	value, err := json.Marshal(Entry{ID: domain, Service: "engines", Address: "10.0.0.1:80", Domain: domain, Cold: cold})
	e.Assert(err, qt.IsNil)
	e.registry.Apply([]store.Event{put(store.Item{Key: "servers/" + domain, Value: value, Revision: revision})}, normalSilence)
}

func order(domain string, revision store.Revision) store.Item {
	return store.Item{Key: "orders/evacuate/" + domain, Value: []byte("{}"), Revision: revision}
}

// eligible lists the IDs of the servers that may get requests, with a star after cold ones.
func (e *evacuationTest) eligible() string {
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

// Guards against requests to servers of an evacuated failure domain, including servers that are
// registered after the order.
func TestEvacuatedDomainGetsNoRequestsUntilRestored(t *testing.T) {
	e := newEvacuationTest(t)
	e.Apply([]store.Event{put(order("east", 5)), put(store.Item{Key: "orders/document", Revision: 6})}, store.Silence{})
	e.Assert(e.eligible(), qt.Equals, "west")
	e.Assert(e.registry.View().Total, qt.Equals, 2, qt.Commentf("evacuated servers still count, so the router stays ready"))
	e.Apply([]store.Event{put(order("east", 7)), put(order("north", 8))}, store.Silence{})
	e.put(9, "north", 0)
	e.Assert(e.eligible(), qt.Equals, "west")
	e.Apply([]store.Event{{Item: order("east", 10), Deleted: true}, {Item: order("north", 11), Deleted: true}}, store.Silence{})
	e.clock.advance(testWarmUp)
	e.Assert(e.eligible(), qt.Equals, "east north west")
}

// Reset replaces all orders: an order missing from the full read was removed while the store was
// not watched.
func TestResetReplacesAllOrders(t *testing.T) {
	e := newEvacuationTest(t)
	e.Reset([]store.Item{order("east", 5)}, store.Silence{})
	e.Assert(e.eligible(), qt.Equals, "west")
	e.Reset([]store.Item{order("west", 6)}, store.Silence{})
	e.Assert(e.eligible(), qt.Equals, "east*")
	e.Assert(e.Items(), qt.DeepEquals, []store.Item{order("west", 6)}, qt.Commentf("items sent to a starting router"))
}

// Guards against requests to an evacuated domain because a starting router got another router's older orders after
// those of the store.
func TestSeededOrdersDoNotReplaceThoseOfStore(t *testing.T) {
	e := newEvacuationTest(t)
	e.Seed([]store.Item{order("east", 5)})
	e.Assert(e.eligible(), qt.Equals, "west")
	e.Reset([]store.Item{order("west", 6)}, store.Silence{})
	e.clock.advance(testWarmUp)
	e.Assert(e.eligible(), qt.Equals, "east")
	e.Seed([]store.Item{order("east", 5)})
	e.Assert(e.eligible(), qt.Equals, "east")
}

// Guards against sending a restored domain its usual share of requests at once: its servers may
// have become cold while evacuated.
func TestRestoredDomainStartsCold(t *testing.T) {
	e := newEvacuationTest(t)
	e.Apply([]store.Event{put(order("east", 5))}, store.Silence{})
	e.Apply([]store.Event{{Item: order("east", 6), Deleted: true}}, store.Silence{})
	e.Assert(e.eligible(), qt.Equals, "east* west")
	e.put(7, "east", 0)
	e.Assert(e.eligible(), qt.Equals, "east* west", qt.Commentf("the longer of two cold times counts"))
	e.clock.advance(testWarmUp)
	e.Assert(e.eligible(), qt.Equals, "east west")
}

// An order that names no failure domain evacuates nothing and is logged.
func TestOrderWithoutDomainEvacuatesNothing(t *testing.T) {
	e := newEvacuationTest(t)
	e.Apply([]store.Event{put(order("", 5)), {Item: order("", 6), Deleted: true}}, store.Silence{})
	e.Assert(e.eligible(), qt.Equals, "east west")
	e.Assert(e.log.String(), qt.Contains, fmt.Sprintf(`"event":%d`, event.EntryRejected))
}

// Guards against reporting a heartbeat as a change, and against missing that a server has become
// cold again.
func TestRegistryTracksColdServers(t *testing.T) {
	e := newEvacuationTest(t)
	e.put(3, "north", 2*time.Second)
	e.Assert(e.eligible(), qt.Equals, "east north* west")
	e.clock.advance(2 * time.Second)
	e.Assert(e.eligible(), qt.Equals, "east north west")
	e.put(4, "east", time.Second)
	e.Assert(e.eligible(), qt.Equals, "east* north west")

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

// Guards against a server that reports an absurdly long cold time and would get few requests for
// that long.
func TestColdTimeIsBounded(t *testing.T) {
	e := newEvacuationTest(t)
	e.put(3, "east", 365*24*time.Hour)
	e.clock.advance(maxColdTime)
	e.Assert(e.eligible(), qt.Equals, "east west")
}

// Guards against an evacuation that ends because the store has lost the order, which is given again a moment later.
func TestEvacuationOutlivesLossOfOrder(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		e := newEvacuationTest(t)
		e.Apply([]store.Event{put(order("east", 5)), put(order("west", 6))}, store.Silence{})
		lost := store.Silence{LostWrites: true}
		if relayed {
			e.Apply([]store.Event{{Item: order("east", store.NewRevision(1, 4)), Deleted: true}}, lost)
		} else {
			e.Reset([]store.Item{order("west", store.NewRevision(1, 3))}, lost)
		}
		e.Assert(e.eligible(), qt.Equals, "")
		e.clock.advance(gracePeriod / 2)
		e.Apply([]store.Event{put(order("east", store.NewRevision(1, 5)))}, store.Silence{})
		e.clock.advance(gracePeriod)
		e.Apply(nil, store.Silence{})
		e.Assert(e.eligible(), qt.Equals, "", qt.Commentf("it was given again"))
		e.Reset([]store.Item{order("west", store.NewRevision(2, 3))}, lost)
		e.clock.advance(gracePeriod)
		e.Apply(nil, store.Silence{})
		e.Assert(e.eligible(), qt.Equals, "east*", qt.Commentf("it was not given again"))
	}
}
