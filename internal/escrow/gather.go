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

// A home that the store refuses leaves the list of routers, and nobody asks it any more. Its
// grant may be most of a budget, which it can't return; but it may lend of it what its ledger
// allows. So the router that holds instead asks whoever the record names, once all is granted.

const (
	// gatherTimeout bounds one gathering: less than a reservation waits for a draw.
	gatherTimeout = 80 * time.Millisecond
	// gatherHorizon is how much of the use seen is gathered at once, so that each request need
	// not wait for a gathering of its own.
	gatherHorizon = 500 * time.Millisecond
	// emptyGatherBackoff is how long nobody is asked again after one that brought nothing.
	emptyGatherBackoff = time.Second
	// usageReportTTL is how long a holder's report of what it has spent replaces its figure in the record,
	// which lags behind until it draws again.
	usageReportTTL = 3 * time.Second
	// unreachableBackoff is how long a router that didn't answer is left out: as a rule it is dead, and
	// the record lists it until its successor closes what it held.
	unreachableBackoff = 10 * time.Second
)

// usageReport is what a holder had spent of an account when it was asked for tokens.
type usageReport struct {
	spent int64
	at    time.Duration
}

// spentByVM is what a VM has spent of an account, as far as is known: by its report of late, else by
// the record. The keeper is locked.
func (m *GrantManager) spentByVM(p *grant, vm string) int64 {
	if report, known := p.reports[vm]; known && m.o.Clock().Steady-report.at < usageReportTTL {
		return report.spent
	}
	return p.record.SpentBy(vm)
}

// spentElsewhere is what was surely spent by all but this process. The keeper is locked.
func (m *GrantManager) spentElsewhere(p *grant) int64 {
	sum := p.record.ClosedSpent + p.record.SpentBy(m.o.VM) - p.record.GrantEntry(m.o.VM, m.o.Incarnation).Spent
	for vm := range p.record.Holders {
		if vm != m.o.VM {
			sum += m.spentByVM(p, vm)
		}
	}
	return sum
}

// gathering is a call for tokens to a router that the record leaves some to.
type gathering struct {
	grant       *grant
	vm, address string
	tokens      int64
}

// requestGather orders tokens from a router that holds some, or says that this is under way; false:
// nobody else has any. The keeper is locked.
func (m *GrantManager) requestGather(r *pendingReservation) bool {
	p := r.grant
	if p.gathering {
		return true
	}
	if p.shortGatherAt > 0 && m.o.Clock().Steady-p.shortGatherAt < emptyGatherBackoff {
		return false
	}
	vm, address := m.largestOtherHolder(p)
	if address == "" {
		return false
	}
	p.gathering = true
	tokens := max(r.missing, int64(p.rate*gatherHorizon.Seconds()))
	m.pendingGatherings = append(m.pendingGatherings, gathering{grant: p, vm: vm, address: address, tokens: tokens})
	select {
	case m.gatherDue <- struct{}{}:
	default: // one is due already
	}
	return true
}

// gatherLoop carries gatherings out until ctx ends.
func (m *GrantManager) gatherLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.gatherDue:
			m.runGathers(ctx)
		}
	}
}

// runGathers carries out what was ordered, all at once: one router that doesn't answer must
// not hold up the others.
func (m *GrantManager) runGathers(ctx context.Context) {
	var calls conc.WaitGroup
	for _, g := range m.takeGatherings() {
		calls.Go(func() { m.runGather(ctx, g) })
	}
	calls.Wait()
}

func (m *GrantManager) takeGatherings() []gathering {
	m.mu.Lock()
	defer m.mu.Unlock()
	requests := m.pendingGatherings
	m.pendingGatherings = nil
	return requests
}

// largestOtherHolder is the VM, with its address, that has the most tokens left beside this one, as far as
// is known; the address is empty if there is none that can be asked.
func (m *GrantManager) largestOtherHolder(p *grant) (vm, address string) {
	most, now := int64(0), m.o.Clock().Steady
	for name := range p.record.Holders {
		at, unreached := m.unreached[name]
		if name == m.o.VM || m.vmAddresses[name] == "" || unreached && now-at < unreachableBackoff {
			continue
		}
		left := p.record.GrantedTo(name) - m.spentByVM(p, name)
		if left > most {
			most, vm, address = left, name, m.vmAddresses[name]
		}
	}
	return vm, address
}

// runGather asks one router and ends the gathering. What it lends is what none of its own
// requests waits for.
func (m *GrantManager) runGather(ctx context.Context, g gathering) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	p := g.grant
	loan := m.o.Peers.BorrowFrom(ctx, g.address, p.account, g.tokens, noWaiter)
	m.mu.Lock()
	p.borrowed += loan.Tokens
	p.gathering = false
	now := m.o.Clock().Steady
	if loan.Short == PeerUnreachable {
		m.unreached[g.vm] = now
	} else {
		p.reports[g.vm] = usageReport{spent: loan.Spent, at: now}
		if loan.Tokens < g.tokens {
			p.shortGatherAt = now
		}
	}
	if loan.Tokens > 0 || p.gatherLog.due(now) {
		m.o.Log.Emit(event.TokensGathered, slog.String(event.KeyBudget, p.account), slog.String(event.KeyRouter, g.vm),
			slog.Int64("wanted", g.tokens), slog.Int64(event.KeyTokens, loan.Tokens), slog.Int64("spent", loan.Spent),
			slog.Int("unlogged", p.gatherLog.take()))
	}
	m.mu.Unlock()
	m.broadcast()
}

// noWaiter names no request: what nobody waits for is lent, and nothing is drawn for it.
const noWaiter = ""

// ledgerAddress reads the address of a stored ledger, and no more of it: a ledger of
// thousands of accounts is large. It is empty if there is none.
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
