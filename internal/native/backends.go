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

// Headers between routers and backend servers, in addition to those of HTTP and the OpenAI API.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderBackend     = "X-Chicory-Backend"   // ID of the intended server; another one answers 421
	HeaderTimeLeft    = "X-Chicory-Time-Left" // remaining time until the deadline, in ms
	HeaderAccount     = "X-Chicory-Account"
	HeaderUrgency     = "X-Chicory-Urgency"      // 0 is the most urgent
	HeaderNotExecuted = "X-Chicory-Not-Executed" // in answers: the request did not run
	HeaderLoad        = "X-Chicory-Load"         // in answers: running, waiting, slots and, where reported, the pace in percent
	HeaderRateLimit   = "X-Chicory-Rate-Limit"   // in answers: requests per second that the server accepts from all routers together
	HeaderFragile     = "X-Chicory-Fragile"      // in answers: requests per second that the server can reject without crashing
	HeaderLeaving     = "X-Chicory-Leaving"      // in answers: "1" if the server is about to end
	HeaderRouter      = "X-Chicory-Router"       // process of the router that sends the request, as in its log
	HeaderOutput      = "X-Chicory-Output"       // in buffered answers: number of output tokens
	HeaderLastEvent   = "Last-Event-Id"
)

// Codec encodes requests to backend servers and decodes their answers with these headers.
var Codec = upstream.HeaderCodec{Names: upstream.HeaderNames{
	RequestID: HeaderRequestID, ServerID: HeaderBackend, TimeLeft: HeaderTimeLeft, LastEventID: HeaderLastEvent,
	Account: HeaderAccount, Priority: HeaderUrgency, NotExecuted: HeaderNotExecuted, Load: HeaderLoad, OutputTokens: HeaderOutput,
	RateLimit: HeaderRateLimit, Fragile: HeaderFragile, Leaving: HeaderLeaving, Router: HeaderRouter,
}}

// Latency goals of routes to engines. The forwarder's watchdog derives its timeouts from them.
const (
	// firstTokenLatencyGoal is a typical time to first token under load.
	firstTokenLatencyGoal = 2 * time.Second
	// tokenGapGoal is a typical longest pause between tokens, which occurs when an engine
	// preempts a request.
	tokenGapGoal = time.Second
	// answerLatencyGoal is a typical time for a complete answer of a few thousand tokens.
	answerLatencyGoal = 30 * time.Second
)

// BackendEntry is the stored record of a backend server for one service.
type BackendEntry struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
	Version       string `json:"version,omitempty"` // of the server's software
}

// Encode returns the entry as JSON.
func (e BackendEntry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and booleans always encode
	}
	return data
}

// BackendEntries returns the encoded entries of a backend server by store key: one for each
// model of an engine, or one for a service instance.
func BackendEntries(b contract.BackendServer) map[string][]byte {
	services := make([]string, 0, len(b.Models)+1)
	for _, model := range b.Models {
		services = append(services, modelServiceName(model))
	}
	if b.Kind == contract.KindService {
		services = append(services, plainServiceName(b.Service))
	}
	entries := make(map[string][]byte, len(services))
	for _, service := range services {
		entry := BackendEntry{ID: string(b.ID), Service: service, Address: b.Address, FailureDomain: string(b.FailureDomain), Leaving: b.Leaving,
			Version: b.Version}
		entries[BackendsPrefix+entry.ID+"/"+service] = entry.Encode()
	}
	return entries
}

// ParseBackendEntry decodes a stored BackendEntry.
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

// DecodeServer decodes a stored BackendEntry to an entry of the registry.
func DecodeServer(item store.Item) (fleet.Entry, error) {
	e, err := ParseBackendEntry(item)
	if err != nil {
		return fleet.Entry{}, err
	}
	return fleet.Entry{ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.FailureDomain, Draining: e.Leaving, Version: e.Version}, nil
}
