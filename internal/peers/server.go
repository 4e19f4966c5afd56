// Package peers is the talk between routers: loans of granted tokens while the
// store can't be reached, and what a router that starts then needs to know.
package peers

import (
	"net"
	"net/rpc"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/store"
)

// serviceName is the name of the RPC service.
const serviceName = "Router"

// TransferID names one loan or one handing-over among all routers' for ever.
type TransferID struct {
	Incarnation string // of the router that asked or gives
	Serial      uint64
}

// Clock is the Lamport clock of this process's log. Messages carry it, so that the
// logs of several routers can be merged in causal order however wrong their VMs' times
// of day are.
type Clock interface {
	Tick() uint64
	Observe(remote uint64)
}

// LoanRequest asks for tokens of an account's budget.
type LoanRequest struct {
	ID      TransferID
	Account string
	Tokens  int64
	// Waiter names the request in the line that forms while the store is away; empty:
	// only what nobody waits for is asked for.
	Waiter string
	Clock  uint64
}

// Loan is what the peer gives; it has counted that as used by itself.
type Loan struct {
	Tokens int64
	// Used is the tokens that the peer has spent or reserved, without the loan.
	Used int64
	// Spent is what the peer has surely spent and lent, with the loan, without what it borrowed.
	Spent int64
	// Short says why the loan is not all that was asked for.
	Short escrow.Shortage
	Clock uint64
}

// Gift is tokens by account that a router has no use for.
type Gift struct {
	ID     TransferID
	Tokens map[string]int64
	Clock  uint64
}

// GiftAnswer says what became of a gift.
type GiftAnswer struct {
	// Refused: the peer took nothing of it, and never will.
	Refused bool
}

// KnownRequest asks for what the peer knows.
type KnownRequest struct{}

// Known is the peer's knowledge as it was in the store.
type Known struct {
	// Limits are the records of the limits that backend servers named.
	Limits  []store.Item
	Config  []store.Item
	Servers []store.Item
	Members []store.Item
}

// Lender gives granted tokens away.
type Lender interface {
	// Lend takes up to tokens out of what is available or, for a waiter, can be drawn.
	Lend(account string, tokens int64, waiter string) escrow.Loan
	// TakeBack undoes a loan that its borrower never got.
	TakeBack(account string, tokens int64)
	// Accept takes tokens that another router hands over; false: none of them.
	Accept(tokens map[string]int64) bool
}

// StateSource provides the state that this router serves to its peers.
type StateSource interface {
	// Known is all of it, for a router that starts.
	Known() Known
	// Feed is what this router follows in the store under a prefix; nil if it doesn't.
	Feed(prefix string) *store.Feed
}

// Service is what peers call.
type Service struct {
	lender    Lender
	knowledge StateSource
	clock     Clock
	transfers *transfers
	packer    packer
}

// Lend gives a loan.
func (s *Service) Lend(request LoanRequest, loan *Loan) error {
	s.clock.Observe(request.Clock)
	defer func() { loan.Clock = s.clock.Tick() }()
	if s.transfers.voided(request.ID) {
		return nil // its borrower gave up on it
	}
	given := s.lender.Lend(request.Account, request.Tokens, request.Waiter)
	loan.Tokens, loan.Used, loan.Spent, loan.Short = given.Tokens, given.Used, given.Spent, given.Short
	if !s.transfers.lent(request.ID, request.Account, loan.Tokens) {
		s.lender.TakeBack(request.Account, loan.Tokens)
		loan.Tokens = 0
	}
	return nil
}

// Void undoes a loan whose answer was lost, whether it was given yet or not.
func (s *Service) Void(id TransferID, _ *struct{}) error {
	if account, tokens := s.transfers.void(id); tokens > 0 {
		s.lender.TakeBack(account, tokens)
	}
	return nil
}

// HandOver takes tokens that the peer has no use for. It is idempotent.
func (s *Service) HandOver(gift Gift, answer *GiftAnswer) error {
	s.clock.Observe(gift.Clock)
	if s.transfers.first(gift.ID) {
		answer.Refused = !s.lender.Accept(gift.Tokens)
	}
	return nil
}

// Known tells what this router knows.
func (s *Service) Known(_ KnownRequest, known *Known) error {
	*known = s.knowledge.Known()
	return nil
}

// Serve answers peers until the listener is closed.
func Serve(l net.Listener, lender Lender, knowledge StateSource, clock Clock) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{lender: lender, knowledge: knowledge, clock: clock, transfers: newTransfers()}); err != nil {
		return err
	}
	for {
		connection, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(connection) // ends with its connection
	}
}
