package budget

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Errors of Shard.Apply and Decode. They come wrapped; test with errors.Is.
// After any of them the shard is as it was before.
var (
	// ErrRetired: the holder was settled; it may not hold or spend any more.
	ErrRetired = errors.New("budget: holder is retired")
	// ErrStaleSeq: a draw older than the one last applied for its holder.
	ErrStaleSeq = errors.New("budget: draw is older than the stored one")
	// ErrSeqGap: a draw that skips a sequence number, or a first draw not numbered 1.
	ErrSeqGap = errors.New("budget: draw skips a sequence number")
	// ErrUnknownBudget: the budget has no record, because it was never topped up.
	ErrUnknownBudget = errors.New("budget: no such budget")
	// ErrInvariant: the change would break an invariant, or a decoded shard does.
	ErrInvariant = errors.New("budget: invariant broken")
	// ErrTopUpConflict: the top-up's id was used before with another amount.
	ErrTopUpConflict = errors.New("budget: top-up id used with another amount")
	// ErrTopUpTooOld: the top-up is as old as those already folded into a sum,
	// so that it can't be told whether it was counted.
	ErrTopUpTooOld = errors.New("budget: top-up is older than the window of kept ids")
	// ErrTooManyTopUps: more top-ups in Policy.TopUpMinWindow than the record holds.
	ErrTooManyTopUps = errors.New("budget: too many recent top-ups")
	// ErrAccountMismatch: the budget belongs to another client account.
	ErrAccountMismatch = errors.New("budget: budget of another client account")
	// ErrBadAmount: an amount that is negative, zero where it can't be, or too large.
	ErrBadAmount = errors.New("budget: amount out of range")
	// ErrMalformed: the bytes of a shard can't be decoded.
	ErrMalformed = errors.New("budget: malformed shard")
	// ErrFormat: the shard was written by a later version of the program.
	ErrFormat = errors.New("budget: unknown shard format")
)

// Errors of the Wallet.
var (
	// ErrUnknownRequest: the request has no reservation here.
	ErrUnknownRequest = errors.New("budget: no reservation for the request")
	// ErrRequestConflict: the request is already reserved or parked with another
	// budget or amount.
	ErrRequestConflict = errors.New("budget: request known with another budget or amount")
)

// NeedDraw says that the wallet's grant doesn't cover a request yet. A draw is
// under way or due: park the request and reserve again after Landed.
type NeedDraw struct {
	Budget id.Budget
	Want   id.Tokens // of this request
}

// Error implements error.
func (e *NeedDraw) Error() string {
	return fmt.Sprintf("budget: %s needs a draw to cover %d tokens", e.Budget, e.Want)
}

// Exhausted says that a fresh view of the durable record has too little money
// for a request.
type Exhausted struct {
	Budget    id.Budget
	Want      id.Tokens // of this request
	Available id.Tokens // free at this wallet and not granted to anybody
	AsOf      time.Time // of the view
}

// Error implements error.
func (e *Exhausted) Error() string {
	return fmt.Sprintf("budget: %s has %d tokens available, %d wanted", e.Budget, e.Available, e.Want)
}

// Overrun says that a request used more than its reservation, which the cut of
// the stream must prevent. The reservation was charged.
type Overrun struct {
	Budget   id.Budget
	Request  id.Request
	Reserved id.Tokens
	Actual   id.Tokens
}

// Error implements error.
func (e *Overrun) Error() string {
	return fmt.Sprintf("budget: request %s used %d tokens of %d reserved from %s",
		e.Request, e.Actual, e.Reserved, e.Budget)
}
