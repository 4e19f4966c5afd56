package load

import "slices"

// addressPicker chooses the address of each try of a request. It goes through the addresses
// in order of preference, beginning at offset, and starts over once all have been tried.
type addressPicker struct {
	cache      *AddressCache
	offset     int // index of the address to begin at, modulo their number
	tried      []string
	hasUntried bool // whether an address was still untried after the latest call of next
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
	p.hasUntried = p.untried(addresses) != ""
	return address, nil
}

// untried returns the next address that has not been tried, or "" if there is none.
func (p *addressPicker) untried(addresses []string) string {
	for i := range addresses {
		address := addresses[(p.offset+i)%len(addresses)]
		if !slices.Contains(p.tried, address) {
			return address
		}
	}
	return ""
}
