package native

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Headers between routers and backend servers, beside those of HTTP and OpenAI.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderBackend     = "X-Chicory-Backend"   // the server that is meant; another one answers 421
	HeaderTimeLeft    = "X-Chicory-Time-Left" // ms
	HeaderAccount     = "X-Chicory-Account"
	HeaderUrgency     = "X-Chicory-Urgency"      // 0 is first
	HeaderNotExecuted = "X-Chicory-Not-Executed" // of an answer: the request did not run
	HeaderLoad        = "X-Chicory-Load"         // of an answer: running,waiting,slots
	HeaderRateLimit   = "X-Chicory-Rate-Limit"   // of an answer: requests a second that the server takes from all routers
	HeaderOutput      = "X-Chicory-Output"       // of a whole answer: its output tokens
	HeaderLastEvent   = "Last-Event-Id"
)

// Codec is the backend servers' dialect.
var Codec = upstream.HeaderCodec{Names: upstream.HeaderNames{
	RequestID: HeaderRequestID, ServerID: HeaderBackend, TimeLeft: HeaderTimeLeft, LastEventID: HeaderLastEvent,
	Account: HeaderAccount, Priority: HeaderUrgency, NotExecuted: HeaderNotExecuted, Load: HeaderLoad, OutputTokens: HeaderOutput,
	RateLimit: HeaderRateLimit,
}}

// Patience with engines, from which the watchdog's is derived.
const (
	// firstTokenGoal is a usual time to the first token under load.
	firstTokenGoal = 2 * time.Second
	// gapGoal is a usual longest pause between tokens: a preempted request waits.
	gapGoal = time.Second
	// wholeGoal is a usual time of a whole answer of some thousand tokens.
	wholeGoal = 30 * time.Second
)

// BackendEntry is the stored form of a backend server for one service.
type BackendEntry struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// Encode gives the stored form.
func (e BackendEntry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings always encode
	}
	return data
}

// BackendEntries makes the entries of a backend server, by their keys: one for each model
// of an engine, one for an instance of a service.
func BackendEntries(b contract.BackendServer) map[string][]byte {
	services := make([]string, 0, len(b.Models)+1)
	for _, model := range b.Models {
		services = append(services, modelService(model))
	}
	if b.Kind == contract.KindService {
		services = append(services, plainService(b.Service))
	}
	entries := make(map[string][]byte, len(services))
	for _, service := range services {
		entry := BackendEntry{ID: string(b.ID), Service: service, Address: b.Address, FailureDomain: string(b.FailureDomain), Leaving: b.Leaving}
		entries[BackendsPrefix+entry.ID+"/"+service] = entry.Encode()
	}
	return entries
}

// ParseBackendEntry reads a stored entry.
func ParseBackendEntry(item store.Item) (BackendEntry, error) {
	e := BackendEntry{}
	if err := json.Unmarshal(item.Value, &e); err != nil {
		return BackendEntry{}, errors.Wrapf(ErrInvalidDocument, "%s: %v", item.Key, err)
	}
	if e.ID == "" || e.Service == "" || e.Address == "" {
		return BackendEntry{}, errors.Wrapf(ErrInvalidDocument, "%s: no id, service or address", item.Key)
	}
	return e, nil
}

// DecodeServer makes a registry's entry of a stored one.
func DecodeServer(item store.Item) (fleet.Entry, error) {
	e, err := ParseBackendEntry(item)
	if err != nil {
		return fleet.Entry{}, err
	}
	return fleet.Entry{ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.FailureDomain, Draining: e.Leaving}, nil
}
