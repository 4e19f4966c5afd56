package escrow

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// To keep serving through an outage of the store, a router is granted more than it
// normally spends. If it crashed, its whole grant would have to count as spent. To avoid
// that it also writes a ledger to the store: a spending ceiling per account, which it
// does not exceed while it is in contact with the store, and a reading of its clocks.
// Out of contact it may exceed the ceiling, but only at a rate stated in the ledger. From
// the clock reading, the next process on the same VM knows how long its predecessor can
// have been out of contact, and thus the most it can have spent of the grant. The rest
// becomes free again.
//
// A predecessor is certainly dead when its successor runs, because both listen on the
// same ports of the VM's address.

const (
	// outageGrace is the time after the last contact during which the ceiling still
	// holds. It covers the interval between two ledger writes and a few lost responses.
	outageGrace = 2 * time.Second
	// wallClockMargin is how far a VM's wall clock may have been adjusted between two
	// processes. It matters only after a reboot; otherwise the monotonic clock is used.
	wallClockMargin = 2200 * time.Millisecond
	// confirmedClockMargin replaces wallClockMargin where the store confirms the wall
	// clock: the predecessor's contact lease, renewed right after its last write, has
	// not expired yet.
	confirmedClockMargin = 300 * time.Millisecond
	// contactLeaseTTL bounds the age that the store can confirm. It is long enough for
	// an outage, a loss of power during it, and the restart.
	contactLeaseTTL = 10 * time.Second
	// maxReadingAge is the greatest age accepted from the monotonic clock, since a clock
	// that was reset can show any value.
	maxReadingAge = 10 * time.Minute
)

const (
	// fullRatePeriod is the time after outageGrace during which the full outage rate is
	// allowed, to serve the requests that have waited since the outage began.
	fullRatePeriod = 1500 * time.Millisecond
	// lateRateFactor is the fraction of the outage rate that is allowed afterwards, once
	// the outage reserve is used up. If all routers crash late in an outage, everything
	// that was allowed counts as spent, so a higher rate would leave little for later
	// requests.
	lateRateFactor = 0.45
)

// Allowance limits how much of its grant on one account a router may use.
type Allowance struct {
	// Ceiling is the most that may be used until outageGrace after the last contact.
	Ceiling int64 `json:"ceiling"`
	// OutageRate is the tokens per second that may be used above the ceiling later on.
	OutageRate int64 `json:"outage_rate"`
	// OutageReserve is how much may be used above the ceiling at the full outage rate.
	OutageReserve int64 `json:"reserve"`
	// Max is the most that may be used at any time, if it is above the ceiling. It keeps the end of
	// a budget from being used up in an outage, or stranded by a crash; 0: no limit.
	Max int64 `json:"max,omitempty"`
}

// limitAt returns the most that may be used at the given time since the last contact.
func (a Allowance) limitAt(age time.Duration) int64 {
	outage := max(0, age-outageGrace)
	fullRate := min(outage, fullRatePeriod)
	full := int64(float64(a.OutageRate) * outage.Seconds())
	late := int64(float64(a.OutageRate) * (fullRate.Seconds() + lateRateFactor*(outage-fullRate).Seconds()))
	limit := a.Ceiling + max(late, min(full, a.OutageReserve))
	if a.Max > 0 {
		limit = min(limit, max(a.Max, a.Ceiling))
	}
	return limit
}

// elementwiseMin returns the lower limit of each kind: what holds while either of two
// allowances may be the stored one.
func (a Allowance) elementwiseMin(b Allowance) Allowance {
	lower := Allowance{min(a.Ceiling, b.Ceiling), min(a.OutageRate, b.OutageRate), min(a.OutageReserve, b.OutageReserve), min(a.Max, b.Max)}
	if lower.Max == 0 {
		lower.Max = max(a.Max, b.Max) // one of them has no limit
	}
	return lower
}

// ledgerFormat is the version of the stored form of a Ledger. A ledger of another version
// is ignored, so the whole grant counts as spent.
const ledgerFormat = 2

// ClockReading is a reading of a VM's clocks.
type ClockReading struct {
	Boot   string        `json:"boot"`   // ID of the boot; changes when the VM restarts
	Steady time.Duration `json:"steady"` // monotonic clock, valid within one boot
	Wall   time.Time     `json:"wall"`
}

// BoundBasis says what the bound on a dead router's spending is based on.
type BoundBasis string

// Bases of a bound, the tightest first.
const (
	// BasisSteadyClock is the ledger, with its age taken from the VM's monotonic clock.
	BasisSteadyClock BoundBasis = "steady_clock"
	// BasisContactLease is the ledger, with its age taken from the wall clock and
	// confirmed by the contact lease.
	BasisContactLease BoundBasis = "contact_lease"
	// BasisTimeOfDay is the ledger, with its age taken from the wall clock alone.
	BasisTimeOfDay BoundBasis = "time_of_day"
	// BasisGrant is the whole grant: there is no usable ledger or clock.
	BasisGrant BoundBasis = "grant"
	// BasisNoAllowance is the whole grant: the ledger doesn't list the account. Older builds left out
	// accounts that were not in the configuration.
	BasisNoAllowance BoundBasis = "no_allowance"
)

// maxAgeAt returns the longest time that can have passed between the reading and now, and
// what that is based on; BasisGrant if nothing is known. leaseAlive says whether the
// contact lease of the reading's process has not expired.
func (c ClockReading) maxAgeAt(now ClockReading, leaseAlive bool) (age time.Duration, basis BoundBasis) {
	age = now.Steady - c.Steady
	if c.Boot == now.Boot && age >= 0 && age < maxReadingAge {
		return age, BasisSteadyClock
	}
	age = now.Wall.Sub(c.Wall)
	switch {
	case leaseAlive && age >= 0 && age <= contactLeaseTTL:
		return age + confirmedClockMargin, BasisContactLease
	case age < -wallClockMargin:
		return 0, BasisGrant
	}
	return age + wallClockMargin, BasisTimeOfDay
}

// Ledger holds the limits that one router has set on its own spending.
type Ledger struct {
	Format      int    `json:"format"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // of the VM
	// Contact is when the router was last in contact: just before this write was sent,
	// or, if the store was unreachable then, before the last write sent while it was
	// reachable.
	Contact ClockReading `json:"contact"`
	// Era is the store's era when it was written; nil if an older build wrote it.
	Era *store.Era `json:"era,omitempty"`
	// Allowances is keyed by account. It lists each account of which the router may hold a grant, whether or
	// not the configuration lists it.
	Allowances map[string]Allowance `json:"allowances"`
}

func DecodeLedger(data []byte) (Ledger, error) {
	l := Ledger{}
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if l.Format != ledgerFormat {
		return Ledger{}, errors.Wrapf(ErrInvalidRecord, "format %d", l.Format)
	}
	return l, nil
}

func (l Ledger) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain integers and strings always encode
	}
	return data
}

// isOutdated reports whether the store may have lost a later ledger of the same process.
func (l Ledger) isOutdated(present store.Era) bool {
	return l.Era != nil && *l.Era < present
}

// SpendingBound says how much of a dead incarnation's grant counts as spent, and why. The
// rest becomes free again.
type SpendingBound struct {
	// Max is the most tokens that it can have spent.
	Max   int64
	Basis BoundBasis
	// Ceiling is the part of Max that it could use in contact. The rest accounts for the
	// time that it may have been out of contact.
	Ceiling int64
	// Age is the longest time that it can have been out of contact.
	Age time.Duration
}

// BoundSpending returns the most that a dead incarnation can have spent of a grant, as its
// successor at the same address may conclude from the ledger. leaseAlive says whether the
// incarnation's contact lease has not expired.
func (l Ledger) BoundSpending(account, incarnation, address string, granted int64, now ClockReading, leaseAlive bool) SpendingBound {
	wholeGrant := SpendingBound{Max: granted, Basis: BasisGrant, Ceiling: granted}
	if l.Incarnation != incarnation || l.Address != address {
		return wholeGrant
	}
	age, basis := l.Contact.maxAgeAt(now, leaseAlive)
	if basis == BasisGrant {
		return wholeGrant
	}
	allowance, listed := l.Allowances[account]
	if !listed {
		wholeGrant.Basis = BasisNoAllowance
		return wholeGrant
	}
	return SpendingBound{Max: min(granted, allowance.limitAt(age)), Basis: basis, Ceiling: min(granted, allowance.Ceiling), Age: age}
}
