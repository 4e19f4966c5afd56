// Package node assembles one router: its followers of the store, its listeners and its graceful
// shutdown.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/callerconn"
	"chicorytiller.example/chicorytiller/internal/callers"
	"chicorytiller.example/chicorytiller/internal/entry"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/inbound"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/peers"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/tunnel"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Prefixes of the keys that routers write.
const (
	// MemberPrefix holds the routers' entries, each under the name of its VM.
	MemberPrefix = "chicory/router/"
	fleetPrefix  = "chicory/" // all records that fleetSink applies
	// BudgetPrefix holds the records of package escrow.
	BudgetPrefix = "chicory-budget/"
)

// Timing of the followers. Each call to the store costs money: while nothing changes, a follower
// makes one call per MaxWait + Pause. The checks, not the watches, bound the age of the data: see
// store.Follower.
const (
	// configMaxWait and configPause add up to 1.2 s, the interval at which the configuration is
	// confirmed. The pause keeps a burst of versions from causing a burst of calls.
	configMaxWait = 1150 * time.Millisecond
	configPause   = 50 * time.Millisecond
	// A new configuration must be in force within two seconds. configCheckAfter leaves 0.6 s of
	// them for a router that follows another one, for its second check and for slow links.
	configCheckAfter = 1400 * time.Millisecond
	// Timing of the follower of backend servers, as fractions of Settings.DrainTime, the time for
	// which a leaving server keeps serving.
	serversMaxWaitFraction    = 0.5
	serversPauseFraction      = 0.1
	serversCheckAfterFraction = 0.7
	// serversOutdatedFraction is the age at which a router whose link is full sends no more
	// requests: a server may have left meanwhile, and connecting takes time on such a link. Without
	// a full link the age is bounded by the check, or the store is away for all.
	serversOutdatedFraction = 0.75
	// minDrainTime bounds the rate of calls if the configured drain time is shorter or zero.
	minDrainTime = 500 * time.Millisecond
	// serversBurst lets a router see at once that a few servers leave one after the other. If
	// entries change continuously there is only one call per MaxWait + Pause.
	serversBurst = 4

	// fleetMaxWait suits rare changes, fleetPause bursts: after an outage every router
	// registers again, and one paid call per registration would be expensive.
	fleetMaxWait = 2000 * time.Millisecond
	fleetPause   = 300 * time.Millisecond
	// fleetCheckAfter lets a record of a request that crashes servers reach each router within
	// three seconds, after which no router may send the request any more. The removal of routers
	// is less urgent: callers leave a router that does not answer by themselves.
	fleetCheckAfter = 2600 * time.Millisecond
	// watchTimeout is the time that an answer may take beyond its wait. It allows for a slow store
	// and a link that queues packets for half a second each way. A call that hangs delays nothing,
	// since the checks run beside it.
	watchTimeout = 1200 * time.Millisecond
	// relayMaxWait is how long a store reader may hold back its answer to another router while
	// nothing changes; see relay.maxWait.
	relayMaxWait = 500 * time.Millisecond
)

// Environment connects a node to its deployment: the store, the clocks, the formats of stored
// records and of backend requests, and the HTTP handlers.
type Environment struct {
	Store store.Store
	Clock func() escrow.ClockReading
	// Now is a clock that keeps running while the VM is suspended; nil means time.Now.
	Now          func() time.Time
	ConfigPrefix string
	// IsConfig reports whether an item under ConfigPrefix is the configuration.
	IsConfig     func(store.Item) bool
	DecodeConfig func(store.Item) (*policy.Policy, error)
	// EvacuatedDomain decodes the key, under ConfigPrefix, of an order to evacuate a failure
	// domain.
	EvacuatedDomain fleet.ParseEvacuationKey
	ServersPrefix   string
	DecodeServer    fleet.DecodeEntry
	Codec           upstream.Codec
	// KeyName returns the name of an API key in the policy; nil means that it is the key itself.
	KeyName func(key string) string
	// CallerHandler, DirectoryHandler and ReadyHandler create the handlers of the listeners for
	// callers, for the directory of routers and for readiness probes.
	CallerHandler    func(callers.Router) http.Handler
	DirectoryHandler func(resolve func(domain, caller string) []string, ttl time.Duration) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

// Node is one router.
type Node struct {
	settings    *Settings
	env         Environment
	log         *event.Log
	incarnation string
	metrics     *Metrics

	policy atomic.Pointer[policy.Policy]
	// configItem is the item that policy was decoded from.
	configItem  atomic.Pointer[store.Item]
	configMu    sync.Mutex             // held while policy and configItem are set
	feeds       map[string]*store.Feed // by prefix
	registry    *fleet.Registry
	serversAsOf atomic.Pointer[time.Time] // when the list of backend servers was current
	evacuations *fleet.Evacuations
	members     *fleet.Members
	rankings    rankings[[]string]          // holders of accounts
	serverRanks rankings[pacing.SenderRank] // of this router, by incarnation of a backend server
	limits      *pacing.AnnouncedRates
	fragility   *pacing.AnnouncedRates
	permits     *permitHolder
	membership  membership
	intake      *intakeState
	grants      *escrow.GrantManager
	// eraObservers are called when the store has lost writes. They are registered before Run.
	eraObservers []func(store.Era)
	retries      *retry.Budget
	quarantine   *quarantine.Quarantine
	crashReports *crashReports
	streams      *streamVersions
	link         *linkdelay.Estimator
	client       *upstream.Client
	carrier      *tunnel.Carrier // of connections for other routers
	peers        *peers.Client
	forward      *forward.Forwarder

	listeners    []*listener
	inbound      *inbound.Pool // connections of all clients
	peerPool     *inbound.Pool // connections of other routers
	callerConns  *callerconn.Listener
	peerListener net.Listener

	createdAt     time.Time
	stopSignal    chan struct{} // closed when the shutdown starts
	stopping      atomic.Bool
	refusing      atomic.Bool  // refuses all requests
	stopStartedAt atomic.Int64 // wall-clock time at which the shutdown started, Unix ms
	inFlight      atomic.Int64
}

// New returns a node. incarnation must be unique among all processes ever started.
func New(s *Settings, env Environment, log *event.Log, incarnation string) *Node {
	n := &Node{settings: s, env: env, log: log, incarnation: incarnation, metrics: NewMetrics(),
		stopSignal: make(chan struct{}), createdAt: time.Now()}
	env.Store = store.CountingStore{Store: env.Store, Count: n.metrics.CountStoreCall}
	n.env.Store = env.Store
	n.registry = fleet.NewRegistry(env.DecodeServer, log, nil)
	n.registry.SetWarmUp(n.warmUp)
	n.evacuations = fleet.NewEvacuations(env.EvacuatedDomain, n.registry, log)
	n.members = fleet.NewMembers(decodeMember, log, nil)
	n.feeds = map[string]*store.Feed{
		env.ConfigPrefix: {Now: env.Now}, fleetPrefix: {Now: env.Now}, env.ServersPrefix: {Now: env.Now, Equivalent: n.registry.Same},
	}
	n.retries = retry.NewBudget(retryLimits(s), 1, nil)
	n.quarantine = quarantine.New(nil, n.logQuarantine)
	n.crashReports = newCrashReports(n)
	n.streams = newStreamVersions(n)
	n.metrics.registerStreamRecords(n.streams.own.Len, n.streams.held.Len)
	n.metrics.registerQuarantined(n.quarantine.Count)
	n.intake = newIntakeState(s.LinkMbps)
	n.metrics.registerIntake(n.intake)
	n.link = linkdelay.New(env.Now)
	n.metrics.registerLinkDelay(n.link.Delay)
	carriers := tunnel.NewClient(s.FailureDomain, n.otherRouters, n.link, env.Now)
	n.client = upstream.NewClient(upstream.Options{Codec: env.Codec, Router: log.Process(), Dials: n.metrics.BackendDials, Link: n.link, Carriers: carriers, Log: log})
	n.metrics.registerCutPaths(n.client.CutPaths)
	n.carrier = tunnel.NewCarrier(n.dialForCarrier)
	n.metrics.registerCarried(n.carrier.Active)
	n.peers = peers.NewClient(incarnation, n.peerAddresses, log, n.link)
	n.grants = escrow.New(escrow.Options{
		Store: env.Store, Prefix: BudgetPrefix, VM: s.VM, Address: s.PeerAddr, Incarnation: incarnation, Clock: env.Clock,
		Budgets: n.budgets, Home: n.homeAddress, Holders: n.holderAddresses, Log: log, Peers: n.peers,
	})
	n.peers.OnReturnedTokens(n.grants.Accept)
	n.limits = pacing.NewAnnouncedRates(pacing.RateLimits, log, nil)
	n.metrics.registerLimitedBackends(n.limits.Count)
	n.fragility = pacing.NewAnnouncedRates(pacing.Fragility, log, nil)
	n.metrics.registerFragileServices(n.fragility.Count)
	n.permits = newPermitHolder(n)
	n.metrics.registerGrantedServers(n.permits.grantor.Active)
	pacer := &pacing.Limiter{ColdRate: n.coldRate, SenderRank: n.rankFor, Limits: n.limits, Now: time.Now}
	n.forward = &forward.Forwarder{
		Policy:          n.policy.Load,
		Servers:         func(service string) []*fleet.Server { return n.registry.View().ByService[service] },
		MarkLeaving:     n.registry.MarkLeaving,
		Budget:          n.grants,
		Retries:         n.retries,
		Quarantine:      n.quarantine,
		TryAgain:        n.tryAgain,
		Chooser:         balance.NewChooser(s.FailureDomain, pacer, nil),
		CopyPacer:       func() balance.Pacer { return pacer.Copy() },
		RateLimits:      n.limits,
		Fragility:       n.fragility,
		Permits:         n.permits,
		PriorityGate:    &pacing.PriorityGate{Now: time.Now},
		Streams:         n.streams,
		Backend:         n.client,
		ServersOutdated: n.serversOutdated,
		LinkDelay:       n.link.Delay,
		Limits:          limit.New(n.routerCount, nil),
		Log:             log,
		Metrics:         n.metrics,
	}
	if !s.AdmissionOff {
		n.forward.Admission = newAdmission(n, pacer)
	}
	n.metrics.registerHeldBytes(n.forward.HeldBytes)
	n.inbound, n.peerPool = inbound.NewPool(s.Inbound), inbound.NewPool(peerLimits(s))
	n.metrics.registerInbound(n.inbound)
	n.callerConns = &callerconn.Listener{}
	n.metrics.registerCallerConns(n.callerConns)
	return n
}

func retryLimits(s *Settings) retry.Limits {
	return retry.Limits{Window: s.RetryWindow, Ratio: s.RetryRatio, Extra: s.RetryExtra}
}

// Reload applies the retry limits of changed settings. All other settings stay as they are.
func (n *Node) Reload(s *Settings) {
	n.retries.SetLimits(retryLimits(s))
	n.log.Emit(event.SettingsReloaded, slog.Float64("retry_ratio", s.RetryRatio), slog.Float64("retry_extra", s.RetryExtra))
}

// maxMembershipWait is how long after its start a router waits to see itself in the list of
// routers before it draws from budgets anyway.
const maxMembershipWait = 3 * time.Second

// membershipKnown reports whether this router has seen itself in the list of routers, or has
// waited long enough. Before that each router considers itself the home of all accounts, and
// routers that start together would each draw whole budgets.
func (n *Node) membershipKnown() bool {
	return time.Since(n.createdAt) > maxMembershipWait || n.members.Has(MemberPrefix+n.settings.VM)
}

// budgets returns the prepaid amounts of the metered accounts, by account.
func (n *Node) budgets() map[string]int64 {
	p := n.policy.Load()
	if p == nil || !n.membershipKnown() {
		return nil
	}
	paid := make(map[string]int64, len(p.Accounts))
	for name, account := range p.Accounts {
		if account.Metered {
			paid[name] = account.Prepaid
		}
	}
	return paid
}

// routerCount returns the number of known live routers, at least 1.
func (n *Node) routerCount() int {
	return max(1, len(n.members.List()))
}

// retryShares returns the number of routers over which the shared part of the retry budget is
// divided. It exceeds the number of live routers to allow for some that join before all others
// know them.
func (n *Node) retryShares() int {
	const joinMargin = 1.5
	return int(joinMargin*float64(n.routerCount())) + 1
}

// hasRoutingData reports whether this router has a configuration and backend servers.
func (n *Node) hasRoutingData() bool {
	return n.policy.Load() != nil && n.registry.View().Total > 0
}

// ableToServe reports whether this router can serve callers.
func (n *Node) ableToServe() bool {
	return n.hasRoutingData() && n.membershipKnown() && n.versionsKnown() && !n.stopping.Load()
}

// Ready reports whether this router is ready for new callers: it can serve them, and no other router should
// take them because of the load of links.
func (n *Node) Ready() bool {
	return n.ableToServe() && n.intake.acceptsNew()
}

func (n *Node) self() fleet.Member {
	return fleet.Member{Name: n.settings.VM, Address: n.settings.CallerAddr, PeerAddress: n.settings.PeerAddr, Domain: n.settings.FailureDomain,
		Capacity: n.settings.Capacity, Overloaded: n.intake.overloaded.Load()}
}

// peerAddresses returns the peer addresses of the other routers.
func (n *Node) peerAddresses() []string {
	others := n.otherRouters()
	addresses := make([]string, 0, len(others))
	for _, m := range others {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// resolve returns the addresses of the routers that a caller should use. They may include this
// router while it can serve, even if its own entry expired because the store is unreachable, but
// not while it is isolated and knows other routers.
func (n *Node) resolve(domain, caller string) []string {
	members := n.members.List()
	others := members[:0]
	overloadsKnown := n.overloadsKnown(n.now())
	for _, m := range members {
		if m.Name != n.settings.VM {
			m.Overloaded = m.Overloaded && overloadsKnown
			others = append(others, m)
		}
	}
	if n.ableToServe() && (len(others) == 0 || !n.grants.Isolated()) {
		others = append(others, n.self())
	}
	return entry.Choose(others, domain, caller)
}

// acceptAllTime is how long a stopping router still accepts all requests: callers use its address
// until their cached addresses expire. After that it accepts only requests that are certain to
// finish before the process exits.
const acceptAllTime = 2500 * time.Millisecond

func (n *Node) serve(ctx context.Context, r *request.Request, caller forward.Caller) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer n.abortOnPanic(caller)
	if n.refuses(r) {
		n.forward.Refuse(r, caller, forward.NewRefusal(forward.RouterStopping))
		return
	}
	n.forward.Serve(ctx, r, caller)
}

// refuses reports whether this router takes no more requests like this one, since it stops.
func (n *Node) refuses(r *request.Request) bool {
	return n.refusing.Load() || n.stopping.Load() && !n.acceptsWhileStopping(r)
}

// abortOnPanic logs a panic and aborts the response. It must be deferred. Otherwise net/http would
// recover the panic and discard it, since the server's ErrorLog is off.
func (n *Node) abortOnPanic(caller forward.Caller) {
	if cause := recover(); cause != nil {
		n.log.EmitPanic("serving a request", cause)
		caller.Abort()
	}
}

// acceptsWhileStopping reports whether a stopping router still accepts a request: within
// acceptAllTime any request, after that only one whose timeout ends before the grants are
// returned.
func (n *Node) acceptsWhileStopping(r *request.Request) bool {
	since := time.Since(time.UnixMilli(n.stopStartedAt.Load()))
	if since < acceptAllTime {
		return true
	}
	p := n.policy.Load()
	if p == nil {
		return false
	}
	route := p.Route(r.Host, r.Path)
	left := n.settings.GracePeriod - grantReturnTime - since
	return route != nil && route.Timeout > 0 && route.Timeout < left
}

func (n *Node) bodyLimit() int64 {
	if p := n.policy.Load(); p != nil {
		return p.Limits.MaxBodyBytes
	}
	return 0
}

// Settings returns the settings passed to New, with the actual listen addresses once Listen has
// returned. It does not include what Reload changed.
func (n *Node) Settings() Settings {
	return *n.settings
}

// Run serves until ctx ends and then shuts down gracefully. Listen must have been called before.
func (n *Node) Run(ctx context.Context) {
	background, endBackground := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for _, l := range n.listeners {
		tasks.Go(l.serve)
	}
	tasks.Go(n.servePeers)
	n.startBackgroundTasks(background, &tasks)
	n.log.Emit(event.ProcessStarted, slog.String("callers", n.settings.CallerAddr), slog.String("incarnation", n.incarnation))
	<-ctx.Done()
	n.stop()
	n.closeListeners()
	endBackground()
	tasks.Wait()
}

func (n *Node) servePeers() {
	if err := peers.Serve(n.peerListener, n.grants, n, n.log, n.carrier); !errors.Is(err, net.ErrClosed) {
		n.log.Emit(event.ListenerFailed, slog.String("address", n.settings.PeerAddr), slog.Any(event.KeyCause, err))
	}
}

// Feed implements peers.StateSource.
func (n *Node) Feed(prefix string) *store.Feed {
	return n.feeds[prefix]
}

// Known implements peers.StateSource. It returns the state that another router needs if it starts
// while the store is unreachable. The revisions are without the era, so that whatever the other router
// reads from the store is newer.
func (n *Node) Known() peers.Known {
	known := peers.Known{Servers: n.registry.Items(), Members: n.members.Items(), Limits: append(n.limits.Items(), n.fragility.Items()...),
		Versions: n.streams.rollout.Items(), Crashes: n.crashReports.Items()}
	if item := n.configItem.Load(); item != nil {
		known.Config = append([]store.Item{*item}, n.evacuations.Items()...)
	}
	for _, items := range [][]store.Item{known.Servers, known.Members, known.Limits, known.Versions, known.Crashes, known.Config} {
		for i := range items {
			items[i].Revision = store.NewRevision(0, items[i].Revision.Number())
		}
	}
	return known
}
