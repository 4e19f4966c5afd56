package load

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// EntryAnswer is a router's answer to GET /v1/entry.
type EntryAnswer struct {
	Addresses []string // "IP:port", in the order of preference
	TTL       time.Duration
}

// FetchEntry asks one router for its entry answer.
type FetchEntry func(router string) (EntryAnswer, error)

// Directory keeps one client account's entry answer for its time to live.
// It is safe for concurrent use.
type Directory struct {
	routers []string
	fetch   FetchEntry
	now     func() time.Time

	mu      sync.Mutex
	next    int // the router to ask next
	known   []string
	failed  map[string]bool // of known, since the answer came
	expires time.Time
}

// NewDirectory makes a directory that asks the given routers in turn.
func NewDirectory(routers []string, fetch FetchEntry, now func() time.Time) *Directory {
	return &Directory{routers: routers, fetch: fetch, now: now}
}

// Addresses gives the addresses to connect to. It asks a router only when no
// answer is kept or the kept one is past its time to live. When no router
// answers, an expired answer is used further: a caller has nothing better.
func (d *Directory) Addresses() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.known) > 0 && d.now().Before(d.expires) {
		return d.known, nil
	}
	var last error
	for range d.routers {
		router := d.routers[d.next%len(d.routers)]
		d.next++
		answer, err := d.fetch(router)
		if err != nil {
			last = err
			continue
		}
		d.known = answer.Addresses
		d.failed = map[string]bool{}
		d.expires = d.now().Add(answer.TTL)
		return d.known, nil
	}
	if len(d.known) > 0 {
		return d.known, nil
	}
	return nil, errors.Wrap(last, "load: no router gave an entry answer")
}

// MarkFailed notes that an address doesn't serve. It goes to the end of the kept
// answer. Once each address has failed the answer is asked anew: all its routers
// may have been replaced.
func (d *Directory) MarkFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := slices.Index(d.known, address)
	if at < 0 {
		return
	}
	// A new slice, as callers may hold the old one.
	d.known = append(slices.Delete(slices.Clone(d.known), at, at+1), address)
	d.failed[address] = true
	if len(d.failed) == len(d.known) {
		d.expires = time.Time{}
	}
}

// parseEntry reads {"addresses": [...], "ttl_ms": N}. An address is a string or
// an object with "address".
func parseEntry(body []byte) (EntryAnswer, error) {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return EntryAnswer{}, errors.Wrap(ErrInvalidEntry, err.Error())
	}
	answer := EntryAnswer{TTL: time.Duration(value.GetInt64("ttl_ms")) * time.Millisecond}
	for _, element := range value.GetArray("addresses") {
		address := element.GetStringBytes()
		if element.Type() == fastjson.TypeObject {
			address = element.GetStringBytes("address")
		}
		if len(address) > 0 {
			answer.Addresses = append(answer.Addresses, string(address))
		}
	}
	if len(answer.Addresses) == 0 {
		return EntryAnswer{}, errors.Wrap(ErrInvalidEntry, "it names no address")
	}
	return answer, nil
}
