package budget

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// MaxTotal bounds the sum of a budget's top-ups, so that sums can't overflow and
// stay exact in JSON readers that use floating point.
const MaxTotal id.Tokens = 1 << 53

// Policy sizes grants and paces draws. It changes how soon money gets where it
// is wanted and how much is in doubt when a router dies, never whether a budget
// can be overspent.
type Policy struct {
	// Horizon is for how long a grant should last at the recent rate of spend.
	Horizon time.Duration
	// RateWindow is the time constant of the moving average of the spend rate.
	RateWindow time.Duration
	// MinGrant and MaxGrant bound the free part of a grant that is asked for.
	MinGrant id.Tokens
	MaxGrant id.Tokens
	// MinShare is what a raise may always take of the available tokens, when its
	// fair share of them (available / (2 x holders)) is less.
	MinShare id.Tokens
	// LowWater is the fraction of the wanted free part below which more is drawn.
	LowWater float64
	// ShrinkFactor: a free part of more than this times the wanted one is cut.
	ShrinkFactor float64
	// IdleReturn is after how long without use the free part is given back.
	IdleReturn time.Duration
	// Checkpoint is how often a changed Spent is reported when no other draw does.
	Checkpoint time.Duration
	// DrawGap is the least time between two draws that no request waits for.
	DrawGap time.Duration
	// ShortRetry and ShortRetryMax pace draws of a budget that could not cover
	// the last one: doubled from the first up to the second.
	ShortRetry    time.Duration
	ShortRetryMax time.Duration
	// FailRetry and FailRetryMax pace draws that failed, likewise.
	FailRetry    time.Duration
	FailRetryMax time.Duration
	// ViewFresh is how old a view of the record may be to refuse a request.
	ViewFresh time.Duration
	// CallBackWait is how long a starved request waits for others to give back
	// what they hold before it is refused.
	CallBackWait time.Duration
	// ParkTTL is after how long a parked request that isn't tried again is forgotten.
	ParkTTL time.Duration
	// WantTTL is how long an uncovered want counts in the durable record.
	WantTTL time.Duration
	// TombstoneTTL is how long a retired holder's late draws are known as such.
	// Later they are still refused by their sequence number, but for a first draw.
	TombstoneTTL time.Duration
	// TopUpWindow is how long a top-up's id is kept, so that a repeat counts once.
	// Older ones are folded into one sum.
	TopUpWindow time.Duration
	// TopUpCap is how many top-ups a record keeps. Past it the oldest are folded
	// early, but none younger than TopUpMinWindow.
	TopUpCap       int
	TopUpMinWindow time.Duration
}

// DefaultPolicy is for requests of some hundred to some thousand tokens.
func DefaultPolicy() Policy {
	return Policy{
		Horizon:        30 * time.Second,
		RateWindow:     15 * time.Second,
		MinGrant:       8_192,
		MaxGrant:       10_000_000,
		MinShare:       1_024,
		LowWater:       0.4,
		ShrinkFactor:   4,
		IdleReturn:     time.Minute,
		Checkpoint:     30 * time.Second,
		DrawGap:        time.Second,
		ShortRetry:     250 * time.Millisecond,
		ShortRetryMax:  time.Second,
		FailRetry:      100 * time.Millisecond,
		FailRetryMax:   5 * time.Second,
		ViewFresh:      time.Second,
		CallBackWait:   2 * time.Second,
		ParkTTL:        30 * time.Second,
		WantTTL:        30 * time.Second,
		TombstoneTTL:   48 * time.Hour,
		TopUpWindow:    30 * 24 * time.Hour,
		TopUpCap:       128,
		TopUpMinWindow: 24 * time.Hour,
	}
}

// minTombstoneTTL keeps tombstones longer than any message stays under way.
const minTombstoneTTL = 24 * time.Hour

// Validate tells which value is out of range and what would be right.
func (p Policy) Validate() error {
	if err := p.validateDurations(); err != nil {
		return err
	}
	switch {
	case p.MinGrant < 1:
		return errors.New("budget policy: MinGrant must be at least 1 token")
	case p.MaxGrant < p.MinGrant || p.MaxGrant > MaxTotal:
		return errors.Errorf("budget policy: MaxGrant must be from MinGrant to %d tokens", MaxTotal)
	case p.MinShare < 1:
		return errors.New("budget policy: MinShare must be at least 1 token")
	case !(p.LowWater > 0 && p.LowWater < 1):
		return errors.New("budget policy: LowWater must be between 0 and 1")
	case !(p.ShrinkFactor > 1):
		return errors.New("budget policy: ShrinkFactor must be more than 1")
	case p.ShortRetryMax < p.ShortRetry:
		return errors.New("budget policy: ShortRetryMax must be at least ShortRetry")
	case p.FailRetryMax < p.FailRetry:
		return errors.New("budget policy: FailRetryMax must be at least FailRetry")
	case p.ViewFresh < p.ShortRetryMax:
		return errors.New("budget policy: ViewFresh must be at least ShortRetryMax")
	case p.TombstoneTTL < minTombstoneTTL:
		return errors.Errorf("budget policy: TombstoneTTL must be at least %s", minTombstoneTTL)
	case p.TopUpCap < 1:
		return errors.New("budget policy: TopUpCap must be at least 1")
	case p.TopUpMinWindow > p.TopUpWindow:
		return errors.New("budget policy: TopUpMinWindow must be at most TopUpWindow")
	}
	return nil
}

func (p Policy) validateDurations() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"Horizon", p.Horizon}, {"RateWindow", p.RateWindow}, {"IdleReturn", p.IdleReturn},
		{"Checkpoint", p.Checkpoint}, {"DrawGap", p.DrawGap}, {"ShortRetry", p.ShortRetry},
		{"FailRetry", p.FailRetry}, {"CallBackWait", p.CallBackWait}, {"ParkTTL", p.ParkTTL},
		{"WantTTL", p.WantTTL}, {"TopUpMinWindow", p.TopUpMinWindow},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return errors.Errorf("budget policy: %s must be more than 0", d.name)
		}
	}
	return nil
}
