package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc/pool"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
)

// Pacing of the followers.
const (
	configPoll    = 5 * time.Second // re-read of the configuration's head beside the watch
	vmPoll        = time.Second
	pollsAtOnce   = 32
	loadTimeout   = time.Second
	reachableKind = "key-value service"
)

// followConfig brings each newer configuration to the core.
func (r *Router) followConfig() {
	reachable := true
	r.store.Follow(r.ctx, configPoll, func(state *config.State) {
		if !reachable {
			reachable = true
			r.events.Emit(event.PlatformReachable, slog.String("part", reachableKind))
		}
		r.loop.Post(core.StateChanged{State: state})
	}, func(err error) {
		if reachable {
			reachable = false
			r.events.Emit(event.PlatformUnreachable, slog.String("part", reachableKind), errAttr(err))
		}
	})
}

// followVMs brings the platform's list of VMs to the core.
func (r *Router) followVMs() {
	r.every(vmPoll, func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.settings.Platform.Timeout)
		defer cancel()
		vms, err := r.options.VMs.List(ctx)
		if err == nil {
			r.loop.Post(core.VMsListed{VMs: vms})
		}
	})
}

// pollLoad asks all backend servers for their load reports.
func (r *Router) pollLoad() {
	r.every(r.settings.Backends.LoadPoll, func() {
		polls := pool.New().WithMaxGoroutines(pollsAtOnce)
		for _, b := range r.store.State().Backends {
			polls.Go(func() { r.pollOne(b) })
		}
		polls.Wait()
	})
}

func (r *Router) pollOne(b *contract.BackendServer) {
	ctx, cancel := context.WithTimeout(r.ctx, loadTimeout)
	defer cancel()
	report, err := r.backend.Load(ctx, backend.Ref{ID: b.ID, Address: b.Address, FailureDomain: b.FailureDomain})
	if err != nil {
		// A backend server that can't be asked is found out by the requests that
		// fail there; the report it gave last goes out of date by itself.
		return
	}
	r.loop.Post(core.LoadReported{Backend: b.ID, Report: report})
}

// every runs f at once and then each period until the router stops.
func (r *Router) every(period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func errAttr(err error) slog.Attr {
	return slog.Any("error", err)
}
