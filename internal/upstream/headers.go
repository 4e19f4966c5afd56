package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// HeaderNames are the names of the headers in one dialect of backend servers. Cold, RateLimit, Fragile,
// Leaving and OutputTokens are empty if the dialect has no such header.
type HeaderNames struct {
	RequestID    string // of requests and responses: the ID of the request
	ServerID     string // of requests: ID of the intended server; another one rejects the request
	TimeLeft     string // of requests: how long the router waits for the response, in ms
	LastEventID  string // of requests: the last event of the stream that the caller has
	Account      string // of requests: the client account that pays
	Priority     string // of requests: 0 (highest) to 9
	NotExecuted  string // of responses: the server did not run the request
	Load         string // of responses: numbers of running and waiting requests and of slots, and the pace
	Cold         string // of responses: how much longer the server will be cold, in ms
	RateLimit    string // of responses: requests per second that the server accepts from all routers together
	Fragile      string // of responses: requests per second that the server can reject without crashing
	Leaving      string // of responses: "1" if the server is about to end and wants no new requests
	Router       string // of requests: the process of the router that sends it; empty if the dialect has no such header
	OutputTokens string // of responses that are not streams: the number of output tokens
}

// HeaderCodec is a Codec for dialects that differ only in their header names.
type HeaderCodec struct {
	Names HeaderNames
}

var _ Codec = HeaderCodec{}

// Priorities that backend servers accept.
const (
	highestPriority = 0
	lowestPriority  = 9
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
	if c.Names.Router != "" {
		buf = appendField(buf, c.Names.Router, a.Router)
	}
	if r.Account != nil {
		buf = appendField(buf, c.Names.Account, r.Account.Name)
	}
	if r.HasTokenUsage {
		buf = appendField(buf, c.Names.Priority, strconv.Itoa(min(max(r.Priority(), highestPriority), lowestPriority)))
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
func (c HeaderCodec) ParseMeta(status int, header http.Header) Meta {
	meta := Meta{
		RequestID:   header.Get(c.Names.RequestID),
		NotExecuted: header.Get(c.Names.NotExecuted) != "",
		KeepAlive:   parseKeepAlive(header.Get("Keep-Alive")),
	}
	meta.Load, meta.HasLoad, meta.LoadFault = parseLoad(header.Get(c.Names.Load))
	if c.Names.Cold != "" {
		meta.ColdFor = parseColdTime(header.Get(c.Names.Cold))
	}
	if c.Names.RateLimit != "" {
		meta.RateLimit = parseRate(header.Values(c.Names.RateLimit))
	}
	if c.Names.Fragile != "" {
		meta.Fragile = parseRate(header.Values(c.Names.Fragile))
	}
	if c.Names.Leaving != "" {
		meta.Leaving = strings.TrimSpace(header.Get(c.Names.Leaving)) == "1"
	}
	if status == http.StatusServiceUnavailable {
		meta.RetryAfter = parseRetryAfter(header.Values("Retry-After"))
	}
	if c.Names.OutputTokens != "" {
		meta.OutputTokens = parseOutputTokens(header.Get(c.Names.OutputTokens))
	}
	return meta
}

// parseOutputTokens returns OutputUnknown if the value is not a number.
func parseOutputTokens(value string) int {
	numbers, ok := ParseNumbers(value, 1)
	if !ok {
		return OutputUnknown
	}
	return numbers[0]
}

// maxColdTime bounds the cold time that a server can report.
const maxColdTime = time.Hour

// parseColdTime parses a number of milliseconds. It returns zero if the value is not a positive
// number.
func parseColdTime(value string) time.Duration {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxColdTime.Milliseconds())) * float64(time.Millisecond))
}

// maxRetryAfter bounds the time that a server can state after a rejection.
const maxRetryAfter = time.Hour

// parseRetryAfter parses header values that are decimal numbers of seconds; the highest applies. Dates and
// other values are ignored: a server's clock may differ from this VM's.
func parseRetryAfter(values []string) time.Duration {
	wait := time.Duration(0)
	for _, value := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && seconds > 0 && !math.IsInf(seconds, 1) {
			wait = max(wait, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
		}
	}
	return wait
}

// parseRate parses header values that are decimal numbers. The lowest of several values applies.
func parseRate(values []string) fleet.AnnouncedRate {
	rate := fleet.AnnouncedRate{}
	for _, value := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
			return fleet.AnnouncedRate{State: fleet.RateInvalid}
		}
		if rate.State == fleet.RateAbsent || perSecond < rate.PerSecond {
			rate = fleet.AnnouncedRate{State: fleet.RatePresent, PerSecond: perSecond}
		}
	}
	return rate
}

// LoadFault names what is wrong with a load report.
type LoadFault string

const (
	// LoadUnreadable: the report has fewer than three valid figures and is dropped.
	LoadUnreadable LoadFault = "unreadable"
	// LoadPaceInvalid: the pace is ignored.
	LoadPaceInvalid LoadFault = "pace"
	// LoadTooLong: figures after the fourth are ignored.
	LoadTooLong LoadFault = "too_long"
)

// maxPace is the highest pace in percent that is taken for one. Servers that share their machines take a few
// times the normal time; a thousand times is an error in the report.
const maxPace = 100_000

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,pace". fault is empty for a valid report
// and if there is none.
func parseLoad(value string) (load fleet.Load, ok bool, fault LoadFault) {
	if strings.TrimSpace(value) == "" {
		return fleet.Load{}, false, ""
	}
	counts, rest := value, []string(nil)
	if fields := strings.SplitN(value, ",", 6); len(fields) > 3 {
		counts, rest = strings.Join(fields[:3], ","), fields[3:]
	}
	numbers, ok := ParseNumbers(counts, 3)
	if !ok {
		return fleet.Load{}, false, LoadUnreadable
	}
	load = fleet.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(rest) > 1 {
		fault = LoadTooLong
	}
	if len(rest) > 0 {
		pace, err := strconv.ParseFloat(strings.TrimSpace(rest[0]), 64)
		if err != nil || !(pace > 0 && pace <= maxPace) {
			return load, true, LoadPaceInvalid
		}
		load.Pace = pace
	}
	return load, true, fault
}

// ParseNumbers parses exactly n comma-separated non-negative integers.
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

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, or zero if it has none.
func parseKeepAlive(value string) time.Duration {
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
