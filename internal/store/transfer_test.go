package store_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// slowLink is a store behind a link whose bandwidth all answers share. While the link is down,
// nothing is answered.
type slowLink struct {
	*memstore.Store
	bytesPerSecond int

	mu        sync.Mutex
	linkDown  bool
	stalls    int // how many answers, from the next one on, stop halfway
	transfers int // answers being transmitted
}

// transferStep is the interval at which the bandwidth is divided among the answers.
const transferStep = 10 * time.Millisecond

func (l *slowLink) setLinkDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linkDown = down
}

func (l *slowLink) isLinkDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.linkDown
}

// nextStalls reports whether the next answer stops halfway, and counts it.
func (l *slowLink) nextStalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls--
	return l.stalls >= 0
}

// addTransfers adds delta to the number of answers being transmitted and returns the result.
func (l *slowLink) addTransfers(delta int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers += delta
	return l.transfers
}

// transmit transmits an answer of size bytes. It returns false if the call ends first.
func (l *slowLink) transmit(ctx context.Context, size int) bool {
	if l.isLinkDown() {
		<-ctx.Done()
		return false
	}
	time.Sleep(roundTrip)
	l.addTransfers(1)
	defer l.addTransfers(-1)
	stallAt := 0.0
	if size > 0 && l.nextStalls() {
		stallAt = float64(size) / 2
	}
	for remaining := float64(size); remaining > 0; {
		if remaining < stallAt {
			l.addTransfers(-1)
			<-ctx.Done()
			l.addTransfers(1)
			return false
		}
		time.Sleep(transferStep)
		if ctx.Err() != nil {
			return false
		}
		remaining -= float64(l.bytesPerSecond) * transferStep.Seconds() / float64(l.addTransfers(0))
		store.ReportProgress(ctx)
	}
	return true
}

func (l *slowLink) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := l.Store.Read(ctx, prefix)
	size := 0
	for _, item := range snapshot.Items {
		size += len(item.Value)
	}
	if !l.transmit(ctx, size) {
		return store.Snapshot{}, store.ErrOutcomeUnknown
	}
	return snapshot, err
}

func (l *slowLink) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return l.Read(ctx, prefix)
}

func (l *slowLink) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	changes, err := l.Store.Watch(ctx, prefix, after, wait)
	size := 0
	for _, e := range changes.Events {
		size += len(e.Value)
	}
	if !l.transmit(ctx, size) {
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	return changes, err
}

func (l *slowLink) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return l.Watch(ctx, prefix, after, wait)
}

// simulateLargeAnswer sets a value of size bytes while a link of 400,000 bytes/s, a third of 10 Mbit/s, is down,
// and returns how long after the link's return a follower has the value. The next stalls answers stop halfway.
func simulateLargeAnswer(t *testing.T, size, stalls int) time.Duration {
	link := &slowLink{Store: memstore.New(nil), bytesPerSecond: 400_000}
	link.Put("a/x", []byte("small"))
	sink := &valueSink{}
	f := store.Follower{Store: link, Prefix: "a/", MaxWait: 1150 * time.Millisecond, Pause: 50 * time.Millisecond,
		Timeout: 1200 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: sink}
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	time.Sleep(3 * time.Second)
	link.setLinkDown(true)
	time.Sleep(5 * time.Second)
	large := strings.Repeat("r", size)
	link.Put("a/x", []byte(large))
	link.mu.Lock()
	link.stalls = stalls
	link.mu.Unlock()
	link.setLinkDown(false)
	reconnected := time.Now()
	for sink.get() != large && time.Since(reconnected) < time.Minute {
		time.Sleep(transferStep)
	}
	took := time.Since(reconnected)
	cancel()
	wg.Wait()
	return took
}

// Guards against reads of a large configuration that keep each other from completing over a slow link.
func TestLargeAnswerArrivesOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 380_000, 0)
		qt.Assert(t, took <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against calls that are cancelled while their answer is still arriving.
func TestProgressingAnswerOutlastsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 1_200_000, 0) // takes 3 s over the link, 6 s with a check of the other kind
		qt.Assert(t, took <= 7*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against waiting for the rest of an answer whose connection has died.
func TestStalledAnswerIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 380_000, 1)
		qt.Assert(t, took <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against a small change that waits for the end of a large answer.
func TestSmallChangeOvertakesLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &slowLink{Store: memstore.New(nil), bytesPerSecond: 40_000}
		link.Put("a/large", []byte(strings.Repeat("r", 300_000))) // takes 7.5 s over the link
		sink := &valueSink{}
		f := store.Follower{Store: link, Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond,
			Timeout: 1200 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: sink}
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		link.setLinkDown(true)
		time.Sleep(5 * time.Second)
		link.Put("a/x", []byte("changed"))
		link.setLinkDown(false)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, sink.get(), qt.Equals, "changed")
		cancel()
		wg.Wait()
	})
}
