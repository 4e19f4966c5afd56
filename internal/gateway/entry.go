package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

const queryFailureDomain = "failure_domain"

// entryAnswer is the answer of /v1/entry.
type entryAnswer struct {
	Addresses []string `json:"addresses"` // "IP:port", the best first
	TTLMS     int64    `json:"ttl_ms"`    // how long a caller may keep the answer
}

// entry tells a caller which routers to use.
func (s *Server) entry(c *fiber.Ctx) error {
	snapshot := s.gate.Snapshot()
	found, err := authenticate(c, snapshot)
	if err != nil {
		return err
	}
	preferred := id.FailureDomain(c.Query(queryFailureDomain))
	addresses := entryAddresses(snapshot, found.Account, preferred)
	if len(addresses) == 0 {
		return refuse(core.CauseDraining, "", "no router serves at the moment")
	}
	s.metrics.answered(kindEntry)
	return c.JSON(entryAnswer{Addresses: addresses, TTLMS: s.config.EntryTTL.Milliseconds()})
}

// entryAddresses orders the serving routers for an account, those of the
// preferred failure domain first. Where none serves, this router names itself
// unless it drains: a suspicion may be wrong, and the caller has reached it.
func entryAddresses(snapshot *core.Snapshot, account id.ClientAccount, preferred id.FailureDomain) []string {
	ordered := orderedRouters(snapshot.Routers, account, func(r core.RouterView) bool {
		return r.Serving && !(snapshot.Draining && r.ID == snapshot.Self)
	})
	slices.SortStableFunc(ordered, func(a, b core.RouterView) int {
		return preferenceOf(a, preferred) - preferenceOf(b, preferred)
	})
	if len(ordered) == 0 && !snapshot.Draining {
		ordered = orderedRouters(snapshot.Routers, account, func(r core.RouterView) bool {
			return r.ID == snapshot.Self
		})
	}
	return addressesOf(ordered)
}

// otherAddresses lists the serving routers without this one.
func otherAddresses(snapshot *core.Snapshot, account id.ClientAccount) []string {
	return addressesOf(orderedRouters(snapshot.Routers, account, func(r core.RouterView) bool {
		return r.Serving && r.ID != snapshot.Self
	}))
}

// orderedRouters keeps the routers that pass and orders them by rendezvous
// hash, so that an account stays on few routers (and its budget is drawn there)
// and only the accounts of a lost router move.
func orderedRouters(routers []core.RouterView, account id.ClientAccount, pass func(core.RouterView) bool) []core.RouterView {
	var kept []core.RouterView
	for _, r := range routers {
		if pass(r) {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b core.RouterView) int {
		byWeight := cmp.Compare(rendezvousWeight(account, b.ID.VM), rendezvousWeight(account, a.ID.VM))
		return cmp.Or(byWeight, cmp.Compare(a.ID.VM, b.ID.VM))
	})
	return kept
}

func rendezvousWeight(account id.ClientAccount, vm id.VM) uint64 {
	return xxhash.Sum64String(string(account) + "\x00" + string(vm))
}

func preferenceOf(r core.RouterView, preferred id.FailureDomain) int {
	if preferred != "" && r.FailureDomain == preferred {
		return 0
	}
	return 1
}

func addressesOf(routers []core.RouterView) []string {
	addresses := make([]string, 0, len(routers))
	for _, r := range routers {
		addresses = append(addresses, r.CallerAddress)
	}
	return addresses
}

// modelEntry is one model of /v1/models, in OpenAI's shape.
type modelEntry struct {
	ID      id.Model `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	OwnedBy string   `json:"owned_by"`
}

// modelsAnswer is the answer of /v1/models.
type modelsAnswer struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models lists the models that the caller's contract allows and the fleet knows.
func (s *Server) models(c *fiber.Ctx) error {
	snapshot := s.gate.Snapshot()
	found, err := authenticate(c, snapshot)
	if err != nil {
		return err
	}
	answer := modelsAnswer{Object: "list", Data: []modelEntry{}}
	for _, name := range found.Models {
		if _, known := snapshot.Models[name]; known {
			answer.Data = append(answer.Data, modelEntry{ID: name, Object: "model", OwnedBy: "chicorytiller"})
		}
	}
	s.metrics.answered(kindModels)
	return c.JSON(answer)
}
