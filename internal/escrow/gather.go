package escrow

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
)

// A home that can't reach the store drops out of the list of routers, and no router borrows from
// it any more. It may hold most of a budget, which it can't return, but which it may lend as far
// as its ledger allows. So once the whole budget is granted, the router that draws in its place
// gathers tokens: it borrows from the VMs that the record lists.

const (
	// gatherTimeout bounds one gathering. It is less than minDrawTimeout, the shortest time that
	// a reservation waits.
	gatherTimeout = 80 * time.Millisecond
	// gatherHorizon is how long the tokens of one gathering should last at the current rate of
	// use, so that not every request waits for a gathering of its own.
	gatherHorizon = 500 * time.Millisecond
	// shortGatherBackoff is the time before the next gathering for an account after a router
	// lent less than it was asked for.
	shortGatherBackoff = time.Second
	// usageReportTTL is how long a VM's report of its spending takes precedence over its entry in
	// the record, which is out of date until the VM draws again.
	usageReportTTL = 3 * time.Second
	// unreachableBackoff is how long a VM that did not answer is skipped. Usually its router is
	// dead, and the record lists it until its successor closes its grant.
	unreachableBackoff = 10 * time.Second
)

// usageReport is what a router had spent of an account when it was last asked for tokens.
type usageReport struct {
	spent int64
	at    time.Duration
}

// spentByVM returns what a VM is known to have spent of an account: by its report if that is
// recent, else by the record. The caller holds m.mu.
func (m *GrantManager) spentByVM(g *grant, vm string) int64 {
	if report, known := g.reports[vm]; known && m.opts.Clock().Steady-report.at < usageReportTTL {
		return report.spent
	}
	return g.record.SpentBy(vm)
}

// spentElsewhere returns what all other processes are known to have spent. The caller holds m.mu.
func (m *GrantManager) spentElsewhere(g *grant) int64 {
	sum := g.record.ClosedSpent + g.record.SpentBy(m.opts.VM) - g.record.GrantEntry(m.opts.VM, m.opts.Incarnation).Spent
	for vm := range g.record.Entries {
		if vm != m.opts.VM {
			sum += m.spentByVM(g, vm)
		}
	}
	return sum
}

// gathering is a request for tokens to a router that has unspent ones according to the record.
type gathering struct {
	grant       *grant
	vm, address string
	tokens      int64
}

// requestGathering makes sure that a gathering for the account is pending or in progress. It
// returns false if no other router is known to have tokens. The caller holds m.mu.
func (m *GrantManager) requestGathering(r *pendingReservation) bool {
	g := r.grant
	if g.gathering {
		return true
	}
	if g.shortGatherAt > 0 && m.opts.Clock().Steady-g.shortGatherAt < shortGatherBackoff {
		return false
	}
	vm, address := m.vmWithMostUnspent(g)
	if address == "" {
		return false
	}
	g.gathering = true
	tokens := max(r.missing, int64(g.rate*gatherHorizon.Seconds()))
	m.pendingGatherings = append(m.pendingGatherings, gathering{grant: g, vm: vm, address: address, tokens: tokens})
	select {
	case m.gatherDue <- struct{}{}:
	default: // already signalled
	}
	return true
}

// gatherLoop runs pending gatherings until ctx ends.
func (m *GrantManager) gatherLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.gatherDue:
			m.runGatherings(ctx)
		}
	}
}

// runGatherings runs all pending gatherings concurrently, so that a router that doesn't answer
// does not delay the others.
func (m *GrantManager) runGatherings(ctx context.Context) {
	var calls conc.WaitGroup
	for _, g := range m.takeGatherings() {
		calls.Go(func() { m.runGathering(ctx, g) })
	}
	calls.Wait()
}

func (m *GrantManager) takeGatherings() []gathering {
	m.mu.Lock()
	defer m.mu.Unlock()
	gatherings := m.pendingGatherings
	m.pendingGatherings = nil
	return gatherings
}

// vmWithMostUnspent returns the VM, other than this one, that is known to have the most unspent
// tokens, and its address. VMs that have no known address or recently did not answer are left
// out; both results are empty if no other has any.
func (m *GrantManager) vmWithMostUnspent(g *grant) (vm, address string) {
	most, now := int64(0), m.opts.Clock().Steady
	for name := range g.record.Entries {
		at, unreachable := m.vmUnreachableAt[name]
		if name == m.opts.VM || m.vmAddresses[name] == "" || unreachable && now-at < unreachableBackoff {
			continue
		}
		left := g.record.GrantedTo(name) - m.spentByVM(g, name)
		if left > most {
			most, vm, address = left, name, m.vmAddresses[name]
		}
	}
	return vm, address
}

// runGathering borrows from one router and ends the gathering. That router lends only tokens that
// no queued request waits for.
func (m *GrantManager) runGathering(ctx context.Context, req gathering) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	g := req.grant
	loan := m.opts.Peers.BorrowFrom(ctx, req.address, LoanRequest{Account: g.account, Tokens: req.tokens, WaiterID: noWaiter})
	m.mu.Lock()
	g.borrowed += loan.Tokens
	g.gathering = false
	now := m.opts.Clock().Steady
	if loan.Short == PeerUnreachable {
		m.vmUnreachableAt[req.vm] = now
	} else {
		g.reports[req.vm] = usageReport{spent: loan.Spent, at: now}
		if loan.Tokens < req.tokens {
			g.shortGatherAt = now
		}
	}
	if loan.Tokens > 0 || g.gatherLog.due(now) {
		m.opts.Log.Emit(event.TokensGathered, slog.String(event.KeyBudget, g.account), slog.String(event.KeyRouter, req.vm),
			slog.Int64("wanted", req.tokens), slog.Int64(event.KeyTokens, loan.Tokens), slog.Int64("spent", loan.Spent),
			slog.Int("unlogged", g.gatherLog.takeSuppressed()))
	}
	m.mu.Unlock()
	m.broadcast()
}

// noWaiter is the waiter ID of a loan that no request waits for: the lender doesn't draw, and
// lends only tokens that no queued request waits for.
const noWaiter = ""

// ledgerAddress returns the address in a stored ledger, or "" if it has none. It decodes no
// further than the address, since a ledger with thousands of accounts is large.
func ledgerAddress(data []byte) string {
	d := json.NewDecoder(bytes.NewReader(data))
	for depth, key := 0, ""; ; {
		token, err := d.Token()
		if err != nil {
			return ""
		}
		switch t := token.(type) {
		case json.Delim:
			if t != '{' || depth > 0 {
				return "" // the address comes before the first nested value
			}
			depth++
			continue
		case string:
			if key == "" {
				key = t
				continue
			}
			if key == "address" {
				return t
			}
		}
		key = ""
	}
}
