package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
)

// startBackgroundTasks starts the tasks that keep this router's state and its own entry in the
// store up to date.
func (n *Node) startBackgroundTasks(ctx context.Context, tasks *conc.WaitGroup) {
	n.startFollowers(ctx, tasks)
	tasks.Go(func() { n.logStoreCalls(ctx) })
	tasks.Go(func() { n.grants.Run(ctx) })
	tasks.Go(func() { n.client.Run(ctx) })
	tasks.Go(func() { n.peers.Run(ctx) })
	tasks.Go(func() { n.bootstrap(ctx) })
	tasks.Go(func() { n.watchIntake(ctx) })
	tasks.Go(func() { n.watchInbound(ctx) })
	tasks.Go(func() { n.maintainEntry(ctx) })
	tasks.Go(func() { n.publishCrashes(ctx) })
	tasks.Go(func() { n.crashReports.tellUnwritten(ctx) })
	tasks.Go(func() { n.crashReports.run(ctx) })
	tasks.Go(func() { n.dismissSurvivedCrashes(ctx) })
	tasks.Go(func() { n.publishRates(ctx, n.limits, n.registry.HasIncarnation) })
	tasks.Go(func() { n.permits.reportRequests(ctx) })
	tasks.Go(func() { n.publishRates(ctx, n.fragility, n.hasService) })
	tasks.Go(func() { n.streams.run(ctx) })
	tasks.Go(func() { n.maintainVersions(ctx) })
}

// startFollowers starts the followers of the configuration, the backend servers and the fleet.
func (n *Node) startFollowers(ctx context.Context, tasks *conc.WaitGroup) {
	for _, f := range n.followers(&relay{node: n, maxWait: relayMaxWait}) {
		tasks.Go(func() { f.Run(ctx) })
	}
}

// followers returns the followers of the configuration, the backend servers and the fleet, which
// read from other routers through r. They share a backoff, so that failed calls to the store are
// spaced over all of them.
func (n *Node) followers(r store.Relay) []*store.Follower {
	followers := []*store.Follower{n.configFollower(), n.serversFollower(), n.fleetFollower()}
	backoff := &store.Backoff{}
	for _, f := range followers {
		f.Store, f.Backoff, f.Feed, f.Now = n.env.Store, backoff, n.feeds[f.Prefix], n.env.Now
		f.Relay, f.LinkWasFull = r, n.link.WasFull
		f.SourceChanged = n.logSourceChange(f.Prefix)
		f.StaleCheckStarted = n.logStaleCheck(f.Prefix)
		f.WritesLost = n.logLostWrites(f.Prefix)
		f.FallbackChanged = n.logFallback(f.Prefix)
	}
	return followers
}

func (n *Node) configFollower() *store.Follower {
	return &store.Follower{Prefix: n.env.ConfigPrefix, Sink: &configSink{node: n}, AskAny: true,
		MaxWait: configMaxWait, Pause: configPause, CheckAfter: configCheckAfter, Timeout: watchTimeout}
}

func (n *Node) serversFollower() *store.Follower {
	drainTime := max(n.settings.DrainTime, minDrainTime)
	scale := func(fraction float64) time.Duration { return time.Duration(fraction * float64(drainTime)) }
	return &store.Follower{Prefix: n.env.ServersPrefix, Sink: n.registry, AskAny: true, Verifier: n.registry,
		Confirmed: func(asOf time.Time) { n.serversAsOf.Store(&asOf) },
		MaxWait:   scale(serversMaxWaitFraction), Pause: scale(serversPauseFraction), CheckAfter: scale(serversCheckAfterFraction),
		Timeout: watchTimeout, Burst: serversBurst}
}

// recentlyFull is how recently the link must have been full to explain that the list of backend
// servers is old. It covers the next check and its answer.
const recentlyFull = time.Second

// serversOutdated reports whether backend servers may have left without this router's knowledge,
// because its own link is full. What is sent then waits in the link first. While the store is away and the
// link is not full, the list is used whatever its age.
func (n *Node) serversOutdated() bool {
	asOf := n.serversAsOf.Load()
	if asOf == nil {
		return false
	}
	now := n.now()
	maxAge := time.Duration(serversOutdatedFraction * float64(max(n.settings.DrainTime, minDrainTime)))
	return now.Sub(*asOf)+n.link.Delay() > maxAge && n.link.WasFull(now.Add(-recentlyFull))
}

func (n *Node) fleetFollower() *store.Follower {
	return &store.Follower{Prefix: fleetPrefix, Sink: &fleetSink{node: n}, Confirmed: n.confirmFleet,
		MaxWait: fleetMaxWait, Pause: fleetPause, CheckAfter: fleetCheckAfter, Timeout: watchTimeout}
}

// confirmFleet records that all changes of the routers' records up to asOf are known.
func (n *Node) confirmFleet(asOf time.Time) {
	n.membership.confirm(asOf)
	n.streams.rollout.Confirm(asOf)
}

// logSourceChange returns a store.Follower.SourceChanged callback that logs whether the follower
// of prefix now reads from another router or from the store.
func (n *Node) logSourceChange(prefix string) func(relayed bool) {
	return func(relayed bool) {
		n.metrics.SetRelayed(prefix, relayed)
		n.log.Emit(event.SourceChanged, slog.String("follows", prefix), slog.Bool("relayed", relayed))
	}
}

// logFallback returns a store.Follower.FallbackChanged callback that logs whether the data under prefix comes
// from routers of any failure domain.
func (n *Node) logFallback(prefix string) func(active bool) {
	return func(active bool) {
		n.log.Emit(event.FallbackChanged, slog.String("follows", prefix), slog.Bool("active", active))
	}
}

// logStaleCheck returns a store.Follower.StaleCheckStarted callback that logs that the data under
// prefix is stale and is checked by an extra call beside the one in progress.
func (n *Node) logStaleCheck(prefix string) func(age time.Duration, relayed, failing bool) {
	return func(age time.Duration, relayed, failing bool) {
		n.metrics.CountStale(prefix)
		n.log.Emit(event.DataStale, slog.String("follows", prefix), slog.Int64("age_ms", age.Milliseconds()),
			slog.Bool("relayed", relayed), slog.Bool("store_failing", failing))
	}
}

// logLostWrites returns a store.Follower.WritesLost callback that logs that the store has lost writes
// and has what this router stored there written again.
func (n *Node) logLostWrites(prefix string) func(known, now store.Revision) {
	return func(known, now store.Revision) {
		n.metrics.SetStoreEra(now.Era())
		n.log.Emit(event.StoreLostWrites, slog.String("follows", prefix), slog.String("known", known.String()), now.Attr())
		n.grants.ObserveEra(now.Era())
		n.streams.rollout.ObserveEra(now.Era())
		for _, observe := range n.eraObservers {
			observe(now.Era())
		}
	}
}

// configSink applies the operator's configuration and evacuation orders.
type configSink struct {
	node *Node
}

func (s *configSink) SetReachable(reachable bool, cause error) {
	fleet.LogReachable(s.node.log, "configuration", reachable, cause)
}

func (s *configSink) Reset(items []store.Item, silence store.Silence) {
	for _, item := range items {
		s.update(item)
	}
	s.node.evacuations.Reset(items, silence)
}

// seed takes the configuration and the orders that another router knows, unless the store's are known.
func (s *configSink) seed(items []store.Item) {
	for _, item := range items {
		s.update(item)
	}
	s.node.evacuations.Seed(items)
}

func (s *configSink) Apply(events []store.Event, silence store.Silence) {
	for _, e := range events {
		if !e.Deleted {
			s.update(e.Item)
		}
	}
	s.node.evacuations.Apply(events, silence)
}

// update puts the configuration in force if it is valid as a whole and newer than the current
// one.
func (s *configSink) update(item store.Item) {
	n := s.node
	if !n.env.IsConfig(item) {
		return
	}
	p, err := n.env.DecodeConfig(item)
	if err != nil {
		n.log.Emit(event.ConfigRejected, item.Revision.Attr(), slog.Any(event.KeyCause, err))
		return
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if current := n.policy.Load(); current != nil && p.Version <= current.Version {
		return
	}
	n.policy.Store(p)
	n.configItem.Store(&item)
	n.log.Emit(event.ConfigApplied, slog.Int64("config", p.Version), item.Revision.Attr())
}

// fleetSink applies the records that routers write for each other: their entries, the requests that
// crashed backend servers, the rates that backend servers announce and the admitted versions of services.
type fleetSink struct {
	node *Node
}

// applyRecord applies a record that is not a router's entry. It reports whether the item is one. copied says
// that the record may be an old one, which the store has again because it was restored from a copy.
func (n *Node) applyRecord(item store.Item, copied bool) bool {
	return n.applyCrashRecord(item) || n.applyAnnouncedRate(item, copied) || n.applyVersions(item)
}

// writeRecordsAgain makes the records due that this router wrote to the store, which has lost writes. The
// others are written again by their own owners: the router's entry and its contact lease since their leases
// are of an earlier era, admitted versions when the record that is read lacks some, budgets by the
// GrantManager.
func (n *Node) writeRecordsAgain() {
	n.crashReports.written.Store(0)
	n.quarantine.NotifyChanged()
	n.limits.WriteAgain()
	n.fragility.WriteAgain()
}

func (s *fleetSink) SetReachable(reachable bool, cause error) {
	s.node.members.SetReachable(reachable, cause)
}

func (s *fleetSink) Reset(items []store.Item, silence store.Silence) {
	if silence.LostWrites {
		s.node.writeRecordsAgain()
	}
	var members []store.Item
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		if !s.node.applyRecord(item, silence.LostWrites) {
			members = append(members, item)
		}
	}
	if silence.LostWrites {
		s.node.streams.rollout.DropMissing(func(key string) bool { return present[key] })
	}
	s.node.quarantine.Judge()
	s.node.members.Reset(members, silence)
	s.node.updateMembership()
	s.node.retries.SetRouters(s.node.retryShares())
}

func (s *fleetSink) Apply(events []store.Event, silence store.Silence) {
	if silence.LostWrites {
		s.node.writeRecordsAgain()
	}
	var members []store.Event
	for _, e := range events {
		if e.Deleted && silence.LostWrites {
			s.node.streams.rollout.Drop(e.Key)
		}
		if e.Deleted || !s.node.applyRecord(e.Item, silence.LostWrites) {
			members = append(members, e)
		}
	}
	s.node.quarantine.Judge()
	s.node.members.Apply(members, silence)
	s.node.updateMembership()
	s.node.retries.SetRouters(s.node.retryShares())
}

// MemberRecord is the stored form of a router's entry.
type MemberRecord struct {
	Address string `json:"address"`
	Peer    string `json:"peer"`
	Domain  string `json:"failure_domain"`
	// Capacity is the load that the VM can carry, in CPU cores; 0 if unknown.
	Capacity float64 `json:"capacity"`
	// Overloaded is absent from the entries of routers that are not overloaded, and of older builds.
	Overloaded bool `json:"overloaded,omitempty"`
}

func decodeMember(item store.Item) (fleet.Member, error) {
	record := MemberRecord{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return fleet.Member{}, errors.Wrap(err, "decode router entry")
	}
	if record.Address == "" {
		return fleet.Member{}, errors.New("router entry has no address")
	}
	return fleet.Member{Name: item.Key[len(MemberPrefix):], Address: record.Address, PeerAddress: record.Peer, Domain: record.Domain,
		Capacity: record.Capacity, Overloaded: record.Overloaded}, nil
}
