package load

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// EntryResponse is a router's response to GET /v1/entry: the addresses of the routers to
// send requests to.
type EntryResponse struct {
	Addresses []string // "IP:port", in order of preference
	TTL       time.Duration
}

// FetchEntryFunc requests the entry response from a router.
type FetchEntryFunc func(router string) (EntryResponse, error)

// AddressCache caches the entry response of one client account for its TTL. It is safe
// for concurrent use.
type AddressCache struct {
	routers []string
	fetch   FetchEntryFunc
	now     func() time.Time

	mu         sync.Mutex
	nextRouter int // index of the next router to ask; counts up
	addresses  []string
	failed     map[string]bool // those of addresses that failed since the response arrived
	expires    time.Time
}

// NewAddressCache returns an AddressCache that asks the given routers in turn.
func NewAddressCache(routers []string, fetch FetchEntryFunc, now func() time.Time) *AddressCache {
	return &AddressCache{routers: routers, fetch: fetch, now: now}
}

// Addresses returns the addresses to connect to. It asks a router only if there is no
// cached response or its TTL has expired. If no router responds, it returns the expired
// addresses, which may still work.
func (c *AddressCache) Addresses() ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) > 0 && c.now().Before(c.expires) {
		return c.addresses, nil
	}
	var lastErr error
	for range c.routers {
		router := c.routers[c.nextRouter%len(c.routers)]
		c.nextRouter++
		response, err := c.fetch(router)
		if err != nil {
			lastErr = err
			continue
		}
		c.addresses = response.Addresses
		c.failed = map[string]bool{}
		c.expires = c.now().Add(response.TTL)
		return c.addresses, nil
	}
	if len(c.addresses) > 0 {
		return c.addresses, nil
	}
	return nil, errors.Wrap(lastErr, "load: no router returned an entry response")
}

// MarkFailed records that an address does not serve requests and moves it to the end
// of the list. Once every address has failed, the cached response expires, since all of
// its routers may have been replaced.
func (c *AddressCache) MarkFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(c.addresses, address)
	if index < 0 {
		return
	}
	// Clone, since callers may still use the old slice.
	c.addresses = append(slices.Delete(slices.Clone(c.addresses), index, index+1), address)
	c.failed[address] = true
	if len(c.failed) == len(c.addresses) {
		c.expires = time.Time{}
	}
}

// parseEntry parses {"addresses": [...], "ttl_ms": N}. An address is a string or
// an object with the field "address".
func parseEntry(body []byte) (EntryResponse, error) {
	document, err := fastjson.ParseBytes(body)
	if err != nil {
		return EntryResponse{}, errors.Wrap(ErrInvalidEntry, err.Error())
	}
	response := EntryResponse{TTL: time.Duration(document.GetInt64("ttl_ms")) * time.Millisecond}
	for _, element := range document.GetArray("addresses") {
		address := element.GetStringBytes()
		if element.Type() == fastjson.TypeObject {
			address = element.GetStringBytes("address")
		}
		if len(address) > 0 {
			response.Addresses = append(response.Addresses, string(address))
		}
	}
	if len(response.Addresses) == 0 {
		return EntryResponse{}, errors.Wrap(ErrInvalidEntry, "no addresses")
	}
	return response, nil
}
