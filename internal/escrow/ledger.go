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
	// openAfter is the time since the last contact within which the ceiling holds. It
	// covers the pause between two ledgers and some lost answers.
	openAfter = 2 * time.Second
	// clockMargin is how far a VM's time of day may have been moved between two
	// processes. It matters after a loss of power only: else the steady clock tells.
	clockMargin = 2200 * time.Millisecond
	// clockDrift is the margin where the store confirms the time of day: the
	// predecessor's contact lease, which it renewed right after its last write, is
	// still there.
	clockDrift = 300 * time.Millisecond
	// contactLease bounds what the store confirms: long enough for an outage, a
	// loss of power right in it, and the restart.
	contactLease = 10 * time.Second
	// readingOldest bounds the age of a reading on a steady clock that is believed: a
	// clock that began anew shows anything.
	readingOldest = 10 * time.Minute
)

const (
	// fullRateTime is the time after openAfter in which the outage rate holds in full: what waits
	// since the beginning of the outage is served then.
	fullRateTime = 1500 * time.Millisecond
	// lateRateShare is the part of the rate that holds afterwards, once the allowance's reserve
	// is used up. Where all routers die late in an outage, all that it allowed counts as
	// spent, and little is left for who comes afterwards.
	lateRateShare = 0.45
)

// Allowance is how much of its grant on one account a router may use.
type Allowance struct {
	// Ceiling is the most used at the contact and until openAfter later.
	Ceiling int64 `json:"ceiling"`
	// OutageRate is how many tokens a second may be used beyond that, out of contact.
	OutageRate int64 `json:"outage_rate"`
	// Reserve is how much may be used beyond the ceiling at the full outage rate.
	Reserve int64 `json:"reserve"`
}

// at is the most that may be used when the last contact is so old.
func (a Allowance) at(age time.Duration) int64 {
	open := max(0, age-openAfter)
	early := min(open, fullRateTime)
	full := int64(float64(a.OutageRate) * open.Seconds())
	late := int64(float64(a.OutageRate) * (early.Seconds() + lateRateShare*(open-early).Seconds()))
	return a.Ceiling + max(late, min(full, a.Reserve))
}

// least is the lower of each of two allowances: what holds while either may be stored.
func (a Allowance) least(b Allowance) Allowance {
	return Allowance{min(a.Ceiling, b.Ceiling), min(a.OutageRate, b.OutageRate), min(a.Reserve, b.Reserve)}
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

// JudgedBy is what a dead router's spending was bounded by.
type JudgedBy string

// Bounds of a dead router's spending, the tightest first.
const (
	// BySteadyClock: its ledger, whose age the VM's steady clock tells.
	BySteadyClock JudgedBy = "steady_clock"
	// ByContactLease: its ledger, whose age the time of day tells; the store confirms it.
	ByContactLease JudgedBy = "contact_lease"
	// ByTimeOfDay: the same, with nothing that confirms it.
	ByTimeOfDay JudgedBy = "time_of_day"
	// ByGrant: no ledger of it, or no clock to judge that by. All counts as spent.
	ByGrant JudgedBy = "grant"
)

// ageAt is the longest time that can have passed between the reading and now, and what
// tells it; ByGrant if nothing can be said. leaseAlive says that the lease bound to it
// still runs.
func (s ClockReading) ageAt(now ClockReading, leaseAlive bool) (age time.Duration, by JudgedBy) {
	age = now.Steady - s.Steady
	if s.Boot == now.Boot && age >= 0 && age < readingOldest {
		return age, BySteadyClock
	}
	age = now.Wall.Sub(s.Wall)
	switch {
	case leaseAlive && age >= 0 && age <= contactLease:
		return age + clockDrift, ByContactLease
	case age < -clockMargin:
		return 0, ByGrant
	}
	return age + clockMargin, ByTimeOfDay
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
		return Ledger{}, errors.Wrap(ErrRecord, err.Error())
	}
	if l.Format != ledgerFormat {
		return Ledger{}, errors.Wrapf(ErrRecord, "format %d", l.Format)
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

// Judgement is how much of a dead incarnation's grant counts as spent, and why. The rest is
// free again.
type Judgement struct {
	// Most is the tokens that it can have spent at most.
	Most int64
	By   JudgedBy
	// Ceiling is the part of Most that it could use in contact; what is above is for the
	// time that it may have been out of contact.
	Ceiling int64
	// Age is the longest time that it can have been out of contact.
	Age time.Duration
}

// Judge says what a dead incarnation of a VM can have spent of a grant at most, as its
// successor at the same address may conclude from the ledger. leaseAlive says that the
// incarnation's contact lease has not run out.
func (l Ledger) Judge(account, incarnation, address string, granted int64, now ClockReading, leaseAlive bool) Judgement {
	all := Judgement{Most: granted, By: ByGrant, Ceiling: granted}
	if l.Incarnation != incarnation || l.Address != address {
		return all
	}
	age, by := l.Contact.ageAt(now, leaseAlive)
	if by == ByGrant {
		return all
	}
	allowed := l.Allowances[account]
	return Judgement{Most: min(granted, allowed.at(age)), By: by, Ceiling: min(granted, allowed.Ceiling), Age: age}
}
