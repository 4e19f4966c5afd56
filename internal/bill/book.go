package bill

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Book holds a router's own bills. Bills that the witness doesn't hold yet are
// always kept; details of held ones for a time, and at most a number of them.
type Book struct {
	self  id.Router
	keep  time.Duration
	max   int
	seq   uint64
	epoch uint64
	// changing: between BeginChange and FinishChange no bill is sent.
	changing bool
	bills    map[id.Request]*noted
	pending  []*noted // by Seq; may hold withdrawn and held ones at its front
	held     []*noted // by time held
	waiting  int      // how many of the bills are pending
	sums     Sums     // of the held bills since the incarnation began
}

type noteState int

const (
	notePending noteState = iota
	noteHeld
	noteWithdrawn
)

type noted struct {
	bill  Bill
	state noteState
}

// NewBook makes the book of one router incarnation. Details of held bills are
// kept for keep after they were made, at most max of them.
func NewBook(self id.Router, keep time.Duration, max int) *Book {
	return &Book{
		self:     self,
		keep:     keep,
		max:      max,
		changing: true, // there is no witness yet
		bills:    make(map[id.Request]*noted),
		sums:     make(Sums),
	}
}

// Add notes a bill before it is sent anywhere. A second bill of the same request
// is not added: the first one stands.
func (b *Book) Add(now time.Time, bill Bill) (added bool) {
	b.forget(now)
	if _, found := b.bills[bill.Request]; found {
		return false
	}
	b.seq++
	bill.Router = b.self
	bill.Mark = Mark{Seq: b.seq}
	note := &noted{bill: bill}
	b.bills[bill.Request] = note
	b.pending = append(b.pending, note)
	b.waiting++
	return true
}

// Full tells that the book keeps as many bills as it should, waiting ones or
// held ones with a key: no further request should be admitted. Add still works,
// for no answered request may go without its bill.
func (b *Book) Full() bool {
	return b.waiting >= b.max || len(b.held) >= 2*b.max
}

// Pending returns the bills to send to the current witness, oldest first, or
// none while the witness is being changed. The same bills come again until Held
// or Withdraw.
func (b *Book) Pending() []Bill {
	if b.changing {
		return nil
	}
	b.trimPending()
	out := make([]Bill, 0, b.waiting)
	for _, note := range b.pending {
		if note.state != notePending {
			continue
		}
		bill := note.bill
		bill.Mark.Epoch = b.epoch
		bill.Mark.Floor = b.pending[0].bill.Mark.Seq
		out = append(out, bill)
	}
	return out
}

// Held notes that the witness of the given epoch holds the bills (Mark.Epoch of
// the bills that were sent), and returns those that newly became held: their
// answers may be ended.
//
// Failure: an acknowledgement of the earlier witness arrives after the sums were
// given to a new one. Taking it would end an answer whose bill the new witness
// lacks: billed nowhere once this router dies. So other epochs are ignored; the
// bill stays pending and goes to the new witness.
func (b *Book) Held(epoch uint64, requests ...id.Request) []id.Request {
	if epoch != b.epoch || b.changing {
		return nil
	}
	newly := make([]id.Request, 0, len(requests))
	for _, request := range requests {
		note, found := b.bills[request]
		if !found || note.state != notePending {
			continue
		}
		note.state = noteHeld
		b.held = append(b.held, note)
		b.waiting--
		b.sums[note.bill.Budget] += note.bill.Tokens
		newly = append(newly, request)
	}
	b.trimPending()
	return newly
}

// Withdraw removes a pending bill that the witness refused (the key has moved to
// another router, or this router is sealed). A held bill stays: false.
func (b *Book) Withdraw(request id.Request) bool {
	note, found := b.bills[request]
	if !found || note.state != notePending {
		return false
	}
	note.state = noteWithdrawn
	b.waiting--
	delete(b.bills, request)
	b.trimPending()
	return true
}

// BeginChange starts a change of witness, also the first. It returns the epoch
// of the change with the sums and the bills to give to Witness.Adopt. It may be
// called again when the change failed; each call has a higher epoch.
func (b *Book) BeginChange(now time.Time) (epoch uint64, sums Sums, recent []Bill) {
	b.forget(now)
	b.epoch++
	b.changing = true
	recent = make([]Bill, 0, len(b.held))
	for _, note := range b.held {
		recent = append(recent, note.bill)
	}
	return b.epoch, b.sums.Clone(), recent
}

// FinishChange ends the change once the durable record is known to name the new
// witness at this epoch. It returns false for another epoch than the last.
func (b *Book) FinishChange(epoch uint64) bool {
	if epoch != b.epoch {
		return false
	}
	b.changing = false
	return true
}

// Epoch is the number of the last change of witness; zero before the first.
func (b *Book) Epoch() uint64 {
	return b.epoch
}

// Sums are the held bills of each budget, cumulative since the incarnation began.
func (b *Book) Sums() Sums {
	return b.sums.Clone()
}

// Find returns the bill of a request if it is still kept.
func (b *Book) Find(request id.Request) (bill Bill, held, found bool) {
	note, found := b.bills[request]
	if !found {
		return Bill{}, false, false
	}
	return note.bill, note.state == noteHeld, true
}

// Filter chooses bills; a zero field matches all.
type Filter struct {
	Account id.ClientAccount `msgpack:"a,omitempty"`
	Budget  id.Budget        `msgpack:"b,omitempty"`
	Since   time.Time        `msgpack:"s"`
	Limit   int              `msgpack:"l"` // zero: all that are kept
}

func (f Filter) matches(bill Bill) bool {
	if f.Account != "" && bill.Account != f.Account {
		return false
	}
	if f.Budget != "" && bill.Budget != f.Budget {
		return false
	}
	return !bill.At.Before(f.Since)
}

// Recent returns the held bills that match, the newest first.
func (b *Book) Recent(filter Filter) []Bill {
	out := []Bill{}
	for i := len(b.held) - 1; i >= 0; i-- {
		if filter.Limit > 0 && len(out) == filter.Limit {
			break
		}
		if filter.matches(b.held[i].bill) {
			out = append(out, b.held[i].bill)
		}
	}
	return out
}

// trimPending drops what is no longer pending from the front of the queue, so
// that the floor moves up.
func (b *Book) trimPending() {
	drop := 0
	for drop < len(b.pending) && b.pending[drop].state != notePending {
		drop++
	}
	b.pending = dropFront(b.pending, drop)
}

// forget drops details of held bills that are old, and of those without a key
// some more when there are many.
func (b *Book) forget(now time.Time) {
	drop := 0
	for drop < len(b.held) && now.Sub(b.held[drop].bill.At) >= b.keep {
		delete(b.bills, b.held[drop].bill.Request)
		drop++
	}
	b.held = dropFront(b.held, drop)
	if len(b.held) > b.max+b.max/4 {
		b.forgetPlain(len(b.held) - b.max)
	}
}

// forgetPlain drops the oldest held bills without a key, at most excess of them.
// Failure: without the details of a bill with a key a new witness would take the
// key for unbilled, and its retry would be billed again. So those stay.
func (b *Book) forgetPlain(excess int) {
	kept := b.held[:0]
	for _, note := range b.held {
		if excess > 0 && note.bill.Key == "" {
			delete(b.bills, note.bill.Request)
			excess--
			continue
		}
		kept = append(kept, note)
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// dropFront removes the first n elements and lets go of what they point to.
func dropFront[E any](queue []E, n int) []E {
	if n == len(queue) {
		return queue[:0]
	}
	clear(queue[:n])
	return queue[n:]
}
