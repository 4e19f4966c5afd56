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

// slowLink is a way to a store on which all answers share one bandwidth. While it is cut nothing
// is answered.
type slowLink struct {
	*memstore.Store
	bytesPerSecond int // bytes

	mu        sync.Mutex
	down      bool
	stalls    int // answers that stop halfway, from the next one on
	transfers int // answers that are on their way
}

// transferStep is the time in which the answers on their way share the bandwidth anew.
const transferStep = 10 * time.Millisecond

func (l *slowLink) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *slowLink) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// nextStalls says whether the next answer does.
func (l *slowLink) nextStalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls--
	return l.stalls >= 0
}

// addTransfers counts answers on their way.
func (l *slowLink) addTransfers(delta int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers += delta
	return l.transfers
}

// transmit lets an answer of so many bytes come; false if its call ended first.
func (l *slowLink) transmit(ctx context.Context, size int) bool {
	if l.isDown() {
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

// simulateLargeAnswer lets a value grow to so many bytes while a link of 400,000 a second is cut, a third of
// 10 Mbit/s, and returns how long after that a follower knows it. The next silent answers stop halfway.
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
	link.setDown(true)
	time.Sleep(5 * time.Second)
	large := strings.Repeat("r", size)
	link.Put("a/x", []byte(large))
	link.mu.Lock()
	link.stalls = stalls
	link.mu.Unlock()
	link.setDown(false)
	reconnected := time.Now()
	for sink.get() != large && time.Since(reconnected) < time.Minute {
		time.Sleep(transferStep)
	}
	took := time.Since(reconnected)
	cancel()
	wg.Wait()
	return took
}

// Guards against reads of a large configuration that keep each other from ending on a small link.
func TestLargeAnswerArrivesOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 380_000, 0)
		qt.Assert(t, took <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against calls that are ended while their answer is still coming.
func TestProgressingAnswerOutlastsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 1_200_000, 0) // 3 s of the link, twice that beside one of the other kind
		qt.Assert(t, took <= 7*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against a wait for the rest of an answer whose connection fell silent.
func TestStalledAnswerIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := simulateLargeAnswer(t, 380_000, 1)
		qt.Assert(t, took <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against a short change that waits for the end of a large answer.
func TestSmallChangeOvertakesLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &slowLink{Store: memstore.New(nil), bytesPerSecond: 40_000}
		link.Put("a/large", []byte(strings.Repeat("r", 300_000))) // 7.5 s of the link
		sink := &valueSink{}
		f := store.Follower{Store: link, Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond,
			Timeout: 1200 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: sink}
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		link.setDown(true)
		time.Sleep(5 * time.Second)
		link.Put("a/x", []byte("changed"))
		link.setDown(false)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, sink.get(), qt.Equals, "changed")
		cancel()
		wg.Wait()
	})
}
