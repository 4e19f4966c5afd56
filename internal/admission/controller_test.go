package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

// fullController returns a controller whose service "s" has a small limit that is in use, with its gate.
func fullController() (*Controller, *sharedGate) {
	c := New(Options{Eligible: func(string) []string { return allServers }, Metrics: noMetrics{}, Log: event.Discard()})
	g := c.gate("s")
	now := time.Time{}
	g.gate, now = limitedGate(time.Now())
	time.Sleep(time.Until(now))
	g.gate.inProgress = 100
	return c, g
}

type noMetrics struct{}

func (noMetrics) CountAdmission(int, string) {}

// Guards against requests that wait for longer than a tenth of their goal, that are forgotten when capacity
// becomes free, or that hold it after their callers have left.
func TestWaitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{Eligible: func(string) []string { return allServers }, Metrics: noMetrics{}, Log: event.Discard()})
		g := c.gate("s")
		now := time.Time{}
		g.gate, now = limitedGate(time.Now())
		time.Sleep(time.Until(now))
		request := Request{Service: "s", Goal: time.Second}
		var tickets []*Ticket
		for range 4 {
			ticket, refused := c.Admit(t.Context(), request)
			qt.Assert(t, refused, qt.IsNil)
			tickets = append(tickets, ticket)
		}
		began := time.Now()
		_, refused := c.Admit(t.Context(), request)
		qt.Check(t, refused, qt.IsNotNil)
		qt.Check(t, time.Since(began) <= 100*ms, qt.IsTrue)
		gone, leave := context.WithTimeout(t.Context(), 10*ms)
		defer leave()
		_, refused = c.Admit(gone, request)
		qt.Check(t, refused, qt.IsNotNil)
		qt.Check(t, g.gate.waiting, qt.HasLen, 0)
		time.AfterFunc(20*ms, func() { tickets[0].Done(Outcome{}) })
		_, refused = c.Admit(t.Context(), request)
		qt.Check(t, refused, qt.IsNil)
	})
}

// Guards against a data race between the end of a request's wait and the request that displaces it from a full queue.
func TestDisplacedRequestsOfAFullQueueEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, g := fullController()
		ctx, leave := context.WithCancel(t.Context())
		const more = 64
		refused := make(chan *Refusal, maxWaiting+more)
		for i := range maxWaiting + more {
			priority := 1
			if i >= maxWaiting {
				priority = 0
			}
			go func() {
				_, r := c.Admit(ctx, Request{Service: "s", Priority: priority, Account: fmt.Sprint(i), Goal: time.Hour})
				refused <- r
			}()
		}
		synctest.Wait()
		qt.Check(t, len(refused) >= more, qt.IsTrue)
		leave()
		synctest.Wait()
		qt.Check(t, refused, qt.HasLen, maxWaiting+more)
		qt.Check(t, g.gate.waiting, qt.HasLen, 0)
	})
}

// Guards against new requests that take the capacity which became free with time before a request of their class that
// has waited for it.
func TestWaitingRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, g := fullController()
		request := Request{Service: "s", Goal: 10 * time.Second}
		order := make(chan string, 2)
		admit := func(name string) {
			_, refused := c.Admit(t.Context(), request)
			qt.Check(t, refused, qt.IsNil)
			order <- name
		}
		go admit("first")
		synctest.Wait()
		qt.Assert(t, g.gate.waiting, qt.HasLen, 1)
		time.Sleep(10 * ms)   // no evaluation is due
		g.gate.inProgress = 3 // room for one
		go admit("second")
		synctest.Wait()
		qt.Assert(t, order, qt.HasLen, 1)
		qt.Check(t, <-order, qt.Equals, "first")
		g.gate.inProgress = 0
		c.Observe("s", Signal{Incarnation: "a", Load: fullLoad, HasLoad: true})
		time.Sleep(time.Second)
		c.Observe("s", Signal{Incarnation: "a", Load: fullLoad, HasLoad: true})
		synctest.Wait()
		qt.Check(t, order, qt.HasLen, 1)
	})
}

// outcomes counts what Metrics is told.
type outcomes map[string]int

func (o outcomes) CountAdmission(_ int, outcome string) { o[outcome]++ }

// Guards against callers that are counted as refused because they left while their request waited.
func TestCallersThatLeaveAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counted := outcomes{}
		c := New(Options{Eligible: func(string) []string { return allServers }, Metrics: counted, Log: event.Discard()})
		g := c.gate("s")
		now := time.Time{}
		g.gate, now = limitedGate(time.Now())
		time.Sleep(time.Until(now))
		g.gate.inProgress = 100
		ctx, leave := context.WithTimeout(t.Context(), 10*ms)
		defer leave()
		ticket, refused := c.Admit(ctx, Request{Service: "s", Goal: time.Hour})
		qt.Assert(t, ticket, qt.IsNil)
		qt.Check(t, refused.Cause, qt.Equals, Abandoned)
		qt.Check(t, counted, qt.HasLen, 0)
		qt.Check(t, g.refused, qt.Equals, 0)
		qt.Check(t, g.gate.waiting, qt.HasLen, 0)
	})
}

// Guards against a service whose requests all hang after a panic in one of them.
func TestPanicReleasesTheGate(t *testing.T) {
	fail := true
	c := New(Options{Eligible: func(string) []string {
		if fail {
			panic("test")
		}
		return allServers
	}, Metrics: noMetrics{}, Log: event.Discard()})
	qt.Check(t, func() { _, _ = c.Admit(t.Context(), Request{Service: "s"}) }, qt.PanicMatches, "test")
	fail = false
	g := c.gate("s")
	qt.Assert(t, g.mu.TryLock(), qt.IsTrue)
	g.mu.Unlock()
	_, refused := c.Admit(t.Context(), Request{Service: "s"})
	qt.Check(t, refused, qt.IsNil)
}

// Guards against requests of all services that wait for the lock of one service's gate while limited services are
// counted.
func TestCountOfLimitedServicesHoldsUpNoOther(t *testing.T) {
	c := New(Options{Eligible: func(string) []string { return allServers }, Metrics: noMetrics{}, Log: event.Discard()})
	g := c.gate("busy")
	g.mu.Lock()
	counted := make(chan int)
	go func() { counted <- c.LimitedServices() }()
	admitted := make(chan struct{})
	time.AfterFunc(50*ms, func() {
		_, _ = c.Admit(t.Context(), Request{Service: "other"})
		close(admitted)
	})
	select {
	case <-admitted:
	case <-time.After(5 * time.Second):
		t.Error("the request of another service was not decided on")
	}
	g.mu.Unlock()
	qt.Check(t, <-counted, qt.Equals, 0)
	<-admitted
}
