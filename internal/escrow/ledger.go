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
	// spent: at the full outage rate less than a quarter of the requests were served once they
	// were back.
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

// ageAt is the longest time that can have passed between the reading and now; ok is
// false if nothing can be said. leaseAlive says that the lease bound to it still runs.
func (s ClockReading) ageAt(now ClockReading, leaseAlive bool) (age time.Duration, ok bool) {
	age = now.Steady - s.Steady
	if s.Boot == now.Boot && age >= 0 && age < readingOldest {
		return age, true
	}
	age = now.Wall.Sub(s.Wall)
	switch {
	case leaseAlive && age >= 0 && age <= contactLease:
		return age + clockDrift, true
	case age < -clockMargin:
		return 0, false
	}
	return age + clockMargin, true
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

// MostSpent is the most that a dead incarnation of a VM can have spent of a grant,
// as its successor at the same address may conclude from the ledger. leaseAlive says
// that the incarnation's contact lease has not run out.
func (l Ledger) MostSpent(account, incarnation, address string, granted int64, now ClockReading, leaseAlive bool) int64 {
	if l.Incarnation != incarnation || l.Address != address {
		return granted
	}
	age, ok := l.Contact.ageAt(now, leaseAlive)
	if !ok {
		return granted
	}
	return min(granted, l.Allowances[account].at(age))
}
