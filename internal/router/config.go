package router

import (
	"log/slog"
	"math/rand/v2"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/claim"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/link"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/route"
	"chicorytiller.example/chicorytiller/internal/version"
)

// claimShards is the number of values over which claims are spread. It is the
// same in all routers of all fleets: a key must be claimed in one place.
const claimShards = 16

// Bounds of the calls between routers. A keyed bill takes about 350 bytes on the
// wire, so that a change of witness carries the bills of 10 minutes at 300 requests
// a second; the planned size has 14 a second and router.
const (
	maxMessageBytes = 64 << 20
	maxQueuedBytes  = 128 << 20
)

// withLinkBounds sets the bounds of the calls between routers: the recent bills of a
// busy router go to a new witness in one message.
func withLinkBounds(cfg link.Config) link.Config {
	cfg.MaxMessageBytes = maxMessageBytes
	cfg.MaxQueuedBytes = maxQueuedBytes
	return cfg
}

const claimRetention = claim.DefaultRetention

// coreConfig derives the core's configuration from the settings.
func (r *Router) coreConfig() core.Config {
	s := r.settings
	cfg := core.Config{
		Self:             r.self,
		BudgetShards:     s.Platform.BudgetShards,
		ClaimShards:      claimShards,
		Budget:           budgetPolicy(r),
		Member:           r.memberConfig(),
		Route:            route.DefaultConfig(),
		KeyRetention:     core.DefaultKeyRetention,
		MaxKeys:          core.DefaultMaxKeys,
		KeptAnswersBytes: core.DefaultKeptAnswersBytes,
		BillRetention:    core.DefaultBillRetention,
		MaxBills:         core.DefaultMaxBills,
		SettleAfter:      s.Peers.SettleAfter,
		DoubtWait:        s.Callers.DoubtWait,
		MaxAttempts:      s.Backends.MaxAttempts,
		ParkLimit:        core.DefaultParkLimit,
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	return cfg
}

func (r *Router) memberConfig() member.Config {
	s := r.settings
	cfg := member.Config{
		Self: member.Info{
			Router:        r.self,
			FailureDomain: s.Router.FailureDomain,
			Region:        s.Router.Region,
			CallerAddress: r.CallerAddress(),
			LinkAddress:   r.LinkAddress(),
			State:         member.Draining,
		},
		Period:       s.Peers.Heartbeat,
		SuspectAfter: s.Peers.SuspectAfter,
	}
	for _, seed := range s.Peers.Seeds {
		cfg.Seeds = append(cfg.Seeds, seed.String())
	}
	return cfg
}

func budgetPolicy(r *Router) budget.Policy {
	b := r.settings.Budgets
	policy := budget.DefaultPolicy()
	policy.Horizon = b.Horizon
	policy.MinGrant = b.MinGrant
	policy.MaxGrant = b.MaxGrant
	policy.IdleReturn = b.IdleReturn
	policy.Checkpoint = b.Checkpoint
	return policy
}

func (r *Router) startAttrs() []slog.Attr {
	return []slog.Attr{
		slog.String("version", version.Version),
		slog.String("callers", r.CallerAddress()),
		slog.String("operators", r.OperatorAddress()),
		slog.String("peers", r.LinkAddress()),
		slog.String("failure_domain", string(r.settings.Router.FailureDomain)),
	}
}
