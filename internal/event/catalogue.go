package event

import "log/slog"

// Kind describes one numbered event, for the code and for docs/EVENTS.md.
type Kind struct {
	Number Number
	Level  slog.Level
	Text   string
}

// Events of a process. Numbers of retired events are listed in docs/EVENTS.md.
const (
	ProcessStarted Number = 100
	ProcessReady   Number = 101
	DrainStarted   Number = 102
	DrainFinished  Number = 103
	ProcessStopped Number = 104
	ListenerFailed Number = 106
)

// Events of a request.
const (
	RequestRefused     Number = 201
	AttemptFailed      Number = 203
	RequestAbandoned   Number = 206
	RequestReplayed    Number = 207
	RequestServed      Number = 208
	RequestCut         Number = 210
	RequestQuarantined Number = 209
	// ClaimOpen: the end of a request is missing in its claim of an idempotency key.
	ClaimOpen Number = 211
)

// Events of budgets.
const (
	DrawLanded       Number = 301
	DrawFailed       Number = 302
	DrawUnknown      Number = 305
	GrantsReturned   Number = 306
	TokensBorrowed   Number = 307
	TokensHandedOver Number = 308
	LoanShort        Number = 309
	// GrantClosed: what a dead router can have spent of a grant is settled; the rest is free.
	GrantClosed Number = 310
	// BudgetShort: a router that holds an account's grant for all has no more to give.
	BudgetShort Number = 311
	// TokensGathered: a router that holds an account's grant for all asked another one for
	// what the record leaves that one.
	TokensGathered Number = 312
)

// Events of the configuration.
const (
	ConfigInForce  Number = 501
	ConfigRejected Number = 503
	// SettingsReloaded: the settings file changed and the new settings are in force.
	SettingsReloaded Number = 504
	SettingsRejected Number = 505
)

// Events of membership.
const (
	PeerJoined Number = 600
	PeerLeft   Number = 603
)

// Events of backend servers and of the store.
const (
	BackendFound Number = 705
	// DomainEvacuated: operators ordered that a failure domain's backend servers get
	// nothing new; DomainRestored: the order was taken back.
	DomainEvacuated Number = 706
	DomainRestored  Number = 707
	// BackendCold: a backend server that was warm says that it bears few requests for now.
	BackendCold Number = 708
	// BackendLimited: a backend server names a limit of requests a second, or another one than
	// before; BackendUnlimited: the limit is over.
	BackendLimited   Number = 719
	BackendUnlimited Number = 720
	// LimitRecorded: the other routers are told of a backend server's limit, or of its end;
	// LimitUnrecorded: they could not be told yet.
	LimitRecorded    Number = 721
	LimitUnrecorded  Number = 722
	BackendLeaving   Number = 702
	EntryRejected    Number = 703
	StoreUnreachable Number = 710
	StoreReachable   Number = 711
	LeaseLost        Number = 712
	ReportDropped    Number = 713
	Bootstrapped     Number = 714
	SourceChanged    Number = 715
	StoreCalls       Number = 716
	// BackendMissing: an entry is missing after a silence of the store.
	BackendMissing Number = 717
	// KnowledgeOld: the call that should have confirmed what is known is overdue.
	KnowledgeOld Number = 718
)

// InvariantBroken: a safeguard that must always hold was found broken.
const InvariantBroken Number = 900

// Catalogue lists every kind of event in the order of the numbers.
var Catalogue = []Kind{
	{ProcessStarted, slog.LevelInfo, "process started"},
	{ProcessReady, slog.LevelInfo, "process ready"},
	{DrainStarted, slog.LevelInfo, "drain started"},
	{DrainFinished, slog.LevelInfo, "drain finished"},
	{ProcessStopped, slog.LevelInfo, "process stopped"},
	{ListenerFailed, slog.LevelError, "listener failed"},
	{RequestRefused, slog.LevelInfo, "request refused"},
	{AttemptFailed, slog.LevelWarn, "attempt failed"},
	{RequestAbandoned, slog.LevelInfo, "request abandoned by its caller"},
	{RequestReplayed, slog.LevelInfo, "request answered from an earlier run"},
	{RequestServed, slog.LevelInfo, "request answered"},
	{RequestCut, slog.LevelWarn, "answer cut off"},
	{RequestQuarantined, slog.LevelWarn, "request refused: it broke the backend servers that ran it"},
	{ClaimOpen, slog.LevelWarn, "claim of an idempotency key left open"},
	{DrawLanded, slog.LevelDebug, "draw landed"},
	{DrawFailed, slog.LevelWarn, "draw failed"},
	{DrawUnknown, slog.LevelWarn, "outcome of a draw unknown, the record is read again"},
	{GrantsReturned, slog.LevelInfo, "grants returned"},
	{TokensBorrowed, slog.LevelInfo, "tokens borrowed from other routers"},
	{TokensHandedOver, slog.LevelInfo, "tokens handed over to another router"},
	{LoanShort, slog.LevelDebug, "loan smaller than asked for"},
	{GrantClosed, slog.LevelInfo, "grant of a dead router closed"},
	{BudgetShort, slog.LevelInfo, "budget has no more to give"},
	{TokensGathered, slog.LevelInfo, "tokens gathered from another router"},
	{ConfigInForce, slog.LevelInfo, "configuration in force"},
	{ConfigRejected, slog.LevelWarn, "configuration change rejected"},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded"},
	{SettingsRejected, slog.LevelError, "changed settings rejected, the old ones stay in force"},
	{PeerJoined, slog.LevelInfo, "peer joined"},
	{PeerLeft, slog.LevelInfo, "peer left"},
	{BackendFound, slog.LevelInfo, "backend server found"},
	{DomainEvacuated, slog.LevelWarn, "failure domain evacuated"},
	{DomainRestored, slog.LevelInfo, "failure domain restored"},
	{BackendCold, slog.LevelInfo, "backend server cold"},
	{BackendLeaving, slog.LevelInfo, "backend server leaving"},
	{EntryRejected, slog.LevelWarn, "entry of the store rejected"},
	{StoreUnreachable, slog.LevelWarn, "store unreachable"},
	{StoreReachable, slog.LevelInfo, "store reachable"},
	{LeaseLost, slog.LevelWarn, "lease of this router's entry lost"},
	{ReportDropped, slog.LevelWarn, "report of a request that breaks servers dropped"},
	{Bootstrapped, slog.LevelInfo, "started on another router's knowledge"},
	{SourceChanged, slog.LevelInfo, "source of knowledge changed"},
	{StoreCalls, slog.LevelInfo, "calls to the store"},
	{BackendMissing, slog.LevelInfo, "entry of a backend server missing after an outage"},
	{KnowledgeOld, slog.LevelInfo, "knowledge is old, the store is asked beside the call under way"},
	{BackendLimited, slog.LevelWarn, "backend server limits its requests"},
	{BackendUnlimited, slog.LevelInfo, "backend server limits its requests no more"},
	{LimitRecorded, slog.LevelInfo, "limit of a backend server recorded"},
	{LimitUnrecorded, slog.LevelWarn, "limit of a backend server not recorded"},
	{InvariantBroken, slog.LevelError, "invariant broken"},
}

var byNumber = indexCatalogue()

func indexCatalogue() map[Number]Kind {
	index := make(map[Number]Kind, len(Catalogue))
	for _, kind := range Catalogue {
		index[kind.Number] = kind
	}
	return index
}

func kindOf(n Number) Kind {
	kind, found := byNumber[n]
	if !found {
		return Kind{Number: n, Level: slog.LevelError, Text: "event without a catalogue entry"}
	}
	return kind
}
