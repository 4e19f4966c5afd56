package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

const (
	period = time.Second
	step   = 100 * time.Millisecond
	steps  = int(period / step)
	fanout = 2 // as in package member for fleets of up to 16 peers
)

// fleet is n routers that exchange heartbeats in virtual time.
type fleet struct {
	random   *rand.Rand
	contract *contract.Contract
	now      time.Time
	limits   []*Limits
	messages [][]byte
	lost     float64 // part of the messages
	offered  []float64
	carried  []float64     // fractions of requests
	hold     int           // steps for which a request runs
	ends     map[int][]int // by step: the routers at which one ends
	at       int           // step
	admitted [][]int       // by step and router
}

func newFleet(n int, seed uint64, c *contract.Contract) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), contract: c, now: time.Unix(1_800_000_000, 0),
		messages: make([][]byte, n), offered: make([]float64, n), carried: make([]float64, n), ends: make(map[int][]int),
	}
	for range n {
		f.limits = append(f.limits, New())
	}
	return f
}

func (f *fleet) router(i int) id.Router {
	return id.Router{VM: id.VM(fmt.Sprint(i)), Incarnation: 1}
}

func (f *fleet) equal() float64 { return 1 / float64(len(f.limits)) }

// run lets time pass. The routers' periods begin at different steps.
func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.now = f.now.Add(step)
		for i := range f.limits {
			if (f.at+3*i)%steps == 0 {
				f.heartbeats(i)
			}
		}
		f.arrivals()
		f.at++
	}
}

func (f *fleet) heartbeats(i int) {
	f.messages[i] = f.limits[i].Tick(f.now, true, f.equal())
	others := f.random.Perm(len(f.limits))
	sent := 0
	for _, j := range others {
		if j == i || sent == fanout || f.messages[j] == nil {
			continue
		}
		sent++
		f.exchange(i, j)
	}
}

func (f *fleet) exchange(i, j int) {
	if f.random.Float64() < f.lost {
		return
	}
	f.limits[j].Heard(f.router(i), f.messages[i])
	if f.random.Float64() < f.lost {
		return
	}
	f.limits[i].Answered(f.router(j), f.messages[j], f.limits[i].Round())
}

func (f *fleet) arrivals() {
	for _, i := range f.ends[f.at] {
		f.limits[i].Leave(f.contract.Account)
	}
	delete(f.ends, f.at)
	admitted := make([]int, len(f.limits))
	for i, l := range f.limits {
		f.carried[i] += f.offered[i] * step.Seconds()
		for ; f.carried[i] >= 1; f.carried[i]-- {
			if verdict, _ := l.Enter(f.now, f.contract, f.equal()); verdict != Allowed {
				continue
			}
			admitted[i]++
			end := f.at + 1 + f.hold
			f.ends[end] = append(f.ends[end], i)
		}
	}
	f.admitted = append(f.admitted, admitted)
}

// rate is the requests a second that all routers, or one, admitted in the time
// before a step.
func (f *fleet) rate(router, before int, d time.Duration) float64 {
	sum := 0
	for _, admitted := range f.admitted[max(0, before-int(d/step)):before] {
		for i, n := range admitted {
			if router < 0 || i == router {
				sum += n
			}
		}
	}
	return float64(sum) / d.Seconds()
}

// worst is the highest rate of the fleet over any time of the given length.
func (f *fleet) worst(from int, d time.Duration) float64 {
	highest := 0.0
	for before := from + int(d/step); before <= len(f.admitted); before++ {
		highest = max(highest, f.rate(-1, before, d))
	}
	return highest
}

func (f *fleet) running() int {
	sum := 0
	for _, l := range f.limits {
		sum += l.account(f.contract.Account).running
	}
	return sum
}

// shares is the sum of what the routers use, with the plans that they would make now.
func (f *fleet) shares() float64 {
	sum := 0.0
	for _, l := range f.limits {
		sum += l.planFor(l.account(f.contract.Account), f.contract, f.equal()).share
	}
	return sum
}

func only(n int, demand float64, routers ...int) []float64 {
	offered := make([]float64, n)
	for _, i := range routers {
		offered[i] = demand
	}
	return offered
}

// The figures of docs/design/04-limits.md. An account may send 100 requests a second.
// It uses one router, then another; then all at once, far over its rate; then one
// again. Refused would be what the contract allows, or admitted what it does not.
func TestSharesFollowDemand(t *testing.T) {
	const allowed, window = 100.0, 5 * time.Second
	for _, n := range []int{3, 9} {
		for _, lost := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("routers=%d,lost=%.1f", n, lost), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(n, 1, &contract.Contract{Account: "a", RequestsPerSecond: allowed, Burst: 20})
				f.lost = lost
				for _, phase := range []struct {
					name    string
					offered []float64
					settled float64 // least rate at the phase's end
				}{
					{"one router", only(n, 0.9*allowed, 0), 0.89 * allowed},
					{"moved to another", only(n, 0.9*allowed, 1), 0.89 * allowed},
					{"all, ten times over", only(n, 10*allowed, f.random.Perm(n)...), 0.95 * allowed},
					{"one router again", only(n, 0.9*allowed, 2), 0.89 * allowed},
					{"two, one small", only(n, 0.7*allowed, 0), 0.69 * allowed},
				} {
					f.offered = phase.offered
					from := f.at
					f.run(60 * time.Second)
					target := min(phase.settled, 0.89*allowed)
					follows := 0
					for before := from + 10; before <= f.at && follows == 0; before++ {
						if f.rate(-1, before, time.Second) >= target {
							follows = before - from
						}
					}
					end := f.rate(-1, f.at, 20*time.Second)
					worst := f.worst(from, window)
					c.Logf("%-20s followed after %4.1f s, at the end %5.1f/s, worst 5 s %5.1f/s",
						phase.name, float64(follows)*step.Seconds(), end, worst)
					c.Check(end >= phase.settled, qt.IsTrue)
					c.Check(follows > 0, qt.IsTrue)
					c.Check(end <= 1.02*allowed, qt.IsTrue)
					c.Check(worst <= 1.3*allowed+20/window.Seconds(), qt.IsTrue)
				}
			})
		}
	}
}

// An account may have 50 requests in flight, each runs 4 s. Its demand moves, and
// comes to all routers at once.
func TestConcurrencyFollowsDemand(t *testing.T) {
	const allowed = 50
	for _, n := range []int{3, 9} {
		for _, lost := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("routers=%d,lost=%.1f", n, lost), func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(n, 2, &contract.Contract{Account: "a", RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: allowed})
				f.lost = lost
				f.hold = int(4 * time.Second / step)
				for _, phase := range []struct {
					name    string
					offered []float64
				}{
					{"one router", only(n, 100, 0)},
					{"moved to another", only(n, 100, 1)},
					{"all", only(n, 100, f.random.Perm(n)...)},
					{"one router again", only(n, 100, 2)},
				} {
					f.offered = phase.offered
					highest := 0
					for range 60 * steps {
						f.run(step)
						highest = max(highest, f.running())
					}
					c.Logf("%-17s highest %d, at the end %d of %d", phase.name, highest, f.running(), allowed)
					c.Check(highest <= allowed*5/4+n, qt.IsTrue)
					c.Check(f.running() >= allowed*9/10, qt.IsTrue)
				}
			})
		}
	}
}

// Demand appears and goes anywhere, in any order, and any messages are lost. The
// shares never sum to more than the whole and the floors: else the fleet would admit
// more than the contract for as long as messages are lost.
func TestSharesNeverSumToMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "routers")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"), &contract.Contract{Account: "a", RequestsPerSecond: 50, Burst: 5})
		// All hear of each other first: a router that hears nothing can't know of demand.
		for i := range n {
			f.messages[i] = f.limits[i].Tick(f.now, true, f.equal())
		}
		for i := range n {
			for j := range n {
				if i != j {
					f.exchange(i, j)
				}
			}
		}
		f.lost = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "lost")
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			for i := range f.offered {
				f.offered[i] = rapid.SampledFrom([]float64{0, 0, 1, 20, 500}).Draw(t, "offered")
			}
			for range rapid.IntRange(1, 8*steps).Draw(t, "time") {
				f.run(step)
				if sum := f.shares(); sum > 1+1.0/floorParts+1e-9 {
					t.Fatalf("shares sum to %f", sum)
				}
			}
		}
	})
}
