package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// HeaderNames are the header fields of one dialect of backend servers.
type HeaderNames struct {
	RequestID    string // both ways: which request a message belongs to
	ServerID     string // the server that the request is meant for; another one rejects it
	TimeLeft     string // how long the answer is waited for, in ms
	LastEventID  string // the last event of the stream that the caller has
	Account      string // who pays
	Priority     string // 0 to 9, 0 is first
	NotExecuted  string // of an answer: the server did not run the request
	Load         string // of an answer: running, waiting and most running requests
	Cold         string // of an answer: how much longer the server is cold, in ms; empty: never told
	RateLimit    string // of an answer: requests a second that the server takes from all routers; empty: never told
	OutputTokens string // of a whole answer: its output tokens; empty: never told
}

// HeaderCodec is a Codec for dialects that differ in their header names only.
type HeaderCodec struct {
	Names HeaderNames
}

var _ Codec = HeaderCodec{}

// mostUrgent and leastUrgent bound what servers take as a rank.
const (
	mostUrgent  = 0
	leastUrgent = 9
)

// AppendHead implements Codec.
func (c HeaderCodec) AppendHead(buf []byte, a *Attempt) []byte {
	r := a.Request
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.RequestURI...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = appendField(buf, "Host", r.Host)
	for _, f := range r.Headers {
		buf = appendField(buf, f.Name, f.Value)
	}
	buf = appendField(buf, c.Names.RequestID, r.ID)
	buf = appendField(buf, c.Names.ServerID, a.Server.ID)
	if a.Timeout > 0 {
		buf = appendField(buf, c.Names.TimeLeft, strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10))
	}
	if a.Resume {
		buf = appendField(buf, c.Names.LastEventID, strconv.FormatInt(a.ResumeAfter, 10))
	}
	if r.Account != nil {
		buf = appendField(buf, c.Names.Account, r.Account.Name)
	}
	if r.HasTokenUsage {
		buf = appendField(buf, c.Names.Priority, strconv.Itoa(min(max(r.Priority(), mostUrgent), leastUrgent)))
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buf = appendField(buf, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(buf, "\r\n"...)
}

func appendField(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

// ParseMeta implements Codec.
func (c HeaderCodec) ParseMeta(_ int, header http.Header) Meta {
	meta := Meta{
		RequestID:   header.Get(c.Names.RequestID),
		NotExecuted: header.Get(c.Names.NotExecuted) != "",
		KeepAlive:   keepAlive(header.Get("Keep-Alive")),
	}
	meta.Load, meta.HasLoad = parseLoad(header.Get(c.Names.Load))
	if c.Names.Cold != "" {
		meta.ColdFor = parseCold(header.Get(c.Names.Cold))
	}
	if c.Names.RateLimit != "" {
		meta.RateLimit = parseRateLimit(header.Values(c.Names.RateLimit))
	}
	if c.Names.OutputTokens != "" {
		meta.OutputTokens = outputOf(header.Get(c.Names.OutputTokens))
	}
	return meta
}

// outputOf reads the output tokens of a whole answer.
func outputOf(value string) int {
	numbers, ok := ParseNumbers(value, 1)
	if !ok {
		return OutputUnknown
	}
	return numbers[0]
}

// coldLongest bounds what a header can say.
const coldLongest = time.Hour

// parseCold reads a time in ms; zero if it is none.
func parseCold(value string) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(coldLongest.Milliseconds())) * float64(time.Millisecond))
}

// parseRateLimit reads the values of a header with a decimal number. Of several the lowest
// counts.
func parseRateLimit(values []string) fleet.RateLimit {
	limit := fleet.RateLimit{}
	for _, value := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
			return fleet.RateLimit{State: fleet.LimitInvalid}
		}
		if limit.State == fleet.LimitAbsent || perSecond < limit.PerSecond {
			limit = fleet.RateLimit{State: fleet.LimitPresent, PerSecond: perSecond}
		}
	}
	return limit
}

// parseLoad reads "running,waiting,slots".
func parseLoad(value string) (fleet.Load, bool) {
	numbers, ok := ParseNumbers(value, 3)
	if !ok {
		return fleet.Load{}, false
	}
	return fleet.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// ParseNumbers reads exactly n comma-separated numbers that are not negative.
func ParseNumbers(value string, n int) ([]int, bool) {
	fields := strings.Split(value, ",")
	if len(fields) != n {
		return nil, false
	}
	numbers := make([]int, n)
	for i, field := range fields {
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || number < 0 {
			return nil, false
		}
		numbers[i] = number
	}
	return numbers, true
}

// keepAlive reads the timeout of a Keep-Alive header; 0 if it has none.
func keepAlive(value string) time.Duration {
	for _, parameter := range strings.Split(value, ",") {
		name, seconds, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
