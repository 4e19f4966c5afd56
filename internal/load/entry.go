package load

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// EntryAnswer is a router's answer to GET /v1/entry: the routers to send requests to.
type EntryAnswer struct {
	Addresses []string // "IP:port", in order of preference
	TTL       time.Duration
}

// FetchEntry requests the entry answer from a router.
type FetchEntry func(router string) (EntryAnswer, error)

// Directory caches the entry answer of one client account for its TTL. It is safe for concurrent use.
type Directory struct {
	routers []string
	fetch   FetchEntry
	now     func() time.Time

	mu         sync.Mutex
	nextRouter int // index of the next router to ask; counts up
	addresses  []string
	failed     map[string]bool // those of addresses that failed since the answer arrived
	expires    time.Time
}

// NewDirectory returns a Directory that asks the given routers in turn.
func NewDirectory(routers []string, fetch FetchEntry, now func() time.Time) *Directory {
	return &Directory{routers: routers, fetch: fetch, now: now}
}

// Addresses returns the addresses to connect to. It asks a router only if there is no
// cached answer or its TTL has expired. If no router answers, it returns the expired
// addresses, which may still work.
func (d *Directory) Addresses() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addresses) > 0 && d.now().Before(d.expires) {
		return d.addresses, nil
	}
	var lastErr error
	for range d.routers {
		router := d.routers[d.nextRouter%len(d.routers)]
		d.nextRouter++
		answer, err := d.fetch(router)
		if err != nil {
			lastErr = err
			continue
		}
		d.addresses = answer.Addresses
		d.failed = map[string]bool{}
		d.expires = d.now().Add(answer.TTL)
		return d.addresses, nil
	}
	if len(d.addresses) > 0 {
		return d.addresses, nil
	}
	return nil, errors.Wrap(lastErr, "load: no router returned an entry answer")
}

// MarkFailed records that an address does not serve requests and moves it to the end
// of the list. Once every address has failed, the cached answer expires, since all of
// its routers may have been replaced.
func (d *Directory) MarkFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := slices.Index(d.addresses, address)
	if index < 0 {
		return
	}
	// Clone, since callers may still use the old slice.
	d.addresses = append(slices.Delete(slices.Clone(d.addresses), index, index+1), address)
	d.failed[address] = true
	if len(d.failed) == len(d.addresses) {
		d.expires = time.Time{}
	}
}

// parseEntry parses {"addresses": [...], "ttl_ms": N}. An address is a string or
// an object with the field "address".
func parseEntry(body []byte) (EntryAnswer, error) {
	document, err := fastjson.ParseBytes(body)
	if err != nil {
		return EntryAnswer{}, errors.Wrap(ErrInvalidEntry, err.Error())
	}
	answer := EntryAnswer{TTL: time.Duration(document.GetInt64("ttl_ms")) * time.Millisecond}
	for _, element := range document.GetArray("addresses") {
		address := element.GetStringBytes()
		if element.Type() == fastjson.TypeObject {
			address = element.GetStringBytes("address")
		}
		if len(address) > 0 {
			answer.Addresses = append(answer.Addresses, string(address))
		}
	}
	if len(answer.Addresses) == 0 {
		return EntryAnswer{}, errors.Wrap(ErrInvalidEntry, "no addresses")
	}
	return answer, nil
}
