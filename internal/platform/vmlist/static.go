// Package vmlist holds adapters of platform.VMList: a client of the platform's
// HTTP list, and a list in memory for tests and the development program.
package vmlist

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// Static is a VM list in memory that shows each change at once. It is safe for
// concurrent use. The zero value is an empty list.
type Static struct {
	mu      sync.Mutex
	entries []platform.VMEntry
	outage  bool
}

var _ platform.VMList = (*Static)(nil)

// NewStatic makes a list with the given entries.
func NewStatic(entries ...platform.VMEntry) *Static {
	s := &Static{}
	s.Set(entries)
	return s
}

// Set replaces the entries.
func (s *Static) Set(entries []platform.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.Clone(entries)
}

// SetOutage makes List fail with ErrUnavailable, or work again.
func (s *Static) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// List implements platform.VMList.
func (s *Static) List(ctx context.Context) ([]platform.VMEntry, error) {
	if err := ctx.Err(); err != nil {
		return nil, &ListError{Kind: ErrUnavailable, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, &ListError{Kind: ErrUnavailable, Cause: errors.New("outage")}
	}
	return slices.Clone(s.entries), nil
}
