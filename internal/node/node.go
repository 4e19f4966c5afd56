// Package node puts one router together: what it follows in the store, what it
// listens on, and its planned stop.
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
	"chicorytiller.example/chicorytiller/internal/callers"
	"chicorytiller.example/chicorytiller/internal/entry"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/peers"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Keys of the fleet's own records.
const (
	// MemberPrefix holds the routers' own entries, each under its VM's name.
	MemberPrefix     = "chicory/router/"
	quarantinePrefix = "chicory/broken/"
	fleetPrefix      = "chicory/" // of both
	// BudgetPrefix holds what package escrow keeps.
	BudgetPrefix = "chicory-budget/"
)

// Pace of the followers. Each call to the store is paid for: while nothing changes there
// is one each wait and pause. The bounds on the age of what is known are the checks': see
// store.Follower.
const (
	// configWatchWait and configPause confirm the configuration each 1.2 s. configPause keeps a
	// storm of versions from becoming a storm of calls.
	configWatchWait  = 1150 * time.Millisecond
	configWatchPause = 50 * time.Millisecond
	// configCheckAfter leaves 0.4 s of the two seconds within which a version must be in force
	// for a router that follows another, its second check and slow links.
	configCheckAfter = 1400 * time.Millisecond
	// Of the time that a leaving server still serves, the entries of the servers are
	// confirmed each half (watch) and tenth (pause), and checked after seven tenths.
	serversWatchWaitFraction  = 0.5
	serversWatchPauseFraction = 0.1
	serversCheckAfterFraction = 0.7
	// minDrain bounds the calls where servers serve for a shorter time, or none.
	minDrain = 500 * time.Millisecond
	// serversBurst lets a few servers that leave one after the other be known at once.
	// Where entries change all the time, it is a call each wait and pause.
	serversBurst = 4

	// fleetWatchWait suits changes that are rare, fleetPause the times when they are not: after
	// an outage each router enters itself again, and a call for each would be paid for.
	fleetWatchWait  = 2000 * time.Millisecond
	fleetWatchPause = 300 * time.Millisecond
	// fleetCheckAfter lets each router know a content that breaks servers within the three
	// seconds after which it must not be sent any more. Callers leave a router that doesn't
	// answer by themselves.
	fleetCheckAfter = 2600 * time.Millisecond
	// watchMargin is the time an answer may take beyond its wait: over a link whose queue holds
	// packets for half a second each way, and of a store that is slow. A call that hangs for
	// longer puts nothing off, since the checks run beside it.
	watchMargin = 1200 * time.Millisecond
	// relayWatchWait is how long a router that follows the store for others holds an answer
	// back while it hears nothing; see relay.wait.
	relayWatchWait = 500 * time.Millisecond
)

// Environment connects a node to its deployment: the store, the clocks, the formats of stored
// records and of backend requests, and the HTTP handlers.
type Environment struct {
	Store store.Store
	Clock func() escrow.ClockReading
	// Now is a clock that keeps running while the VM is suspended; nil means time.Now.
	Now          func() time.Time
	ConfigPrefix string
	IsConfig     func(store.Item) bool
	DecodeConfig func(store.Item) (*policy.Policy, error)
	// EvacuatedDomain decodes the key, under ConfigPrefix, of an order to evacuate a failure
	// domain.
	EvacuatedDomain fleet.ParseEvacuationKey
	ServersPrefix   string
	DecodeServer    fleet.DecodeEntry
	Codec           upstream.Codec
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
	// configItem is what the policy was decoded from.
	configItem        atomic.Pointer[store.Item]
	configMu          sync.Mutex             // orders changes of both
	feeds             map[string]*store.Feed // by prefix
	registry          *fleet.Registry
	evacuated         *fleet.Evacuations
	members           *fleet.Members
	rankings          rankings[[]string]          // holders of accounts
	serverRanks       rankings[pacing.SenderRank] // of this router, by start of a backend server
	limits            *pacing.Limits
	membership        membership
	grants            *escrow.GrantManager
	retries           *retry.Budget
	quarantine        *retry.Quarantine
	client            *upstream.Client
	peers             *peers.Client
	forward           *forward.Forwarder
	quarantineReports chan uint64

	listeners    []*listener
	peerListener net.Listener

	createdAt     time.Time
	stopSignal    chan struct{} // closed when the stop begins
	stopping      atomic.Bool
	refusing      atomic.Bool  // takes no request at all any more
	stopStartedAt atomic.Int64 // monotonic-free wall time of the stop, Unix ms
	inFlight      atomic.Int64
}

// New makes a node. incarnation is a name that no other process ever has.
func New(s *Settings, d Environment, log *event.Log, incarnation string) *Node {
	n := &Node{settings: s, env: d, log: log, incarnation: incarnation, metrics: NewMetrics(), quarantineReports: make(chan uint64, maxPendingReports),
		stopSignal: make(chan struct{}), createdAt: time.Now()}
	d.Store = store.Counted{Store: d.Store, Count: n.metrics.CountStoreCall}
	n.env.Store = d.Store
	n.registry = fleet.NewRegistry(d.DecodeServer, log, nil)
	n.registry.SetWarmUp(n.warmUp)
	n.evacuated = fleet.NewEvacuations(d.EvacuatedDomain, n.registry, log)
	n.members = fleet.NewMembers(decodeMember, log, nil)
	n.feeds = map[string]*store.Feed{
		d.ConfigPrefix: {Now: d.Now}, fleetPrefix: {Now: d.Now}, d.ServersPrefix: {Now: d.Now, Same: n.registry.Same},
	}
	n.retries = retry.NewBudget(retryLimits(s), 1, nil)
	n.quarantine = retry.NewQuarantine(nil)
	n.client = upstream.NewClient(d.Codec, n.metrics.BackendDials)
	n.peers = peers.NewClient(incarnation, n.peerAddresses, log)
	n.grants = escrow.New(escrow.Options{
		Store: d.Store, Prefix: BudgetPrefix, VM: s.VM, Address: s.PeerAddr, Incarnation: incarnation, Clock: d.Clock,
		Budgets: n.budgets, Home: n.homeAddress, Holders: n.holderAddresses, Log: log, Peers: n.peers,
	})
	n.limits = pacing.NewLimits(log, nil)
	n.metrics.registerLimitedBackends(n.limits.Count)
	pacer := &pacing.Limiter{ColdRate: n.coldRate, SenderRank: n.rankFor, Limits: n.limits, Now: time.Now}
	n.forward = &forward.Forwarder{
		Policy:            n.policy.Load,
		Servers:           func(service string) []*fleet.Server { return n.registry.View().ByService[service] },
		Budget:            n.grants,
		Retries:           n.retries,
		Quarantine:        n.quarantine,
		ReportQuarantined: n.reportQuarantined,
		Chooser:           balance.NewChooser(s.FailureDomain, pacer, nil),
		RateLimits:        n.limits,
		PriorityGate:      &pacing.PriorityGate{Now: time.Now},
		Backend:           n.client,
		Limits:            limit.New(n.routerCount, nil),
		Log:               log,
		Metrics:           n.metrics,
	}
	return n
}

func retryLimits(s *Settings) retry.Limits {
	return retry.Limits{Window: s.RetryWindow, Ratio: s.RetryRatio, Extra: s.RetryExtra}
}

// Reload puts changed settings in force. Listen addresses stay as they are.
func (n *Node) Reload(s *Settings) {
	n.retries.Set(retryLimits(s), n.retryShares())
	n.log.Emit(event.SettingsReloaded, slog.Float64("retry_ratio", s.RetryRatio), slog.Float64("retry_extra", s.RetryExtra))
}

// maxMembershipWait is how long a router that started may miss itself in the list of
// routers before it draws all the same.
const maxMembershipWait = 3 * time.Second

// membershipKnown says whether this router has seen the list of routers since it entered
// it. Before that each router takes itself for the home of all accounts, and all of
// them together would draw the whole of each budget.
func (n *Node) membershipKnown() bool {
	return time.Since(n.createdAt) > maxMembershipWait || n.members.Has(MemberPrefix+n.settings.VM)
}

// budgets lists the metered accounts and what they paid for.
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

// routerCount is how many routerCount live, as far as known.
func (n *Node) routerCount() int {
	return max(1, len(n.members.List()))
}

// retryShares is the number of routers to divide the common part of the retry budget
// by: some more than live, for those that join before all know of them.
func (n *Node) retryShares() int {
	const joinMargin = 1.5
	return int(joinMargin*float64(n.routerCount())) + 1
}

// hasRoutingData says whether this router knows where requests go.
func (n *Node) hasRoutingData() bool {
	return n.policy.Load() != nil && n.registry.View().Total > 0
}

// Ready says whether callers should come.
func (n *Node) Ready() bool {
	return n.hasRoutingData() && n.membershipKnown() && !n.stopping.Load()
}

func (n *Node) self() fleet.Member {
	return fleet.Member{Name: n.settings.VM, Address: n.settings.CallerAddr, PeerAddress: n.settings.PeerAddr, Domain: n.settings.FailureDomain,
		Capacity: n.settings.Capacity}
}

// peerAddresses lists the other routers for peers.Client.
func (n *Node) peerAddresses() []string {
	members := n.members.List()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		if m.Name != n.settings.VM && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// resolve names the routers for a caller. This router counts itself in as long as
// it is ready, also when its own entry has lapsed with the store; but not while it
// is isolated and knows others.
func (n *Node) resolve(domain, caller string) []string {
	members := n.members.List()
	others := members[:0]
	for _, m := range members {
		if m.Name != n.settings.VM {
			others = append(others, m)
		}
	}
	if n.Ready() && (len(others) == 0 || !n.grants.Isolated()) {
		others = append(others, n.self())
	}
	return entry.Choose(others, domain, caller)
}

// acceptAllTime is how long a stopping router still takes requests of any length:
// callers come until what they were told of addresses is old. Later it takes only
// those that surely end before the process does.
const acceptAllTime = 2500 * time.Millisecond

func (n *Node) serve(ctx context.Context, r *request.Request, caller forward.Caller) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer n.abortOnPanic(caller)
	if n.refusing.Load() || n.stopping.Load() && !n.finishesInTime(r) {
		n.forward.Refuse(r, caller, forward.NewRefusal(forward.RouterStopping))
		return
	}
	n.forward.Serve(ctx, r, caller)
}

// abortOnPanic ends an answer after a fault of the program. The HTTP library would recover
// it in silence: nobody would learn of it.
func (n *Node) abortOnPanic(caller forward.Caller) {
	if cause := recover(); cause != nil {
		n.log.EmitPanic("the serving of a request", cause)
		caller.Abort()
	}
}

// finishesInTime says whether a stopping router may still take a request.
func (n *Node) finishesInTime(r *request.Request) bool {
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
		return p.Limits.BodyBytes
	}
	return 0
}

// Settings are the settings in force.
func (n *Node) Settings() Settings {
	return *n.settings
}

// Run serves, after Listen, until ctx ends, and then stops as planned.
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
	if err := peers.Serve(n.peerListener, n.grants, n, n.log); !errors.Is(err, net.ErrClosed) {
		n.log.Emit(event.ListenerFailed, slog.String("address", n.settings.PeerAddr), slog.Any(event.KeyCause, err))
	}
}

// Feed implements peers.Knowledge.
func (n *Node) Feed(prefix string) *store.Feed {
	return n.feeds[prefix]
}

// Known implements peers.Knowledge: what another router that starts while the store is
// away needs.
func (n *Node) Known() peers.Known {
	known := peers.Known{Servers: n.registry.Items(), Members: n.members.Items(), Limits: n.limits.Items()}
	if item := n.configItem.Load(); item != nil {
		known.Config = append([]store.Item{*item}, n.evacuated.Items()...)
	}
	return known
}
