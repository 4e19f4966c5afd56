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

// Paths of the callers' interface.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathEntry    = "/v1/entry"
	pathServices = "/v1/services/"
	pathReady    = "/ready"
)

// Headers of callers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "X-Idempotent" // "false": this call must not be repeated
)

// CallerHandler makes the callers' listener. Claims of idempotency keys are kept in s.
func CallerHandler(s store.Store, log *event.Log) func(callers.Router) http.Handler {
	guard := &idempotency.Guard{Store: s, Prefix: claimsPrefix, Log: log}
	return func(router callers.Router) http.Handler {
		router.Serve = guard.Wrap(router.Serve)
		dialect := callers.Protocol{
			Decode:          decode,
			RequestIDHeader: HeaderRequestID,
			StrippedHeaders: map[string]bool{HeaderLoad: true, HeaderOutput: true},
			RefusalBody:     refusalBody,
		}
		mux := http.NewServeMux()
		mux.Handle("/", callers.NewHandler(dialect, router))
		mux.HandleFunc("GET "+pathModels, func(w http.ResponseWriter, hr *http.Request) { models(w, hr, router.Policy()) })
		mux.Handle("GET "+pathEntry, DirectoryHandler(router.Resolve, router.EntryTTL))
		return mux
	}
}

// DirectoryHandler tells callers which routers to use and how long they may keep that.
func DirectoryHandler(resolve func(domain, caller string) []string, ttl time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		addresses := resolve(hr.URL.Query().Get("failure_domain"), callers.ClientIP(hr))
		if len(addresses) == 0 {
			writeRefusal(w, http.StatusServiceUnavailable, forward.Refusal{Cause: forward.RouterStopping})
			return
		}
		writeJSON(w, struct {
			Addresses []string `json:"addresses"` // "IP:port", the best first
			TTLMS     int64    `json:"ttl_ms"`
		}{addresses, ttl.Milliseconds()})
	})
}

// ReadyHandler answers whether callers should come.
func ReadyHandler(ready func() bool) http.Handler {
	return callers.ReadyHandler(pathReady, ready)
}

// models lists the models that the caller's contract allows, in OpenAI's shape.
func models(w http.ResponseWriter, hr *http.Request, p *policy.Policy) {
	account, refusal := authenticate(hr, p)
	if refusal != nil {
		writeRefusal(w, callers.StatusCode(refusal.Cause), *refusal)
		return
	}
	type entry struct {
		ID      id.Model `json:"id"`
		Object  string   `json:"object"`
		OwnedBy string   `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range account.Contract.Models {
		if _, known := p.Catalogue.Models[name]; known {
			list.Data = append(list.Data, entry{ID: name, Object: "model", OwnedBy: "chicorytiller"})
		}
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that has left asks again
}
