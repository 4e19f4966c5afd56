package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/vmlist"
)

// maxListVersions bounds the versions of the VM list that are kept for the lag.
const maxListVersions = 1000

// listVersion is the VM list from some time on.
type listVersion struct {
	since time.Time
	vms   []platform.VMEntry
}

// laggedList shows the VM list as it was some time ago.
type laggedList struct {
	now func() time.Time

	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion // in order of time; never empty
}

// newLaggedList starts with a list that has held since ever.
func newLaggedList(now func() time.Time, vms []platform.VMEntry, lag time.Duration) *laggedList {
	return &laggedList{
		now:      now,
		lag:      lag,
		versions: []listVersion{{vms: slices.Clone(vms)}},
	}
}

func (l *laggedList) set(vms []platform.VMEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{since: l.now(), vms: slices.Clone(vms)})
	if len(l.versions) > maxListVersions {
		l.versions = slices.Delete(l.versions, 0, 1)
	}
}

func (l *laggedList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// get returns the latest version that is at least as old as the lag.
func (l *laggedList) get() []platform.VMEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := l.now().Add(-l.lag)
	for _, version := range slices.Backward(l.versions) {
		if !version.since.After(shown) {
			return version.vms
		}
	}
	return l.versions[0].vms
}

// SetVMs replaces the VM list, as PUT /v1/vms does. It shows after the lag.
func (s *Server) SetVMs(vms []platform.VMEntry) {
	s.vms.set(vms)
}

func (s *Server) getVMs(c *fiber.Ctx) error {
	vms := s.vms.get()
	if vms == nil {
		vms = []platform.VMEntry{}
	}
	return c.JSON(vmlist.Document{VMs: vms})
}

func (s *Server) putVMs(c *fiber.Ctx) error {
	vms, err := vmlist.Decode(c.Body())
	if err != nil {
		return invalid(err.Error())
	}
	s.SetVMs(vms)
	return c.SendStatus(fiber.StatusNoContent)
}
