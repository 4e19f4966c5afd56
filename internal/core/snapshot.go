package core

import (
	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/route"

	"log/slog"
)

// stateChanged takes a newer configuration in force. An older one is ignored:
// a relay or a healed partition may bring one, and going back would undo an
// accepted change.
func (c *Core) stateChanged(state *config.State) {
	if state.Revision <= c.state.Revision {
		return
	}
	c.state = state
	c.models = values(state.Models)
	c.services = values(state.Services)
	c.setTargets()
	c.stale = true
	c.emit(event.ConfigInForce, slog.Uint64("revision", uint64(state.Revision)))
}

// values copies what a configuration points to, for the snapshots' readers.
func values[K comparable, V any](pointers map[K]*V) map[K]V {
	out := make(map[K]V, len(pointers))
	for k, p := range pointers {
		out[k] = *p
	}
	return out
}

func (c *Core) setTargets() {
	targets := make([]route.Target, 0, len(c.state.Backends))
	for _, name := range sortedKeys(c.state.Backends) {
		b := c.state.Backends[name]
		targets = append(targets, route.Target{
			Ref:     backend.Ref{ID: b.ID, Address: b.Address, FailureDomain: b.FailureDomain},
			Models:  b.Models,
			Service: b.Service,
			Leaving: b.Leaving || c.leaving[b.VM],
		})
	}
	c.chooser.SetTargets(targets)
}

// vmsListed takes in the platform's list of VMs: routers that go, and VMs of
// backend servers that leave.
func (c *Core) vmsListed(vms []platform.VMEntry) {
	leaving := make(map[id.VM]bool)
	c.listed = make(map[id.VM]bool, len(vms))
	for _, vm := range vms {
		c.listed[vm.ID] = true
		if vm.State == platform.VMLeaving {
			leaving[vm.ID] = true
		}
	}
	c.leaving = leaving
	c.setTargets()
	c.viewStep(member.ListRead{Entries: vms})
	c.stale = true
}

func (c *Core) loadReported(ev LoadReported) {
	if c.chooser.Report(c.now, ev.Backend, ev.Report) {
		c.emit(event.BackendLeaving, slog.String(event.KeyBackend, string(ev.Backend)))
	}
}

func (c *Core) snapshot() *Snapshot {
	s := &Snapshot{
		Self:     c.self,
		Revision: c.state.Revision,
		Draining: c.stage == stageLeaving || c.stage == stageRefusing,
		Ready:    c.stage == stageServing && c.tenure.active() && c.state.Revision > 0,
		ByKey:    c.state.ByKey,
		Models:   c.models,
		Services: c.services,
	}
	s.Routers = append(s.Routers, RouterView{
		ID:            c.self,
		CallerAddress: c.config.Member.Self.CallerAddress,
		FailureDomain: c.config.Member.Self.FailureDomain,
		Serving:       s.Ready,
	})
	for _, p := range c.view.Alive() {
		s.Routers = append(s.Routers, RouterView{
			ID:            p.Router,
			CallerAddress: p.CallerAddress,
			FailureDomain: p.FailureDomain,
			Serving:       p.State == member.Serving,
		})
	}
	return s
}
