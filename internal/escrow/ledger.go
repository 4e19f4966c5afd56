package escrow

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// A router holds more than it spends in normal times, to ride out an outage of the
// store. What it holds would be lost with it, so it also keeps a ledger in the
// store: a ceiling for each account that it doesn't exceed while it is in contact,
// and a stamp of its clock. Out of contact it may go beyond, but only at a pace that
// the ledger states. The next process on the same VM knows from the stamp how long its
// predecessor can have been out of contact, and with that how much of the grant it
// can have spent at most; the rest is free again.
//
// A predecessor is surely dead when its successor runs: both have the VM's address
// and listen on the same ports.

const (
	// openAfter is the time since the last stamp within which the ceiling holds. It
	// covers the pause between stamps and some lost answers.
	openAfter = 2 * time.Second
	// clockMargin is how far a VM's time of day may have been moved between two
	// processes. It matters after a loss of power only: else the steady clock tells.
	clockMargin = 2200 * time.Millisecond
	// clockDrift is the margin where the store vouches for the time of day: the
	// predecessor's contact lease, which it renewed right after its last stamp, is
	// still there.
	clockDrift = 300 * time.Millisecond
	// contactLease bounds what the store vouches for: long enough for an outage, a
	// loss of power right in it, and the restart.
	contactLease = 10 * time.Second
	// stampOldest bounds the age of a stamp on a steady clock that is believed: a
	// clock that began anew shows anything.
	stampOldest = 10 * time.Minute
)

const (
	// fullPace is the time after openAfter in which the pace holds in full: what waits
	// since the beginning of the outage is served then.
	fullPace = 1500 * time.Millisecond
	// latePace is the part of the pace that holds afterwards, once the allowance's reserve
	// is used up. Where all routers die late in an outage, all that it allowed counts as
	// spent: at the full pace less than a quarter of the requests were served once they
	// were back.
	latePace = 0.45
)

// Allowance is how much of its grant on one account a router may use.
type Allowance struct {
	// Ceiling is the most used at the stamp and until openAfter later.
	Ceiling int64 `json:"ceiling"`
	// Pace is how many tokens a second may be used beyond that, out of contact.
	Pace int64 `json:"pace"`
	// Reserve is how much may be used beyond the ceiling at the full pace.
	Reserve int64 `json:"reserve"`
}

// at is the most that may be used when the last stamp is so old.
func (a Allowance) at(age time.Duration) int64 {
	open := max(0, age-openAfter)
	early := min(open, fullPace)
	full := int64(float64(a.Pace) * open.Seconds())
	late := int64(float64(a.Pace) * (early.Seconds() + latePace*(open-early).Seconds()))
	return a.Ceiling + max(late, min(full, a.Reserve))
}

// least is the lower of each of two allowances: what holds while either may be stored.
func (a Allowance) least(b Allowance) Allowance {
	return Allowance{min(a.Ceiling, b.Ceiling), min(a.Pace, b.Pace), min(a.Reserve, b.Reserve)}
}

// ledgerFormat is the version of the stored form. A ledger of another version says
// nothing, so that all of its grant counts as spent.
const ledgerFormat = 2

// Stamp is a reading of a VM's clocks.
type Stamp struct {
	Boot   string        `json:"boot"`   // differs after a restart of the VM
	Steady time.Duration `json:"steady"` // since an unknown moment of this boot
	Wall   time.Time     `json:"wall"`
}

// ageAt is the longest time that can have passed between the stamp and now; ok is
// false if nothing can be said. vouched says that the store vouches for it.
func (s Stamp) ageAt(now Stamp, vouched bool) (age time.Duration, ok bool) {
	age = now.Steady - s.Steady
	if s.Boot == now.Boot && age >= 0 && age < stampOldest {
		return age, true
	}
	age = now.Wall.Sub(s.Wall)
	switch {
	case vouched && age >= 0 && age <= contactLease:
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
	// Stamp is a moment of contact: before this write was sent, or, if the store was
	// away then, before the last write that was sent while it was not.
	Stamp Stamp `json:"stamp"`
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
// as its successor at the same address may conclude from the ledger. vouched says
// that the incarnation's contact lease has not run out.
func (l Ledger) MostSpent(account, incarnation, address string, granted int64, now Stamp, vouched bool) int64 {
	if l.Incarnation != incarnation || l.Address != address {
		return granted
	}
	age, ok := l.Stamp.ageAt(now, vouched)
	if !ok {
		return granted
	}
	return min(granted, l.Allowances[account].at(age))
}
