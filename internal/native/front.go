package native

import (
	"encoding/json"
	"net/http"
	"time"

	"chicorytiller.example/chicorytiller/internal/callers"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/idempotency"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Paths of the API.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathEntry    = "/v1/entry"
	pathServices = "/v1/services/"
	pathReady    = "/ready"
)

// Request headers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "X-Idempotent" // "false": the call must run at most once
)

// CallerHandler returns a function that creates the handler for callers. Claims of idempotency
// keys are stored in s.
func CallerHandler(s store.Store, log *event.Log) func(callers.Router) http.Handler {
	guard := &idempotency.Guard{Store: s, Prefix: claimsPrefix, Log: log}
	return func(router callers.Router) http.Handler {
		router.Serve = guard.Wrap(router.Serve)
		router.OnNewEra(guard.ObserveEra)
		protocol := callers.Protocol{
			Decode:          decode,
			DecodeHead:      decodeHead,
			RequestIDHeader: HeaderRequestID,
			StrippedHeaders: map[string]bool{HeaderLoad: true, HeaderOutput: true},
			RefusalBody:     refusalBody,
		}
		mux := http.NewServeMux()
		mux.Handle("/", callers.NewHandler(protocol, router))
		mux.HandleFunc("GET "+pathModels, func(w http.ResponseWriter, req *http.Request) { serveModels(w, req, router.Policy()) })
		mux.Handle("GET "+pathEntry, DirectoryHandler(router.Resolve, router.EntryTTL))
		return mux
	}
}

// DirectoryHandler answers with the addresses of the routers that the caller should use and how
// long it may cache them.
func DirectoryHandler(resolve func(domain, caller string) []string, ttl time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		addresses := resolve(req.URL.Query().Get("failure_domain"), callers.ClientIP(req))
		if len(addresses) == 0 {
			writeRefusal(w, http.StatusServiceUnavailable, forward.Refusal{Cause: forward.RouterStopping})
			return
		}
		writeJSON(w, struct {
			Addresses []string `json:"addresses"` // "IP:port", best first
			TTLMS     int64    `json:"ttl_ms"`
		}{addresses, ttl.Milliseconds()})
	})
}

// ReadyHandler answers readiness probes.
func ReadyHandler(ready func() bool) http.Handler {
	return callers.ReadyHandler(pathReady, ready)
}

// serveModels lists the models that the caller's contract allows, in the format of the OpenAI API.
func serveModels(w http.ResponseWriter, req *http.Request, p *policy.Policy) {
	account, refusal := authenticate(req, p)
	if refusal != nil {
		writeRefusal(w, callers.StatusCode(refusal.Cause), *refusal)
		return
	}
	type model struct {
		ID      id.Model `json:"id"`
		Object  string   `json:"object"`
		OwnedBy string   `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range account.Contract.Models {
		if _, known := p.Catalogue.Models[name]; known {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "chicorytiller"})
		}
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
