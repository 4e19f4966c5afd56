package escrow

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// A router holds more than it spends in normal times, to ride out an outage of the
// store. What it holds would be lost with it, so it also keeps a ledger in the
// store: a ceiling for each account that it doesn't exceed while it is in contact,
// and a reading of its clocks. Out of contact it may go beyond, but only at a rate that
// the ledger states. The next process on the same VM knows from that reading how long its
// predecessor can have been out of contact, and with that how much of the grant it
// can have spent at most; the rest is free again.
//
// A predecessor is surely dead when its successor runs: both have the VM's address
// and listen on the same ports.

const (
	// outageGrace is the time since the last contact within which the ceiling holds. It
	// covers the pause between two ledgers and some lost answers.
	outageGrace = 2 * time.Second
	// wallClockMargin is how far a VM's time of day may have been moved between two
	// processes. It matters after a loss of power only: else the steady clock tells.
	wallClockMargin = 2200 * time.Millisecond
	// confirmedClockMargin is the margin where the store confirms the time of day: the
	// predecessor's contact lease, which it renewed right after its last write, is
	// still there.
	confirmedClockMargin = 300 * time.Millisecond
	// contactLeaseTTL bounds what the store confirms: long enough for an outage, a
	// loss of power right in it, and the restart.
	contactLeaseTTL = 10 * time.Second
	// maxReadingAge bounds the age of a reading on a steady clock that is believed: a
	// clock that began anew shows anything.
	maxReadingAge = 10 * time.Minute
)

const (
	// fullRatePeriod is the time after openAfter in which the outage rate holds in full: what waits
	// since the beginning of the outage is served then.
	fullRatePeriod = 1500 * time.Millisecond
	// lateRateFactor is the part of the rate that holds afterwards, once the allowance's reserve
	// is used up. Where all routers die late in an outage, all that it allowed counts as
	// spent, and little is left for who comes afterwards.
	lateRateFactor = 0.45
)

// Allowance is how much of its grant on one account a router may use.
type Allowance struct {
	// Ceiling is the most used at the contact and until openAfter later.
	Ceiling int64 `json:"ceiling"`
	// OutageRate is how many tokens a second may be used beyond that, out of contact.
	OutageRate int64 `json:"outage_rate"`
	// OutageReserve is how much may be used beyond the ceiling at the full outage rate.
	OutageReserve int64 `json:"reserve"`
}

// limitAt is the most that may be used when the last contact is so old.
func (a Allowance) limitAt(age time.Duration) int64 {
	open := max(0, age-outageGrace)
	early := min(open, fullRatePeriod)
	full := int64(float64(a.OutageRate) * open.Seconds())
	late := int64(float64(a.OutageRate) * (early.Seconds() + lateRateFactor*(open-early).Seconds()))
	return a.Ceiling + max(late, min(full, a.OutageReserve))
}

// elementwiseMin is the lower of each of two allowances: what holds while either may be stored.
func (a Allowance) elementwiseMin(b Allowance) Allowance {
	return Allowance{min(a.Ceiling, b.Ceiling), min(a.OutageRate, b.OutageRate), min(a.OutageReserve, b.OutageReserve)}
}

// ledgerFormat is the version of the stored form. A ledger of another version says
// nothing, so that all of its grant counts as spent.
const ledgerFormat = 2

// ClockReading is a reading of a VM's clocks.
type ClockReading struct {
	Boot   string        `json:"boot"`   // differs after a restart of the VM
	Steady time.Duration `json:"steady"` // since an unknown moment of this boot
	Wall   time.Time     `json:"wall"`
}

// BoundBasis is what a dead router's spending was bounded by.
type BoundBasis string

// Bounds of a dead router's spending, the tightest first.
const (
	// BasisSteadyClock: its ledger, whose age the VM's steady clock tells.
	BasisSteadyClock BoundBasis = "steady_clock"
	// BasisContactLease: its ledger, whose age the time of day tells; the store confirms it.
	BasisContactLease BoundBasis = "contact_lease"
	// BasisTimeOfDay: the same, with nothing that confirms it.
	BasisTimeOfDay BoundBasis = "time_of_day"
	// BasisGrant: no ledger of it, or no clock to judge that by. All counts as spent.
	BasisGrant BoundBasis = "grant"
)

// maxAgeAt is the longest time that can have passed between the reading and now, and what
// tells it; ByGrant if nothing can be said. leaseAlive says that the lease bound to it
// still runs.
func (c ClockReading) maxAgeAt(now ClockReading, leaseAlive bool) (age time.Duration, by BoundBasis) {
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

// Ledger is what one router says of its own spending.
type Ledger struct {
	Format      int    `json:"format"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // of the VM
	// Contact is a moment of contact: before this write was sent, or, if the store was
	// away then, before the last write that was sent while it was not.
	Contact ClockReading `json:"contact"`
	// Allowances is by account.
	Allowances map[string]Allowance `json:"allowances"`
}

// DecodeLedger reads a stored ledger.
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

// Encode gives the stored form.
func (l Ledger) Encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain integers and strings always encode
	}
	return data
}

// SpendingBound is how much of a dead incarnation's grant counts as spent, and why. The rest is
// free again.
type SpendingBound struct {
	// Max is the tokens that it can have spent at most.
	Max   int64
	Basis BoundBasis
	// Ceiling is the part of Most that it could use in contact; what is above is for the
	// time that it may have been out of contact.
	Ceiling int64
	// Age is the longest time that it can have been out of contact.
	Age time.Duration
}

// BoundSpending says what a dead incarnation of a VM can have spent of a grant at most, as its
// successor at the same address may conclude from the ledger. leaseAlive says that the
// incarnation's contact lease has not run out.
func (l Ledger) BoundSpending(account, incarnation, address string, granted int64, now ClockReading, leaseAlive bool) SpendingBound {
	all := SpendingBound{Max: granted, Basis: BasisGrant, Ceiling: granted}
	if l.Incarnation != incarnation || l.Address != address {
		return all
	}
	age, by := l.Contact.maxAgeAt(now, leaseAlive)
	if by == BasisGrant {
		return all
	}
	allowed := l.Allowances[account]
	return SpendingBound{Max: min(granted, allowed.limitAt(age)), Basis: by, Ceiling: min(granted, allowed.Ceiling), Age: age}
}
