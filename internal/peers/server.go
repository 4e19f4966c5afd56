// Package peers implements the calls between routers: loans and transfers of granted tokens, the
// state that a router needs to start while the store is unreachable, and reading the store
// through another router.
package peers

import (
	"bufio"
	"net"
	"net/rpc"
	"time"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/inbound"
	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/streams"
	"chicorytiller.example/chicorytiller/internal/tunnel"
)

const serviceName = "Router"

// TransferID identifies a loan or a gift. It is unique among all routers and never reused.
type TransferID struct {
	Incarnation string // of the router that borrows or gives
	Serial      uint64
}

// Clock is the Lamport clock of this process's log. Messages carry its value, so that the logs of
// several routers can be merged in causal order even if the clocks of their VMs disagree.
type Clock interface {
	Tick() uint64
	Observe(remote uint64)
}

// LoanRequest asks for tokens of an account's budget.
type LoanRequest struct {
	ID      TransferID
	Account string
	Tokens  int64
	// Size is how many tokens the request needs in all. Some of them may be there already.
	Size int64
	// Waiter names the request in the account's queue. If it is empty, only tokens that no
	// queued request waits for are lent.
	Waiter string
	// Priority is that of the request that needs the tokens; 0 is the most urgent.
	Priority int
	Clock    uint64
}

// Loan is the answer to a LoanRequest; its fields are those of escrow.Loan. The lender counts the
// tokens as used.
type Loan struct {
	Tokens int64
	// Used is the number of tokens that the lender has spent, reserved or lent before, less those
	// that it borrowed.
	Used int64
	// Spent is the number of tokens that the lender has spent or lent, including this loan, less
	// those that it borrowed and those that it lent shortly before, which may be returned unused.
	Spent int64
	// Short is the reason why Tokens is less than was asked for.
	Short escrow.Shortage
	Clock uint64
}

// Gift contains granted tokens that a router no longer needs.
type Gift struct {
	ID     TransferID
	Tokens map[string]int64 // by account
	Clock  uint64
	// Age is the time since the gift was first sent; 0 if it is sent for the first time, and from older builds.
	Age time.Duration
}

// GiftAnswer is the answer to a Gift.
type GiftAnswer struct {
	// Refused: the peer took none of the tokens, and never will.
	Refused bool
	// Restarted: the peer has started after the gift was first sent. Its predecessor may have taken the tokens.
	Restarted bool
}

// KnownRequest asks for the state that a router needs to start.
type KnownRequest struct{}

// Known contains items of the store as the peer last read them.
type Known struct {
	// Limits are the records of the rates that backend servers announce.
	Limits []store.Item
	// Versions are the records of the services' admitted versions.
	Versions []store.Item
	// Crashes are the routers' reports of crashes of backend servers.
	Crashes []store.Item
	Config  []store.Item
	Servers []store.Item
	Members []store.Item
}

// Lender lends granted tokens to other routers and takes tokens from them.
type Lender interface {
	// Lend lends up to the requested number of tokens. If a request waits for them, Lend draws
	// tokens if needed.
	Lend(request escrow.LoanRequest) escrow.Loan
	// VoidLoan cancels a loan that the borrower did not receive.
	VoidLoan(account string, tokens int64)
	// Accept takes tokens that another router hands over. It returns false if it took none.
	Accept(tokens map[string]int64) bool
	// KeepRecords takes over budget records that another router wrote.
	KeepRecords(records []escrow.StoredRecord)
}

// StateSource provides the state that this router serves to its peers.
type StateSource interface {
	// Known returns the state that another router needs to start.
	Known() Known
	// Feed returns the feed of the store's items under a prefix, or nil if this router has none.
	Feed(prefix string) *store.Feed
	// KeepCrashes takes over reports of crashes of backend servers, as stored records.
	KeepCrashes(items []store.Item)
	// KeepStreams keeps records of streams that other routers relay.
	KeepStreams(records []streams.Record)
	// AcquirePermit grants or denies a permit to send a request to a fragile server.
	AcquirePermit(r permits.Request) permits.Answer
	// ReleasePermit takes a permit back.
	ReleasePermit(r permits.Release)
	// ReportRequests takes over another router's numbers of requests in progress at fragile servers.
	ReportRequests(r permits.Report)
	// FindStream returns the version at which a stream began, if this router knows it.
	FindStream(key streams.Key) (version string, found bool)
	// Explain returns what would become of a request now, and changes nothing.
	Explain(q explain.Query) (explain.Report, error)
}

// Service is the RPC service that peers call.
type Service struct {
	lender    Lender
	state     StateSource
	clock     Clock
	transfers *transfers
	startedAt time.Time
	packer    packer
}

// Lend lends tokens to the peer.
func (s *Service) Lend(request LoanRequest, loan *Loan) error {
	s.clock.Observe(request.Clock)
	defer func() { loan.Clock = s.clock.Tick() }()
	if s.transfers.isVoided(request.ID) {
		return nil // the borrower has given up on it
	}
	result := s.lender.Lend(escrow.LoanRequest{Account: request.Account, Tokens: request.Tokens, Size: request.Size, WaiterID: request.Waiter, Priority: request.Priority})
	loan.Tokens, loan.Used, loan.Spent, loan.Short = result.Tokens, result.Used, result.Spent, result.Short
	if !s.transfers.recordLoan(request.ID, request.Account, loan.Tokens) {
		s.lender.VoidLoan(request.Account, loan.Tokens)
		loan.Tokens = 0
	}
	return nil
}

// Void cancels a loan whose answer was lost. If the LoanRequest arrives only later, no tokens are
// lent for it.
func (s *Service) Void(id TransferID, _ *struct{}) error {
	if account, tokens := s.transfers.void(id); tokens > 0 {
		s.lender.VoidLoan(account, tokens)
	}
	return nil
}

// HandOver takes tokens that the peer no longer needs. It is idempotent.
func (s *Service) HandOver(gift Gift, answer *GiftAnswer) error {
	s.clock.Observe(gift.Clock)
	isNew, refused := s.transfers.recordGift(gift.ID)
	switch {
	case !isNew:
		answer.Refused = refused
	case gift.Age > 0 && gift.Age >= time.Since(s.startedAt):
		answer.Refused, answer.Restarted = true, true
	case !s.lender.Accept(gift.Tokens):
		s.transfers.refuseGift(gift.ID)
		answer.Refused = true
	}
	return nil
}

// Known returns the state that the peer needs to start.
func (s *Service) Known(_ KnownRequest, known *Known) error {
	*known = s.state.Known()
	return nil
}

// CrashReports are routers' reports of crashes of backend servers, as stored records.
type CrashReports struct {
	Items []store.Item
}

// KeepCrashes takes over the reports that the peer knows.
func (s *Service) KeepCrashes(request CrashReports, _ *struct{}) error {
	s.state.KeepCrashes(request.Items)
	return nil
}

// StreamRecords tells at which versions of servers' software streams began.
type StreamRecords struct {
	Records []streams.Record
}

// KeepStreams keeps the peer's records.
func (s *Service) KeepStreams(request StreamRecords, _ *struct{}) error {
	s.state.KeepStreams(request.Records)
	return nil
}

// StreamQuery asks where a stream began.
type StreamQuery struct {
	Key streams.Key
}

// StreamAnswer is the answer to a StreamQuery.
type StreamAnswer struct {
	Found   bool
	Version string
}

// FindStream tells at which version a stream began.
func (s *Service) FindStream(query StreamQuery, answer *StreamAnswer) error {
	answer.Version, answer.Found = s.state.FindStream(query.Key)
	return nil
}

// AcquirePermit grants or denies the peer a permit. It may take permits.MaxWait.
func (s *Service) AcquirePermit(request permits.Request, answer *permits.Answer) error {
	*answer = s.state.AcquirePermit(request)
	return nil
}

// ReleasePermit takes a permit of the peer back.
func (s *Service) ReleasePermit(release permits.Release, _ *struct{}) error {
	s.state.ReleasePermit(release)
	return nil
}

// ReportRequests takes over the peer's numbers of requests in progress.
func (s *Service) ReportRequests(report permits.Report, _ *struct{}) error {
	s.state.ReportRequests(report)
	return nil
}

// Explain tells what would become of a request at this router now.
func (s *Service) Explain(query explain.Query, report *explain.Report) (err error) {
	*report, err = s.state.Explain(query)
	return err
}

// TunnelServer serves connections that begin with tunnel.Prefix. r holds what was read of conn.
type TunnelServer interface {
	ServeConn(conn net.Conn, r *bufio.Reader)
}

// Serve answers peers until the listener is closed, and returns the listener's error.
func Serve(l net.Listener, lender Lender, state StateSource, clock Clock, tunnels TunnelServer) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{lender: lender, state: state, clock: clock, transfers: newTransfers(), startedAt: time.Now()}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go serveConn(conn, server, tunnels) // returns when the peer disconnects
	}
}

// messageConn is a connection whose messages are accounted for.
type messageConn struct {
	net.Conn
	messages *messageReader
}

func (c messageConn) Read(p []byte) (int, error) {
	return c.messages.Read(p)
}

// serveConn serves calls, or a tunnel if the connection begins as one does.
func serveConn(conn net.Conn, calls *rpc.Server, tunnels TunnelServer) {
	accounted, _ := conn.(*inbound.Conn)
	accounted.CountMessages()
	r := bufio.NewReader(conn)
	head, err := r.Peek(len(tunnel.Prefix))
	if err != nil {
		_ = conn.Close() // the peer closed it before it asked for anything
		return
	}
	if string(head) == tunnel.Prefix {
		accounted.Keep()
		tunnels.ServeConn(conn, r)
		return
	}
	calls.ServeConn(messageConn{Conn: conn, messages: &messageReader{conn: accounted, source: r}})
}
