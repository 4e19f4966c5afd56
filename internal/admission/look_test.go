package admission

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

// limitedController returns a controller whose limit applies, on a clock that stands still.
func limitedController(c *qt.C) (*Controller, *Gate) {
	now := testTime
	controller := New(Options{Metrics: noMetrics{}, Log: event.Discard(), Eligible: func(string) []string { return allServers }, Now: func() time.Time { return now }})
	gate := controller.gate("m").gate
	now = observeFor(gate, now, 500*ms, func(string, int) Signal { return Signal{Load: fullLoad, HasLoad: true} })
	c.Assert(gate.Limited(), qt.IsTrue)
	return controller, gate
}

// Guards against an explanation whose duration is not the one by which the request is refused as late: durations
// are kept by route, and requests of other routes may be far shorter.
func TestLookShowsDurationThatDecides(t *testing.T) {
	c := qt.New(t)
	controller, gate := limitedController(c)
	now := controller.options.Now()
	slow, quick := Request{Service: "m", Route: "slow", Work: 100, Deadline: now.Add(time.Second)}, Request{Service: "m", Route: "quick", Work: 100}
	for range 20 {
		gate.durations.add(slow, 2*time.Second, now)
		gate.durations.add(quick, 100*ms, now)
	}
	gate.durations.of(slow).probedAt = now // no probe is due
	look := controller.Look(slow)
	c.Assert(look.Refusal, qt.IsNotNil)
	c.Check(look.Refusal.Cause, qt.Equals, Late)
	c.Check(look.Duration.Round(ms), qt.Equals, 2*time.Second)
}

// Guards against an explanation that counts the request asked about as use of its class's share.
func TestLookLeavesOutTheRequestItself(t *testing.T) {
	c := qt.New(t)
	controller, gate := limitedController(c)
	gate.limiter.limit = 4
	r := Request{Service: "m", Route: "x"}
	look := controller.Look(r)
	c.Assert(look.Refusal, qt.IsNil)
	c.Check(look.Used, qt.Equals, 0.0)
	gate.Offer(r, controller.options.Now())
	c.Check(controller.Look(r).Used > 0, qt.IsTrue)
}

// Guards against a refusal for the share that can't be told from the figures shown: a request is admitted below a use
// that is less than the share, the longer it takes the less.
func TestLookShowsUseThatIsTooMuch(t *testing.T) {
	c := qt.New(t)
	controller, gate := limitedController(c)
	gate.limiter.limit = 2
	now := controller.options.Now()
	r := Request{Service: "m", Route: "x", Account: "a"}
	gate.durations.add(r, time.Second, now)
	refusedWithinShare := false
	for range 12 {
		look := controller.Look(r)
		c.Assert(look.Limited, qt.IsTrue)
		if look.Share < unlimited {
			c.Check(look.Refusal != nil && look.Refusal.Cause == OverShare, qt.Equals, look.Used >= look.Threshold, qt.Commentf("%+v", look))
			refusedWithinShare = refusedWithinShare || look.Refusal != nil && look.Used < look.Share
		}
		gate.Offer(r, now)
		now = now.Add(100 * ms)
		controller.options.Now = func() time.Time { return now }
	}
	c.Check(refusedWithinShare, qt.IsTrue)
}

// Guards against a copy of the gate that shares a map, a slice or a pointer with the gate, for example a field that was
// added later: decisions on the copy would change the gate, without its lock.
func TestCopyOfGateSharesNothing(t *testing.T) {
	c := qt.New(t)
	controller, gate := limitedController(c)
	now := controller.options.Now()
	for i := range 20 {
		r := Request{Service: "m", Route: "x", Account: string(rune('a' + i%3)), Goal: time.Minute, Work: 10}
		gate.Offer(r, now)
		gate.durations.add(r, 100*ms, now)
	}
	c.Assert(len(gate.waiting) > 0, qt.IsTrue)
	original := make(map[uintptr]string)
	references(reflect.ValueOf(gate), "gate", original)
	copied := make(map[uintptr]string)
	references(reflect.ValueOf(gate.clone()), "gate", copied)
	c.Assert(len(copied) > 10, qt.IsTrue)
	for pointer, path := range copied {
		c.Check(original[pointer], qt.Equals, "", qt.Commentf("%s is shared", path))
	}
}

// references collects the pointers, maps and slices that are reachable from a value, with their paths.
func references(v reflect.Value, path string, found map[uintptr]string) {
	note := func() bool {
		if v.IsNil() || v.Pointer() == 0 || found[v.Pointer()] != "" {
			return false
		}
		found[v.Pointer()] = path
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.Type() != reflect.TypeFor[*time.Location]() && note() {
			references(v.Elem(), path, found)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			references(v.Field(i), path+"."+v.Type().Field(i).Name, found)
		}
	case reflect.Slice:
		if v.Cap() > 0 {
			note()
		}
		for i := range v.Len() {
			references(v.Index(i), path+"[]", found)
		}
	case reflect.Array:
		for i := range v.Len() {
			references(v.Index(i), path+"[]", found)
		}
	case reflect.Map:
		note()
		for _, key := range v.MapKeys() {
			references(v.MapIndex(key), path+"[key]", found)
		}
	}
}
