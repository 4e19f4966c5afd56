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
	RequestAdmitted    Number = 200
	RequestRefused     Number = 201
	AttemptDispatched  Number = 202
	AttemptFailed      Number = 203
	StreamResumed      Number = 204
	RequestFinished    Number = 205
	RequestAbandoned   Number = 206
	RequestReplayed    Number = 207
	RequestServed      Number = 208
	RequestCut         Number = 210
	RequestQuarantined Number = 209
)

// Events of budgets.
const (
	DrawIssued       Number = 300
	DrawLanded       Number = 301
	DrawFailed       Number = 302
	TopUpLanded      Number = 304
	DrawUnknown      Number = 305
	GrantsReturned   Number = 306
	TokensBorrowed   Number = 307
	TokensHandedOver Number = 308
	LoanShort        Number = 309
)

// Events of bills and of the settlement of dead routers.
const (
	BillHeld           Number = 400
	BillRefused        Number = 401
	WitnessChosen      Number = 402
	SettlementStarted  Number = 403
	RouterSealed       Number = 404
	SettlementDone     Number = 405
	SelfFenced         Number = 406
	WitnessUnreachable Number = 407
)

// Events of the configuration.
const (
	ConfigAccepted Number = 500
	ConfigInForce  Number = 501
	ConfigConflict Number = 502
	ConfigRejected Number = 503
	// SettingsReloaded: the settings file changed and the new settings are in force.
	SettingsReloaded Number = 504
	SettingsRejected Number = 505
)

// Events of membership.
const (
	PeerJoined    Number = 600
	PeerSuspected Number = 601
	PeerRecovered Number = 602
	PeerLeft      Number = 603
	RosterRead    Number = 604
)

// Events of backend servers and of the platform.
const (
	BackendFound        Number = 705
	BackendLeaving      Number = 702
	EntryRejected       Number = 703
	StoreUnreachable    Number = 710
	StoreReachable      Number = 711
	LeaseLost           Number = 712
	ReportDropped       Number = 713
	Bootstrapped        Number = 714
	PlatformUnreachable Number = 750
	PlatformReachable   Number = 751
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
	{RequestAdmitted, slog.LevelDebug, "request admitted"},
	{RequestRefused, slog.LevelInfo, "request refused"},
	{AttemptDispatched, slog.LevelDebug, "attempt dispatched"},
	{AttemptFailed, slog.LevelWarn, "attempt failed"},
	{StreamResumed, slog.LevelInfo, "stream resumed"},
	{RequestFinished, slog.LevelDebug, "request finished"},
	{RequestAbandoned, slog.LevelInfo, "request abandoned by its caller"},
	{RequestReplayed, slog.LevelInfo, "request answered from an earlier run"},
	{RequestServed, slog.LevelInfo, "request answered"},
	{RequestCut, slog.LevelWarn, "answer cut off"},
	{RequestQuarantined, slog.LevelWarn, "request refused: it broke the backend servers that ran it"},
	{DrawIssued, slog.LevelDebug, "draw issued"},
	{DrawLanded, slog.LevelDebug, "draw landed"},
	{DrawFailed, slog.LevelWarn, "draw failed"},
	{TopUpLanded, slog.LevelInfo, "top-up landed"},
	{DrawUnknown, slog.LevelWarn, "outcome of a draw unknown, the record is read again"},
	{GrantsReturned, slog.LevelInfo, "grants returned"},
	{TokensBorrowed, slog.LevelInfo, "tokens borrowed from other routers"},
	{TokensHandedOver, slog.LevelInfo, "tokens handed over to another router"},
	{LoanShort, slog.LevelDebug, "loan smaller than asked for"},
	{BillHeld, slog.LevelDebug, "bill held by the witness"},
	{BillRefused, slog.LevelWarn, "bill refused by the witness"},
	{WitnessChosen, slog.LevelInfo, "witness chosen"},
	{SettlementStarted, slog.LevelInfo, "settlement of a router started"},
	{RouterSealed, slog.LevelInfo, "router sealed at its witness"},
	{SettlementDone, slog.LevelInfo, "settlement of a router done"},
	{SelfFenced, slog.LevelError, "this router was sealed by others and stops serving"},
	{WitnessUnreachable, slog.LevelWarn, "witness unreachable"},
	{ConfigAccepted, slog.LevelInfo, "configuration change accepted"},
	{ConfigInForce, slog.LevelInfo, "configuration in force"},
	{ConfigConflict, slog.LevelInfo, "configuration change lost a race"},
	{ConfigRejected, slog.LevelWarn, "configuration change rejected"},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded"},
	{SettingsRejected, slog.LevelError, "changed settings rejected, the old ones stay in force"},
	{PeerJoined, slog.LevelInfo, "peer joined"},
	{PeerSuspected, slog.LevelWarn, "peer suspected"},
	{PeerRecovered, slog.LevelInfo, "peer recovered"},
	{PeerLeft, slog.LevelInfo, "peer left"},
	{RosterRead, slog.LevelInfo, "roster of routers read"},
	{BackendFound, slog.LevelInfo, "backend server found"},
	{BackendLeaving, slog.LevelInfo, "backend server leaving"},
	{EntryRejected, slog.LevelWarn, "entry of the store rejected"},
	{StoreUnreachable, slog.LevelWarn, "store unreachable"},
	{StoreReachable, slog.LevelInfo, "store reachable"},
	{LeaseLost, slog.LevelWarn, "lease of this router's entry lost"},
	{ReportDropped, slog.LevelWarn, "report of a request that breaks servers dropped"},
	{Bootstrapped, slog.LevelInfo, "started on another router's knowledge"},
	{PlatformUnreachable, slog.LevelWarn, "platform service unreachable"},
	{PlatformReachable, slog.LevelInfo, "platform service reachable again"},
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
