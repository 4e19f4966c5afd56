package load

import "slices"

// addressPicker chooses the address of each try of a request: the first in order of
// preference that has not been tried. Once all have been tried, it starts over.
type addressPicker struct {
	cache     *AddressCache
	offset    int // index of the address to start at
	tried     []string
	remaining bool // whether an address is untried
}

func (p *addressPicker) next() (string, error) {
	addresses, err := p.cache.Addresses()
	if err != nil {
		return "", err
	}
	address := p.untried(addresses)
	if address == "" {
		p.tried = nil
		address = p.untried(addresses)
	}
	p.tried = append(p.tried, address)
	p.remaining = p.untried(addresses) != ""
	return address, nil
}

func (p *addressPicker) untried(addresses []string) string {
	for i := range addresses {
		address := addresses[(p.offset+i)%len(addresses)]
		if !slices.Contains(p.tried, address) {
			return address
		}
	}
	return ""
}
