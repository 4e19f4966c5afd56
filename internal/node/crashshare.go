package node

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// crashTellDelay is how long the store has to take a report before it is told to other routers
	// directly, crashTellInterval the time between two tries, and crashCheckInterval how often that is
	// checked.
	crashTellDelay     = 200 * time.Millisecond
	crashTellInterval  = 500 * time.Millisecond
	crashCheckInterval = 100 * time.Millisecond
	// crashFanout is the number of routers to which each router hands a report that is news to it.
	// With 5, all but one in 150 routers of a fleet of any size hear of a report, and the next report
	// of the same router repeats it.
	crashFanout = 5
	// crashLinger is how long a report waits for others to be handed on with it.
	crashLinger = 50 * time.Millisecond
	// crashQueueSize is the number of reports that may wait to be handed on.
	crashQueueSize = 256
	// maxCrashCalls bounds the calls by which reports are handed on at the same time.
	maxCrashCalls = 2 * crashFanout
)

// crashReports holds the routers' reports of crashes as stored records, and hands them from router to
// router while the store does not.
type crashReports struct {
	node  *Node
	queue chan store.Item

	// written is the serial of this router's report that the store holds.
	written atomic.Uint64
	// writingSince is when the first write began that the store has not acknowledged; nil if there is none.
	writingSince atomic.Pointer[time.Time]

	mu   sync.Mutex
	kept map[string]keptReport // by key
}

type keptReport struct {
	item store.Item
	at   time.Time
}

func newCrashReports(n *Node) *crashReports {
	return &crashReports{node: n, queue: make(chan store.Item, crashQueueSize), kept: make(map[string]keptReport)}
}

// apply takes over another router's report. It reports whether that is news to be handed on: only a report
// with a serial can be told from one that is known. quarantine.Judge has to be called afterwards.
func (c *crashReports) apply(item store.Item) (isNews bool) {
	n := c.node
	if item.Key == quarantine.RecordKey(n.incarnation) {
		return false
	}
	_, report, err := quarantine.DecodeRecord(item)
	if err != nil {
		n.log.Emit(event.EntryRejected, slog.String("key", item.Key), item.Revision.Attr(), slog.Any(event.KeyCause, err))
		return false
	}
	if !n.quarantine.Merge(item.Key, report) {
		return false
	}
	c.keep(item)
	return report.Serial > 0
}

// keep keeps a report for routers that start while the store is away.
func (c *crashReports) keep(item store.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, kept := range c.kept {
		if now.Sub(kept.at) > quarantine.SuspectTTL {
			delete(c.kept, key)
		}
	}
	c.kept[item.Key] = keptReport{item, now}
}

// Items returns the reports of this and the other routers.
func (c *crashReports) Items() []store.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	var items []store.Item
	if c.node.quarantine.Report().Serial > 0 {
		items = append(items, c.own())
	}
	for _, kept := range c.kept {
		items = append(items, kept.item)
	}
	return items
}

// own returns this router's report as a stored record.
func (c *crashReports) own() store.Item {
	record := quarantine.NewRecord(c.node.settings.VM, c.node.quarantine.Report())
	return store.Item{Key: quarantine.RecordKey(c.node.incarnation), Value: record.Encode()}
}

// KeepCrashes implements peers.StateSource. Reports that are news are handed on.
func (n *Node) KeepCrashes(items []store.Item) {
	for _, item := range items {
		if quarantine.IsRecord(item.Key) && n.crashReports.apply(item) {
			n.crashReports.handOn(item)
		}
	}
	n.quarantine.Judge()
}

// handOn queues a report for other routers. It never blocks: another router has the report, too.
func (c *crashReports) handOn(item store.Item) {
	select {
	case c.queue <- item:
	default:
		c.node.metrics.countCrashReports(recordsDropped, 1)
	}
}

// run hands queued reports to other routers until ctx ends.
func (c *crashReports) run(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxCrashCalls)
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.queue:
			items := latestOfEach(collect(c.queue, item, crashLinger))
			for _, address := range c.pickRouters() {
				calls.Go(func() { c.send(ctx, address, items) })
			}
		}
	}
}

// latestOfEach returns the last item of each key.
func latestOfEach(items []store.Item) []store.Item {
	latest := make(map[string]store.Item)
	for _, item := range items {
		latest[item.Key] = item
	}
	return slices.Collect(maps.Values(latest))
}

// pickRouters returns the addresses of up to crashFanout other routers at random.
func (c *crashReports) pickRouters() []string {
	others := c.node.otherRouters()
	addresses := make([]string, 0, crashFanout)
	for i := range min(crashFanout, len(others)) {
		j := i + rand.IntN(len(others)-i)
		others[i], others[j] = others[j], others[i]
		addresses = append(addresses, others[i].PeerAddress)
	}
	return addresses
}

func (c *crashReports) send(ctx context.Context, address string, items []store.Item) {
	if err := c.node.peers.KeepCrashes(ctx, address, items); err != nil {
		c.node.metrics.countCrashReports(recordsNotSent, len(items)) // others hand them on, too
		return
	}
	c.node.metrics.countCrashReports(recordsSent, len(items))
}

// writeBegins notes that a report is being written.
func (c *crashReports) writeBegins() {
	now := time.Now()
	c.writingSince.CompareAndSwap(nil, &now)
}

// writeSucceeded notes that the store holds the report with the serial.
func (c *crashReports) writeSucceeded(serial uint64) {
	c.written.Store(serial)
	c.writingSince.Store(nil)
}

// isStoreFailing reports whether the store has not taken a report for crashTellDelay.
func (c *crashReports) isStoreFailing(now time.Time) bool {
	since := c.writingSince.Load()
	return since != nil && now.Sub(*since) >= crashTellDelay
}

// tellUnwritten hands this router's report on while the store does not take it.
func (c *crashReports) tellUnwritten(ctx context.Context) {
	ticker := time.NewTicker(crashCheckInterval)
	defer ticker.Stop()
	var toldAt time.Time
	told := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, serial := time.Now(), c.node.quarantine.Report().Serial
		isNews := serial != told || now.Sub(toldAt) >= crashTellInterval
		if !isNews || !c.isStoreFailing(now) {
			continue
		}
		c.handOn(c.own())
		told, toldAt = serial, now
	}
}
