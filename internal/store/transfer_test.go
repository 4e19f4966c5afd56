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

// smallLink is a way to a store on which all answers share one bandwidth. While it is cut nothing
// is answered.
type smallLink struct {
	*memstore.Store
	perSecond int // bytes

	mu     sync.Mutex
	cut    bool
	silent int // answers that stop halfway, from the next one on
	active int // answers that are on their way
}

// linkStep is the time in which the answers on their way share the bandwidth anew.
const linkStep = 10 * time.Millisecond

func (l *smallLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *smallLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// stopsHalfway says whether the next answer does.
func (l *smallLink) stopsHalfway() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent--
	return l.silent >= 0
}

// count counts answers on their way.
func (l *smallLink) count(change int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += change
	return l.active
}

// carry lets an answer of so many bytes come; false if its call ended first.
func (l *smallLink) carry(ctx context.Context, bytes int) bool {
	if l.isCut() {
		<-ctx.Done()
		return false
	}
	time.Sleep(roundTrip)
	l.count(1)
	defer l.count(-1)
	halfway := 0.0
	if bytes > 0 && l.stopsHalfway() {
		halfway = float64(bytes) / 2
	}
	for left := float64(bytes); left > 0; {
		if left < halfway {
			l.count(-1)
			<-ctx.Done()
			l.count(1)
			return false
		}
		time.Sleep(linkStep)
		if ctx.Err() != nil {
			return false
		}
		left -= float64(l.perSecond) * linkStep.Seconds() / float64(l.count(0))
		store.ReportProgress(ctx)
	}
	return true
}

func (l *smallLink) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := l.Store.Read(ctx, prefix)
	size := 0
	for _, item := range snapshot.Items {
		size += len(item.Value)
	}
	if !l.carry(ctx, size) {
		return store.Snapshot{}, store.ErrOutcomeUnknown
	}
	return snapshot, err
}

func (l *smallLink) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return l.Read(ctx, prefix)
}

func (l *smallLink) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	changes, err := l.Store.Watch(ctx, prefix, after, wait)
	size := 0
	for _, e := range changes.Events {
		size += len(e.Value)
	}
	if !l.carry(ctx, size) {
		return store.Changes{}, store.ErrOutcomeUnknown
	}
	return changes, err
}

func (l *smallLink) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return l.Watch(ctx, prefix, after, wait)
}

// playLargeAnswer lets a value grow to so many bytes while a link of 400,000 a second is cut, a third of
// 10 Mbit/s, and returns how long after that a follower knows it. The next silent answers stop halfway.
func playLargeAnswer(t *testing.T, bytes, silent int) time.Duration {
	link := &smallLink{Store: memstore.New(nil), perSecond: 400_000}
	link.Put("a/x", []byte("small"))
	sink := &lastValue{}
	f := store.Follower{Store: link, Prefix: "a/", MaxWait: 1150 * time.Millisecond, Pause: 50 * time.Millisecond,
		Timeout: 1200 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: sink}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() { f.Run(ctx) })
	time.Sleep(3 * time.Second)
	link.setCut(true)
	time.Sleep(5 * time.Second)
	large := strings.Repeat("r", bytes)
	link.Put("a/x", []byte(large))
	link.mu.Lock()
	link.silent = silent
	link.mu.Unlock()
	link.setCut(false)
	returned := time.Now()
	for sink.known() != large && time.Since(returned) < time.Minute {
		time.Sleep(linkStep)
	}
	took := time.Since(returned)
	cancel()
	tasks.Wait()
	return took
}

// Guards against reads of a large configuration that keep each other from ending on a small link.
func TestLargeAnswerComesOverASmallLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := playLargeAnswer(t, 380_000, 0)
		qt.Assert(t, took <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against calls that are ended while their answer is still coming.
func TestAnswerThatTakesLongerThanPatienceComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := playLargeAnswer(t, 1_200_000, 0) // 3 s of the link, twice that beside one of the other kind
		qt.Assert(t, took <= 7*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against a wait for the rest of an answer whose connection fell silent.
func TestAnswerThatStopsHalfwayIsAskedForAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := playLargeAnswer(t, 380_000, 1)
		qt.Assert(t, took <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// Guards against a short change that waits for the end of a large answer.
func TestChangesComeBesideALargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &smallLink{Store: memstore.New(nil), perSecond: 40_000}
		link.Put("a/large", []byte(strings.Repeat("r", 300_000))) // 7.5 s of the link
		sink := &lastValue{}
		f := store.Follower{Store: link, Prefix: "a/", MaxWait: time.Second, Pause: 200 * time.Millisecond,
			Timeout: 1200 * time.Millisecond, CheckAfter: 1400 * time.Millisecond, Sink: sink}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		tasks.Go(func() { f.Run(ctx) })
		time.Sleep(20 * time.Second)
		link.setCut(true)
		time.Sleep(5 * time.Second)
		link.Put("a/x", []byte("changed"))
		link.setCut(false)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, sink.known(), qt.Equals, "changed")
		cancel()
		tasks.Wait()
	})
}
