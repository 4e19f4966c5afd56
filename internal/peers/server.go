// Package peers is the talk between routers: loans of granted tokens while the
// store can't be reached, and what a router that starts then needs to know.
package peers

import (
	"net"
	"net/rpc"

	"chicorytiller.example/chicorytiller/internal/store"
)

// serviceName is the name of the RPC service.
const serviceName = "Router"

// LoanRequest asks for tokens of an account's budget.
type LoanRequest struct {
	Account string
	Tokens  int64
}

// Loan is what the peer gives; it has counted that as used by itself.
type Loan struct {
	Tokens int64
	// Used is the tokens that the peer has spent or reserved, without the loan.
	Used int64
}

// KnownRequest asks for what the peer knows.
type KnownRequest struct{}

// Known is the peer's knowledge as it was in the store.
type Known struct {
	Config  []store.Item
	Servers []store.Item
	Members []store.Item
}

// Lender gives granted tokens away.
type Lender interface {
	// Lend takes up to tokens out of what is available and returns how many, and
	// how many were used before.
	Lend(account string, tokens int64) (given, used int64)
	// Accept takes tokens that another router hands over.
	Accept(tokens map[string]int64)
}

// Service is what peers call.
type Service struct {
	lender Lender
	known  func() Known
}

// Lend gives a loan.
func (s *Service) Lend(request LoanRequest, loan *Loan) error {
	loan.Tokens, loan.Used = s.lender.Lend(request.Account, request.Tokens)
	return nil
}

// Tokens are tokens by account.
type Tokens map[string]int64

// HandOver takes tokens that the peer has no use for.
func (s *Service) HandOver(tokens Tokens, _ *struct{}) error {
	s.lender.Accept(tokens)
	return nil
}

// Known tells what this router knows.
func (s *Service) Known(_ KnownRequest, known *Known) error {
	*known = s.known()
	return nil
}

// Serve answers peers until the listener is closed.
func Serve(l net.Listener, lender Lender, known func() Known) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{lender: lender, known: known}); err != nil {
		return err
	}
	for {
		connection, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(connection)
	}
}
