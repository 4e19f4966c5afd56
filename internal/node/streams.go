package node

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/rollout"
	"chicorytiller.example/chicorytiller/internal/streams"
)

const (
	// streamQueueSize is the number of records that may wait to be sent.
	streamQueueSize = 4096
	// streamLinger is how long a record waits for others to be sent with it. A router that dies
	// meanwhile takes the record with it.
	streamLinger = 5 * time.Millisecond
	// maxStreamCalls bounds the calls by which records are sent at the same time.
	maxStreamCalls = 32
	// findStreamTimeout bounds the search for the record of a stream. The caller waits meanwhile.
	findStreamTimeout = 300 * time.Millisecond
	// streamHandOverTime bounds how long a stopping router hands over records.
	streamHandOverTime = 250 * time.Millisecond
)

// Sources of a stream's version, in the log and the metrics.
const (
	versionRelayedHere = "relayed here"
	versionHeldHere    = "held here"
	versionSole        = "sole version"
	versionByRecord    = "record"
	versionUnknown     = "unknown"
)

// streamVersions implements forward.StreamVersions. While a service may have several versions, the
// records of its streams are kept by routers that are computed from the streams' keys.
type streamVersions struct {
	node    *Node
	rollout *rollout.Tracker
	own     *streams.Table // streams that this router relays, and those whose callers left
	held    *streams.Table // streams of other routers
	queue   chan streams.Record
	slots   rankings[[]fleet.Member] // one entry: the routers that hold records
	holders rankings[[]fleet.Member] // by shard
}

func newStreamVersions(n *Node) *streamVersions {
	return &streamVersions{node: n, rollout: rollout.New(maxListAge, n.now), own: streams.NewTable(n.now), held: streams.NewTable(n.now),
		queue: make(chan streams.Record, streamQueueSize)}
}

// MayBegin implements forward.StreamVersions.
func (v *streamVersions) MayBegin(service, version string) (ok bool, wait time.Duration) {
	return v.rollout.MayBegin(service, version)
}

// Relaying implements forward.StreamVersions.
func (v *streamVersions) Relaying(r *request.Request) {
	id := r.StreamID()
	if id == "" {
		return // nobody can name it
	}
	record := streams.Record{Key: streams.KeyOf(r.Service, id), Version: r.StreamVersion}
	v.own.Put(record)
	if v.rollout.NeedsRecords(r.Service) {
		v.publish(record)
	}
}

// Finished implements forward.StreamVersions.
func (v *streamVersions) Finished(r *request.Request) {
	v.own.Remove(streams.KeyOf(r.Service, r.StreamID()))
}

// Find implements forward.StreamVersions.
func (v *streamVersions) Find(ctx context.Context, r *request.Request) (string, error) {
	key := streams.KeyOf(r.Service, r.StreamID())
	version, source, err := v.find(ctx, r, key)
	v.node.metrics.countResumed(source)
	attrs := []slog.Attr{slog.String(event.KeyRequest, r.ID), slog.String("resumes", r.Resumes), slog.String("service", r.Service),
		slog.String("by", source), slog.Int64("list_age_ms", v.rollout.Age().Milliseconds())}
	if err != nil {
		attrs = append(attrs, slog.Any(event.KeyCause, err))
	} else {
		attrs = append(attrs, slog.String("version", version))
	}
	v.node.log.Emit(event.StreamResumed, attrs...)
	return version, err
}

// find returns the version of a stream and how it is known.
func (v *streamVersions) find(ctx context.Context, r *request.Request, key streams.Key) (version, source string, err error) {
	if r.StreamID() != "" {
		if version, found := v.own.Find(key); found {
			return version, versionRelayedHere, nil
		}
		if version, found := v.held.Find(key); found {
			return version, versionHeldHere, nil
		}
	}
	if version, ok := v.rollout.Sole(r.Service); ok {
		return version, versionSole, nil
	}
	if r.StreamID() == "" {
		return "", versionUnknown, forward.ErrVersionUnknown
	}
	version, err = v.askHolders(ctx, key)
	if err != nil {
		return "", versionUnknown, err
	}
	return version, versionByRecord, nil
}

// streamAnswer is what one holder knows of a stream.
type streamAnswer struct {
	version string
	found   bool
	err     error
}

// askHolders asks all holders of a stream's record at once.
func (v *streamVersions) askHolders(ctx context.Context, key streams.Key) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	holders := v.holderAddresses(key, streams.AskCount)
	answers := make(chan streamAnswer, len(holders))
	for _, address := range holders {
		go func() {
			answer := streamAnswer{}
			answer.version, answer.found, answer.err = v.node.peers.FindStream(ctx, address, key)
			answers <- answer
		}()
	}
	failed := false
	for range holders {
		answer := <-answers
		if answer.found {
			return answer.version, nil
		}
		failed = failed || answer.err != nil
	}
	if failed {
		return "", forward.ErrVersionNotLearned
	}
	return "", forward.ErrVersionUnknown
}

// holderAddresses returns the addresses of the other routers among the first count holders of a
// stream's record.
func (v *streamVersions) holderAddresses(key streams.Key, count int) []string {
	n := v.node
	members, version := n.members.Snapshot()
	state := fleetState{version: version, stopping: n.stopping.Load()}
	slots := v.slots.get(state, "", func() []fleet.Member { return streams.Slots(n.withSelf(members, state.stopping)) })
	shard := streams.ShardOf(key)
	holders := v.holders.get(state, strconv.FormatUint(uint64(shard), 10), func() []fleet.Member { return streams.Holders(slots, shard, streams.AskCount) })
	addresses := make([]string, 0, count)
	for _, m := range holders[:min(len(holders), count)] {
		if m.Name != n.settings.VM {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// withSelf returns the routers including this one, or excluding it if it is stopping.
func (n *Node) withSelf(members []fleet.Member, stopping bool) []fleet.Member {
	all := make([]fleet.Member, 0, len(members)+1)
	for _, m := range members {
		if m.Name != n.settings.VM {
			all = append(all, m)
		}
	}
	if !stopping {
		all = append(all, n.self())
	}
	return all
}

// publish queues a record for its holders. It never blocks: without its record, a stream can't be
// resumed at another router, but it goes on here.
func (v *streamVersions) publish(record streams.Record) {
	select {
	case v.queue <- record:
	default:
		v.node.metrics.countStreamRecords(recordsDropped, 1)
	}
}

// publishOwn queues the records of all streams that this router relays.
func (v *streamVersions) publishOwn() {
	for _, record := range v.own.Records() {
		v.publish(record)
	}
}

// run sends queued records to their holders until ctx ends.
func (v *streamVersions) run(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(maxStreamCalls)
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-v.queue:
			for address, records := range v.byHolder(collect(v.queue, record, streamLinger)) {
				calls.Go(func() { v.send(ctx, address, records) })
			}
		}
	}
}

// collect returns the first of queued values and those that are queued within the linger time after it.
func collect[T any](queue <-chan T, first T, linger time.Duration) []T {
	values := []T{first}
	timer := time.NewTimer(linger)
	defer timer.Stop()
	for {
		select {
		case value := <-queue:
			values = append(values, value)
		case <-timer.C:
			return values
		}
	}
}

// byHolder groups records by the address of their holders.
func (v *streamVersions) byHolder(records []streams.Record) map[string][]streams.Record {
	groups := make(map[string][]streams.Record)
	for _, record := range records {
		for _, address := range v.holderAddresses(record.Key, streams.HolderCount) {
			groups[address] = append(groups[address], record)
		}
	}
	return groups
}

func (v *streamVersions) send(ctx context.Context, address string, records []streams.Record) {
	if err := v.node.peers.KeepStreams(ctx, address, records); err != nil {
		v.node.metrics.countStreamRecords(recordsNotSent, len(records)) // the other holders have them
		return
	}
	v.node.metrics.countStreamRecords(recordsSent, len(records))
}

// handOver gives the records that this router holds to those that hold them once it has stopped.
func (v *streamVersions) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), streamHandOverTime)
	defer cancel()
	var calls conc.WaitGroup
	for address, records := range v.byHolder(append(v.own.Records(), v.held.Records()...)) {
		calls.Go(func() { v.send(ctx, address, records) })
	}
	calls.Wait()
}

// KeepStreams implements peers.StateSource.
func (n *Node) KeepStreams(records []streams.Record) {
	for _, record := range records {
		n.streams.held.Put(record)
	}
}

// FindStream implements peers.StateSource.
func (n *Node) FindStream(key streams.Key) (version string, found bool) {
	if version, found = n.streams.own.Find(key); found {
		return version, true
	}
	return n.streams.held.Find(key)
}
