package load

import "slices"

// turns chooses the address of each try of one request: the best one that it
// hasn't tried yet.
type turns struct {
	directory *Directory
	offset    int // where in the answer to begin
	tried     []string
	more      bool // addresses are left untried
}

func (t *turns) address() (string, error) {
	addresses, err := t.directory.Addresses()
	if err != nil {
		return "", err
	}
	address := t.untried(addresses)
	if address == "" {
		t.tried = nil
		address = t.untried(addresses)
	}
	t.tried = append(t.tried, address)
	t.more = t.untried(addresses) != ""
	return address, nil
}

func (t *turns) untried(addresses []string) string {
	for i := range addresses {
		address := addresses[(t.offset+i)%len(addresses)]
		if !slices.Contains(t.tried, address) {
			return address
		}
	}
	return ""
}
