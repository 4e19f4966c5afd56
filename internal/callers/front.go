// Package callers serves callers over HTTP: it reads each request whole, lets a
// dialect decode it, and writes the answer so that a broken one never looks whole.
package callers

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Router is what a front needs of the router that it stands before.
type Router struct {
	Serve forward.ServeFunc
	// Refuse answers a request that is not to be served at all.
	Refuse       func(r *request.Request, caller forward.Caller, refusal forward.Refusal)
	MaxBodyBytes func() int64 // bytes; 0: none
	// ShuttingDown says whether this process stops, so that callers should not use the
	// connection again.
	ShuttingDown func() bool
	Policy       func() *policy.Policy // nil until one is known
	// Resolve names the routers for a caller in a failure domain; caller tells callers
	// apart.
	Resolve func(domain, caller string) []string
	// EntryTTL is how long callers may keep what Resolve said.
	EntryTTL time.Duration
}

// Protocol is what one interface for callers has of its own.
type Protocol struct {
	// Decode makes a request of what a caller sent. If it gives a refusal, the request
	// has its id at least.
	Decode func(hr *http.Request, body []byte, arrived time.Time, p *policy.Policy) (*request.Request, *forward.Refusal)
	// RequestIDHeader is the header of an answer that names the request.
	RequestIDHeader string
	// StrippedHeaders are headers of a server's answer that callers don't get, beside those
	// that concern one connection only.
	StrippedHeaders map[string]bool
	// RefusalBody is the JSON that tells a refusal.
	RefusalBody func(refusal forward.Refusal, r *request.Request) []byte
}

// NewHandler serves callers of a dialect.
func NewHandler(d Protocol, router Router) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		arrived := time.Now()
		answer := &caller{w: w, dialect: d, head: hr.Method == http.MethodHead}
		if router.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		body, err := readBody(w, hr, router.MaxBodyBytes())
		r, refusal := d.Decode(hr, body, arrived, router.Policy())
		answer.request = r
		w.Header().Set(d.RequestIDHeader, r.ID)
		switch {
		case tooLong(err):
			router.Refuse(r, answer, forward.Refusal{Cause: forward.BodyTooLarge})
		case err != nil:
			answer.Abort() // the caller broke off: there is nobody to answer
		case refusal != nil:
			router.Refuse(r, answer, *refusal)
		default:
			router.Serve(hr.Context(), r, answer)
		}
		answer.finish()
	})
}

// readBody reads the whole body; limit is in bytes, zero means none.
func readBody(w http.ResponseWriter, hr *http.Request, limit int64) ([]byte, error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, nil
	}
	source := hr.Body
	if limit > 0 {
		source = http.MaxBytesReader(w, hr.Body, limit)
	}
	if hr.ContentLength > 0 && (limit <= 0 || hr.ContentLength <= limit) {
		body := make([]byte, hr.ContentLength)
		_, err := io.ReadFull(source, body)
		return body, err
	}
	return io.ReadAll(source)
}

// oneConnection are headers that concern one connection only, or that the router
// sets itself: they are never passed on, in either direction.
var oneConnection = map[string]bool{
	"Host": true, "Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Proxy-Authorization": true,
}

// ForwardedHeaders lists the headers that a backend server gets as the caller sent them: all
// but those of one connection and those that withheld says.
func ForwardedHeaders(header http.Header, withheld func(name string) bool, kept func(name string) bool) []request.HeaderField {
	oneHop := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			oneHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]request.HeaderField, 0, len(header))
	for name, values := range header {
		if oneConnection[name] || withheld(name) || oneHop[name] && !kept(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, request.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// ClientIP is the IP number that a request came from.
func ClientIP(hr *http.Request) string {
	host, _, err := net.SplitHostPort(hr.RemoteAddr)
	if err != nil {
		return hr.RemoteAddr // not a socket's: a test's
	}
	return host
}

// ReadyHandler answers the question whether callers should come, at one path.
func ReadyHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// BearerToken returns the API key of an Authorization header, empty if it has none.
func BearerToken(value string) string {
	scheme, key, found := strings.Cut(value, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// tooLong says whether a body was over the limit.
func tooLong(err error) bool {
	over := &http.MaxBytesError{}
	return errors.As(err, &over)
}
