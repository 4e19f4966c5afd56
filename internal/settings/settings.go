// Package settings reads the INI file of chicory-router and checks it whole, so
// that a router either starts with settings that make sense or says in one line
// for each fault what would be right. Durations are written as Go durations
// ("500ms", "2m"). Secrets stay in files of their own and are never printed.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Router holds all settings of chicory-router. Keys describes each of them.
type Router struct {
	Router    Identity
	Callers   Callers
	Operators Operators
	Peers     Peers
	Platform  Platform
	Budgets   Budgets
	Backends  Backends
	Drain     Drain
	Log       Log
}

// Identity is the section [router]: which router this is.
type Identity struct {
	VM            id.VM
	FailureDomain id.FailureDomain
	Region        string // empty where there is one region only
	AdvertiseIP   netip.Addr
}

// TLS names the PEM files of a listener; both are empty or both are set.
type TLS struct {
	Certificate string
	Key         string
}

// Callers is the section [callers]: the listener of the callers.
type Callers struct {
	Listen         netip.AddrPort
	TLS            TLS
	BodyLimitBytes int           // of a request's body
	Deadline       time.Duration // longest of any request, whatever its contract says
	DoubtWait      time.Duration // after a router's loss, of keyed requests that it might know of
	EntryTTL       time.Duration // for which callers may keep an answer of /v1/entry
	ReadTimeout    time.Duration // for a whole request to arrive
	WriteTimeout   time.Duration // for a write to a slow reader
}

// Operators is the section [operators]: the listener of the operators.
type Operators struct {
	Listen           netip.AddrPort
	TLS              TLS
	CredentialSHA256 []string // lower-case hex
}

// Peers is the section [peers]: the calls between routers.
type Peers struct {
	Listen        netip.AddrPort
	SharedKeyFile string
	TLS           TLS
	TLSCA         string // PEM file of the authority that signs the peers' certificates
	Seeds         []netip.AddrPort
	Heartbeat     time.Duration // between a router's rounds of heartbeats
	SuspectAfter  time.Duration // without a heartbeat of a peer, direct or relayed
	SettleAfter   time.Duration // of silence, to its witness too, until a router's grants are settled
}

// Platform is the section [platform]: the key-value service and the VM list.
type Platform struct {
	KVEndpoint   string // URL
	VMListURL    string
	Timeout      time.Duration // of one call
	BudgetShards int           // keys over which budgets are spread; the same in all routers
}

// Budgets is the section [budgets]: how a router draws on budgets.
type Budgets struct {
	Horizon    time.Duration // of recent use that a grant should last for
	MinGrant   id.Tokens
	MaxGrant   id.Tokens
	IdleReturn time.Duration // after which an unused grant is returned
	Checkpoint time.Duration // between reports of what was spent
}

// Backends is the section [backends]: the calls of backend servers.
type Backends struct {
	LoadPoll       time.Duration // between load reports that are asked of one backend server
	ConnectTimeout time.Duration
	MaxAttempts    int // dispatches of one request, the first included
}

// Drain is the section [drain]: the planned stop.
type Drain struct {
	Timeout time.Duration // for streams to end
	Linger  time.Duration // for which callers with an old answer of /v1/entry are served
}

// Log is the section [log].
type Log struct {
	Level slog.Level
	File  string // empty: standard error
}
