// Package callers serves callers over HTTP. It reads the complete request, lets a Protocol
// decode it, and writes the answer so that an incomplete one is never taken for complete.
package callers

import (
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/inbound"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Router holds the functions and settings of a router that the HTTP handlers use.
type Router struct {
	Serve forward.ServeFunc
	// Refuse answers a request with a refusal, without serving it.
	Refuse func(r *request.Request, caller forward.Caller, refusal forward.Refusal)
	// CheckHead refuses a request of which nothing but the head is known; nil: it may be served. The request has
	// what Protocol.DecodeHead sets. CheckHead itself may be nil: then nothing is refused before its body.
	CheckHead    func(r *request.Request) *forward.Refusal
	MaxBodyBytes func() int64 // 0 means no limit
	// ShuttingDown reports whether the process is shutting down, so that callers should not
	// reuse the connection.
	ShuttingDown func() bool
	Policy       func() *policy.Policy // the result is nil until a configuration is known
	// Resolve returns the addresses of the routers that a caller in a failure domain should
	// use. caller is a string that differs between callers, such as an IP address.
	Resolve func(domain, caller string) []string
	// EntryTTL is how long callers may cache the result of Resolve.
	EntryTTL time.Duration
	// BodyTime returns how long the body of a request may take to arrive whose caller waits for timeLeft; 0:
	// no limit. Nil: never a limit.
	BodyTime func(timeLeft time.Duration) time.Duration
	// OnNewEra registers a function that is called when the store has lost writes.
	OnNewEra func(observe func(store.Era))
}

// Protocol defines the requests and answers of one API for callers.
type Protocol struct {
	// Decode converts an HTTP request and its body. The returned request has at least its ID,
	// even if there is a refusal.
	Decode func(req *http.Request, body []byte, arrived time.Time, p *policy.Policy) (*request.Request, *forward.Refusal)
	// DecodeHead converts what the head of a request tells of its route and its account: what it leaves empty
	// isn't checked before the body. Nil: nothing is.
	DecodeHead func(req *http.Request) *request.Request
	// TimeLeft returns how long the caller of a request still waits, 0 if it does not say. Nil: it never says.
	TimeLeft func(header http.Header) time.Duration
	// RequestIDHeader is the answer's header for the request ID.
	RequestIDHeader string
	// StrippedHeaders are headers of backend servers' answers that callers don't get, in
	// addition to hop-by-hop headers.
	StrippedHeaders map[string]bool
	// RefusalBody returns the JSON body of a refusal.
	RefusalBody func(refusal forward.Refusal, r *request.Request) []byte
}

// NewHandler returns a handler that serves callers with the protocol p.
func NewHandler(p Protocol, router Router) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived := time.Now()
		caller := &httpCaller{w: w, protocol: p, isHead: req.Method == http.MethodHead}
		if router.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		headRefusal := refuseHead(p, router, req)
		body, err := readBodyInTime(w, req, bodyLimit(router, headRefusal), bodyTime(p, router, req))
		bodyRefusal, disconnected := refuseBody(req, err)
		interrupted := inbound.FromContext(req.Context()).Interrupted()
		switch {
		case interrupted:
			w.Header().Set("Connection", "close")
		case bodyRefusal != nil:
			inbound.RejectBody(w, req) // the rest of the body may still come
		}
		r, refusal := p.Decode(req, body, arrived, router.Policy())
		caller.request = r
		w.Header().Set(p.RequestIDHeader, r.ID)
		switch {
		case disconnected:
			caller.Abort()
		case headRefusal != nil:
			router.Refuse(r, caller, *headRefusal)
		case bodyRefusal != nil:
			router.Refuse(r, caller, *bodyRefusal)
		case refusal != nil:
			router.Refuse(r, caller, *refusal)
		default:
			router.Serve(req.Context(), r, caller)
		}
		if interrupted {
			caller.endConnection()
		}
		caller.finish()
	})
}

// refuseHead returns the refusal of a request that can't be served whatever its body is, and nil for others.
func refuseHead(p Protocol, router Router, req *http.Request) *forward.Refusal {
	if router.CheckHead == nil || p.DecodeHead == nil {
		return nil
	}
	return router.CheckHead(p.DecodeHead(req))
}

// refusedBodyBytes is how much is read of the body of a request that is refused anyway. If that is all of it, the
// connection can be used again.
const refusedBodyBytes = 64 << 10

// bodyLimit returns how much of a body is read; 0: no limit.
func bodyLimit(router Router, refused *forward.Refusal) int64 {
	if refused != nil {
		return refusedBodyBytes
	}
	return router.MaxBodyBytes()
}

// refuseBody returns the refusal of a request whose body was not read whole, for an error of reading it.
func refuseBody(req *http.Request, err error) (refusal *forward.Refusal, disconnected bool) {
	cause := forward.Cause("")
	switch {
	case inbound.FromContext(req.Context()).Interrupted(), errors.Is(err, inbound.ErrNoMemory):
		cause = forward.RouterFull
	case err == nil:
		return nil, false
	case errors.Is(err, inbound.ErrTooLarge):
		cause = forward.BodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		cause = forward.OverdueUnsent
	default:
		return nil, true
	}
	r := forward.NewRefusal(cause)
	return &r, false
}

// readBody reads the whole body. A limit of zero means no limit.
func readBody(req *http.Request, limit int64) ([]byte, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, nil
	}
	return inbound.ReadBody(inbound.FromContext(req.Context()), req.Body, req.ContentLength, limit)
}

// hopByHopHeaders are headers that apply to a single connection or that the router sets
// itself. They are not forwarded in either direction.
var hopByHopHeaders = map[string]bool{
	"Host": true, "Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Proxy-Authorization": true,
}

// ForwardedHeaders returns the headers of a caller that are forwarded to the backend server
// unchanged: all but hop-by-hop headers and those for which strip returns true. Headers listed
// in Connection are hop-by-hop too, unless keep returns true for them.
func ForwardedHeaders(header http.Header, strip func(name string) bool, keep func(name string) bool) []request.HeaderField {
	connectionOptions := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]request.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || strip(name) || connectionOptions[name] && !keep(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, request.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// ClientIP returns the IP address that a request came from.
func ClientIP(req *http.Request) string {
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr // not from a socket; only in tests
	}
	return host
}

// ReadyHandler answers readiness probes at path with status 200 or 503.
func ReadyHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// BearerToken returns the token of an Authorization header, or "" if it has no bearer token.
func BearerToken(authorization string) string {
	scheme, token, found := strings.Cut(authorization, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
