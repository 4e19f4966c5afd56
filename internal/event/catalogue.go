package event

import "log/slog"

// Kind describes one kind of event. docs/EVENTS.md lists the same kinds.
type Kind struct {
	Number Number
	Level  slog.Level
	Text   string
}

// Process events. docs/EVENTS.md also lists the numbers of removed events.
const (
	ProcessStarted Number = 100
	ProcessReady   Number = 101
	DrainStarted   Number = 102
	DrainFinished  Number = 103
	ProcessStopped Number = 104
	ListenerFailed Number = 106
)

// Request events.
const (
	RequestRefused     Number = 201
	AttemptFailed      Number = 203
	RequestAbandoned   Number = 206
	RequestReplayed    Number = 207
	RequestServed      Number = 208
	ResponseAborted    Number = 210
	RequestQuarantined Number = 209
	// ClaimLeftOpen: the outcome of a request could not be stored in the claim of its
	// idempotency key.
	ClaimLeftOpen Number = 211
	// QuarantineEnded: requests with a feature are no longer refused, because the servers still run,
	// other requests with the feature were answered, or the crashes have another cause.
	QuarantineEnded Number = 212
	// StreamResumed: a request resumes a stream; the version of the servers' software at which the
	// stream began was searched.
	StreamResumed Number = 213
	// ClaimsRestored: recent claims of idempotency keys were written again, since the store may have lost
	// them.
	ClaimsRestored Number = 214
	// AdmissionLimited: a service's servers are full, and this router limits its requests to them.
	AdmissionLimited Number = 215
	// AdmissionUnlimited: the servers have free slots, and all requests pass again.
	AdmissionUnlimited Number = 216
	// AdmissionState: the state of a service whose requests are limited.
	AdmissionState Number = 217
	// CallerStalled: a caller took no byte of its answer for some seconds and was disconnected.
	CallerStalled Number = 218
)

// Budget events.
const (
	DrawCommitted      Number = 301
	DrawFailed         Number = 302
	DrawOutcomeUnknown Number = 305
	GrantsReturned     Number = 306
	TokensBorrowed     Number = 307
	TokensHandedOver   Number = 308
	LoanShortfall      Number = 309
	// GrantClosed: an upper bound of a dead router's spending was counted as spent, and the
	// rest of its grant was released.
	GrantClosed Number = 310
	// BudgetShortage: a router that holds an account's grant on behalf of all routers has no
	// tokens left to lend.
	BudgetShortage Number = 311
	// TokensGathered: a router that holds an account's grant on behalf of all routers asked
	// another router for tokens that had been granted to that router and were not spent.
	TokensGathered Number = 312
	// RationingChanged: a router that holds an account's grant on behalf of all routers started
	// or ended the rationing of a budget that is nearly used up.
	RationingChanged Number = 313
	// GrantsRestored: grants that the store had lost were written again.
	GrantsRestored Number = 314
	// RecordNotTold: another router could not be told of budget records that were written.
	RecordNotTold Number = 315
)

// Configuration events.
const (
	ConfigApplied  Number = 501
	ConfigRejected Number = 503
	// SettingsReloaded: the settings file was read again and the new settings apply.
	SettingsReloaded Number = 504
	SettingsRejected Number = 505
)

// Membership events.
const (
	PeerJoined Number = 600
	PeerLeft   Number = 603
	// RouterOverloaded: bytes of callers overload this router's own link; OverloadEnded: they no longer do.
	RouterOverloaded Number = 605
	OverloadEnded    Number = 606
	// ClientsEnded: connections of clients were ended to keep connections and memory within their bounds.
	ClientsEnded Number = 610
	// OverloadReadiness: an overloaded router takes new callers again, since no other can, or no longer.
	OverloadReadiness Number = 609
)

// Backend server and store events.
const (
	BackendFound Number = 705
	// DomainEvacuated: an operator ordered that the backend servers of a failure domain get
	// no new requests; DomainRestored: the order was withdrawn.
	DomainEvacuated Number = 706
	DomainRestored  Number = 707
	// BackendCold: a backend server that was warm reports that it can handle only few
	// requests for now.
	BackendCold Number = 708
	// BackendLimited: a backend server set or changed its limit of requests per second;
	// BackendUnlimited: the limit no longer applies.
	BackendLimited   Number = 719
	BackendUnlimited Number = 720
	// LimitRecorded: an announced rate, or its end, was stored for the other routers;
	// LimitNotRecorded: it could not be stored yet.
	LimitRecorded    Number = 721
	LimitNotRecorded Number = 722
	BackendLeaving   Number = 702
	EntryRejected    Number = 703
	StoreUnreachable Number = 710
	StoreReachable   Number = 711
	LeaseLost        Number = 712
	// CrashesRecorded: the requests that may have crashed backend servers were stored for the
	// other routers; CrashesNotRecorded: they could not be stored yet.
	CrashesRecorded    Number = 723
	CrashesNotRecorded Number = 724
	// PathLost: a backend server answers other routers but not this one, which reaches it through
	// them; PathRestored: it answers this router again.
	PathLost     Number = 725
	PathRestored Number = 726
	// VersionsAdmitted: the versions of a service's servers at which streams may begin have changed;
	// VersionsNotRecorded: a change could not be stored yet.
	VersionsAdmitted    Number = 727
	VersionsNotRecorded Number = 728
	// ServiceFragile: the servers of a service announce how many requests they can reject without
	// falling over, or another number than before; ServiceSound: they no longer do.
	ServiceFragile Number = 729
	ServiceSound   Number = 730
	// AdmissionChanged: this router, which grants the permits for a fragile server, admits more or fewer
	// requests in progress to it than before.
	AdmissionChanged Number = 731
	// StoreLostWrites: the store was restored from a copy and has lost writes that it had acknowledged.
	StoreLostWrites Number = 732
	// MissingUnused: the servers of a service whose entries are missing after a store outage get no new
	// requests, since most others have entries; or they get requests again.
	MissingUnused Number = 737
	// GraceChanged: missing entries are kept for a while after an outage of the store, or that time
	// has changed.
	GraceChanged Number = 738
	// GraceRefuted: that time has ended early, since the store answered another router all through the outage.
	GraceRefuted Number = 739
	// FallbackChanged: data comes from routers of any failure domain while the store does not answer; or no longer.
	FallbackChanged Number = 740
	Bootstrapped    Number = 714
	SourceChanged   Number = 715
	StoreCalls      Number = 716
	// BackendMissing: the entry of a backend server is missing after a store outage.
	BackendMissing Number = 717
	// DataStale: data read from the store, directly or through another router, was not
	// confirmed in time.
	DataStale Number = 718
)

// InvariantBroken: a condition that must always hold does not hold.
const InvariantBroken Number = 900

// Catalogue lists all kinds of events, in the order of docs/EVENTS.md.
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
	{ResponseAborted, slog.LevelWarn, "answer cut off"},
	{RequestQuarantined, slog.LevelWarn, "requests held back: they crash the backend servers that run them"},
	{ClaimLeftOpen, slog.LevelWarn, "claim of an idempotency key left open"},
	{QuarantineEnded, slog.LevelInfo, "requests no longer held back"},
	{StreamResumed, slog.LevelInfo, "stream to be resumed"},
	{ClaimsRestored, slog.LevelInfo, "claims of idempotency keys written again"},
	{AdmissionLimited, slog.LevelWarn, "capacity of a service is short, requests are admitted by urgency"},
	{AdmissionUnlimited, slog.LevelInfo, "capacity of a service suffices, all requests are admitted"},
	{AdmissionState, slog.LevelInfo, "capacity of a service is still short"},
	{CallerStalled, slog.LevelInfo, "caller that read nothing disconnected"},
	{DrawCommitted, slog.LevelDebug, "draw landed"},
	{DrawFailed, slog.LevelWarn, "draw failed"},
	{DrawOutcomeUnknown, slog.LevelWarn, "outcome of a draw unknown, the record is read again"},
	{GrantsReturned, slog.LevelInfo, "grants returned"},
	{TokensBorrowed, slog.LevelInfo, "tokens borrowed from other routers"},
	{TokensHandedOver, slog.LevelInfo, "tokens handed over to another router"},
	{LoanShortfall, slog.LevelDebug, "loan smaller than asked for"},
	{GrantClosed, slog.LevelInfo, "grant of a dead router closed"},
	{BudgetShortage, slog.LevelInfo, "budget has no more to give"},
	{TokensGathered, slog.LevelInfo, "tokens gathered from another router"},
	{RationingChanged, slog.LevelInfo, "rationing of a low budget changed"},
	{GrantsRestored, slog.LevelWarn, "grants that the store had lost written again"},
	{RecordNotTold, slog.LevelInfo, "router not told of written budget records"},
	{ConfigApplied, slog.LevelInfo, "configuration in force"},
	{ConfigRejected, slog.LevelWarn, "configuration change rejected"},
	{SettingsReloaded, slog.LevelInfo, "settings reloaded"},
	{SettingsRejected, slog.LevelError, "changed settings rejected, the old ones stay in force"},
	{PeerJoined, slog.LevelInfo, "peer joined"},
	{PeerLeft, slog.LevelInfo, "peer left"},
	{RouterOverloaded, slog.LevelWarn, "router overloaded by bytes of callers"},
	{OverloadEnded, slog.LevelInfo, "router no longer overloaded"},
	{ClientsEnded, slog.LevelWarn, "connections of clients ended"},
	{OverloadReadiness, slog.LevelInfo, "readiness of an overloaded router changed"},
	{BackendFound, slog.LevelInfo, "backend server found"},
	{DomainEvacuated, slog.LevelWarn, "failure domain evacuated"},
	{DomainRestored, slog.LevelInfo, "failure domain restored"},
	{BackendCold, slog.LevelInfo, "backend server cold"},
	{BackendLeaving, slog.LevelInfo, "backend server leaving"},
	{EntryRejected, slog.LevelWarn, "entry of the store rejected"},
	{StoreUnreachable, slog.LevelWarn, "store unreachable"},
	{StoreReachable, slog.LevelInfo, "store reachable"},
	{LeaseLost, slog.LevelWarn, "lease of this router's entry lost"},
	{Bootstrapped, slog.LevelInfo, "started on another router's knowledge"},
	{SourceChanged, slog.LevelInfo, "source of knowledge changed"},
	{StoreCalls, slog.LevelInfo, "calls to the store"},
	{BackendMissing, slog.LevelInfo, "entry of a backend server missing after an outage"},
	{DataStale, slog.LevelInfo, "knowledge is old, the store is asked beside the call under way"},
	{BackendLimited, slog.LevelWarn, "backend server limits its requests"},
	{BackendUnlimited, slog.LevelInfo, "backend server limits its requests no more"},
	{LimitRecorded, slog.LevelInfo, "rate that backend servers announce recorded"},
	{LimitNotRecorded, slog.LevelWarn, "rate that backend servers announce not recorded"},
	{CrashesRecorded, slog.LevelInfo, "requests that broke backend servers recorded"},
	{CrashesNotRecorded, slog.LevelWarn, "requests that broke backend servers not recorded"},
	{PathLost, slog.LevelWarn, "path to a backend server lost"},
	{PathRestored, slog.LevelInfo, "path to a backend server restored"},
	{VersionsAdmitted, slog.LevelInfo, "admitted versions of backend servers changed"},
	{VersionsNotRecorded, slog.LevelWarn, "admitted versions of backend servers not recorded"},
	{ServiceFragile, slog.LevelWarn, "backend servers of a service are fragile"},
	{ServiceSound, slog.LevelInfo, "backend servers of a service are fragile no more"},
	{AdmissionChanged, slog.LevelInfo, "requests admitted to a fragile backend server changed"},
	{StoreLostWrites, slog.LevelWarn, "store has lost writes"},
	{MissingUnused, slog.LevelInfo, "use of missing backend servers changed"},
	{GraceChanged, slog.LevelInfo, "time for missing entries to return"},
	{GraceRefuted, slog.LevelInfo, "missing entries were removed"},
	{FallbackChanged, slog.LevelInfo, "data comes from routers of any failure domain"},
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
