package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/tasks"
)

// ErrUnreachable: a peer did not answer in time, or its connection failed. It may have run the
// call.
var ErrUnreachable = errors.New("peers: unreachable")

// ErrOverdue: a peer did not answer in time, and the answer is still waited for.
var ErrOverdue = errors.Wrap(ErrUnreachable, "answer overdue")

// ErrNotSent: a peer could not be connected to; it has not run the call.
var ErrNotSent = errors.New("peers: not sent")

// ErrDialTimeout: a peer could not be connected to in time; it has not run the call.
var ErrDialTimeout = errors.Wrap(ErrNotSent, "connecting timed out")

// ErrNotServed: a peer answered that it can't serve the call, as routers of an older version do.
var ErrNotServed = errors.New("peers: not served")

// Time limits of calls to peers. They are short because the caller of a request waits meanwhile.
const (
	dialTimeout = 200 * time.Millisecond
	callTimeout = 250 * time.Millisecond
	// maxDialTimeout and maxCallTimeout apply while this VM's link is full.
	maxDialTimeout = 800 * time.Millisecond
	maxCallTimeout = 900 * time.Millisecond
	// peerBackoff is how long a peer that failed is not called again.
	peerBackoff = 2 * time.Second
	// maxLoanPeers bounds how many peers Borrow asks: each costs a round trip, and in a large
	// fleet a few peers hold enough tokens.
	maxLoanPeers = 12
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	addresses   func() []string
	incarnation string
	clock       Clock
	link        *linkdelay.Estimator
	lastSerial  atomic.Uint64
	lateAnswers tasks.Group // wait for overdue answers
	takeBack    func(tokens map[string]int64) bool

	mu           sync.Mutex
	connections  map[string]*rpc.Client // this and the next two by peer address
	backoffUntil map[string]time.Time
	lastAnswer   map[string]time.Time
	pending      []pendingTransfer
}

// pendingTransfer is a transfer whose answer was lost: a loan to be voided, or a gift to be sent
// again.
type pendingTransfer struct {
	address string
	since   time.Time // when it was first sent, or the loan's answer was lost
	loanID  TransferID
	gift    *Gift // nil for a loan
}

// NewClient returns a client for the process with the given incarnation. addresses returns the
// current addresses of the other routers. The client reports to link how long calls took.
func NewClient(incarnation string, addresses func() []string, clock Clock, link *linkdelay.Estimator) *Client {
	return &Client{incarnation: incarnation, addresses: addresses, clock: clock, link: link, connections: make(map[string]*rpc.Client), backoffUntil: make(map[string]time.Time),
		lastAnswer: make(map[string]time.Time)}
}

// OnReturnedTokens sets what takes the tokens, by account, of loans that arrive after BorrowFrom or Borrow
// has given up on them, and of gifts that turn out to be refused; it returns false if it took none. It must be
// set before the first call.
func (c *Client) OnReturnedTokens(accept func(tokens map[string]int64) bool) {
	c.takeBack = accept
}

// Borrow asks peers for tokens in random order until it has enough or ctx ends. It returns the
// number of tokens that it got, which may be less than asked for or zero, and the number that
// the peers that answered have used.
func (c *Client) Borrow(ctx context.Context, account string, tokens int64) (got, used int64) {
	addresses := c.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	asked := 0
	for _, address := range addresses {
		if got >= tokens || asked == maxLoanPeers || ctx.Err() != nil {
			break
		}
		if c.inBackoff(address) {
			continue
		}
		asked++
		loan, err := c.lend(ctx, address, escrow.LoanRequest{Account: account, Tokens: tokens - got, WaiterID: noWaiter})
		if err != nil {
			continue // the next peer is asked
		}
		got += loan.Tokens
		used += loan.Used
	}
	return got, used
}

// BorrowFrom asks one holder of the account's budget for tokens.
func (c *Client) BorrowFrom(ctx context.Context, address string, request escrow.LoanRequest) escrow.Loan {
	if c.inBackoff(address) {
		return escrow.Loan{Short: escrow.PeerUnreachable}
	}
	loan, err := c.lend(ctx, address, request)
	if err != nil {
		return escrow.Loan{Short: escrow.PeerUnreachable}
	}
	return escrow.Loan{Tokens: loan.Tokens, Used: loan.Used, Spent: loan.Spent, Short: loan.Short}
}

// noWaiter is the waiter ID of a loan without a place in the peer's queue: the peer lends only
// tokens that no queued request waits for.
const noWaiter = ""

// lend asks for a loan. A loan that arrives late is passed on to takeBack. One whose answer is lost
// is not used; it is voided later.
func (c *Client) lend(ctx context.Context, address string, request escrow.LoanRequest) (Loan, error) {
	message := LoanRequest{ID: c.nextID(), Account: request.Account, Tokens: request.Tokens, Size: request.Size, Waiter: request.WaiterID,
		Priority: request.Priority, Clock: c.clock.Tick()}
	loan := Loan{}
	void := func() {
		c.addPending(pendingTransfer{address: address, since: time.Now(), loanID: message.ID})
	}
	late := func(answered bool) {
		if !answered || !c.takeLateLoan(request.Account, loan) {
			void()
		}
	}
	err := c.call(ctx, address, "Lend", message, &loan, late)
	switch {
	case err == nil:
		c.clock.Observe(loan.Clock)
		return loan, nil
	case !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrOverdue):
		void()
	}
	return Loan{}, err
}

// takeLateLoan passes on the tokens of a loan that was given up. It returns false if they must be
// voided. Otherwise a router on a full link would take the tokens of many requests from the lender,
// which gets them back only when the link lets the void through, or never if the router dies.
func (c *Client) takeLateLoan(account string, loan Loan) bool {
	c.clock.Observe(loan.Clock)
	if loan.Tokens == 0 {
		return true
	}
	return c.takeBack != nil && c.takeBack(map[string]int64{account: loan.Tokens})
}

func (c *Client) nextID() TransferID {
	return TransferID{Incarnation: c.incarnation, Serial: c.lastSerial.Add(1)}
}

func (c *Client) addPending(t pendingTransfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, t)
}

// Retries of pending transfers.
const (
	settleInterval = 500 * time.Millisecond
	// settleTimeout is how long a transfer is retried: a peer that doesn't answer for so long is
	// gone, and so are the tokens that it held.
	settleTimeout = 30 * time.Second
)

// Run settles transfers whose answers were lost. It returns when ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.lateAnswers.Close()
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.settlePending(ctx)
		}
	}
}

func (c *Client) settlePending(ctx context.Context) {
	c.mu.Lock()
	transfers := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, t := range transfers {
		if time.Since(t.since) > settleTimeout {
			continue
		}
		if c.inBackoff(t.address) || c.settle(ctx, t) != nil {
			c.addPending(t)
		}
	}
}

func (c *Client) settle(ctx context.Context, t pendingTransfer) error {
	if t.gift != nil {
		return c.repeatGift(ctx, t)
	}
	return c.call(ctx, t.address, "Void", t.loanID, &struct{}{}, ignoreLate)
}

// repeatGift sends a gift again. If the peer refused it, the tokens come back; if the peer has restarted since it was first sent,
// they may have been spent, and are lost.
func (c *Client) repeatGift(ctx context.Context, t pendingTransfer) error {
	gift, answer := *t.gift, GiftAnswer{}
	gift.Age = time.Since(t.since)
	if err := c.call(ctx, t.address, "HandOver", gift, &answer, ignoreLate); err != nil {
		return err
	}
	if answer.Refused && !answer.Restarted && c.takeBack != nil {
		c.takeBack(gift.Tokens) // refused only while this router stops; then the tokens are lost
	}
	return nil
}

// HandOver gives tokens to a peer. It returns false only if the peer certainly got none of them:
// it could not be connected to, or it refused them.
func (c *Client) HandOver(ctx context.Context, address string, tokens map[string]int64) bool {
	if c.inBackoff(address) {
		return false
	}
	gift := Gift{ID: c.nextID(), Tokens: tokens, Clock: c.clock.Tick()}
	sentAt := time.Now()
	answer := GiftAnswer{}
	err := c.call(ctx, address, "HandOver", gift, &answer, ignoreLate)
	if errors.Is(err, ErrNotSent) || err == nil && answer.Refused {
		return false
	}
	if err != nil {
		c.addPending(pendingTransfer{address: address, since: sentAt, gift: &gift})
	}
	return true
}

// Known asks a peer for the state that a router needs to start.
func (c *Client) Known(ctx context.Context, address string) (Known, error) {
	known := Known{}
	if err := c.call(ctx, address, "Known", KnownRequest{}, &known, nil); err != nil {
		return Known{}, err // the answer may still arrive in known
	}
	return known, nil
}

func (c *Client) inBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[address])
}

// ignoreLate is for small calls whose late answer only shows that the peer is alive.
func ignoreLate(bool) {}

// call makes a call with the usual timeout; see callWithTimeout.
func (c *Client) call(ctx context.Context, address, method string, request, answer any, late func(answered bool)) error {
	timeout := c.link.Timeout(callTimeout, maxCallTimeout)
	started := time.Now()
	err := c.callWithTimeout(ctx, timeout, address, method, request, answer, late)
	c.observe(time.Since(started), err == nil, timeout)
	return err
}

// observe tells the estimator of the link's delay how long an exchange took that had the given time.
func (c *Client) observe(took time.Duration, answered bool, timeout time.Duration) {
	switch {
	case answered:
		c.link.Observe(took)
	case took >= timeout:
		c.link.ObserveTimeout(took)
	}
}

// callWithTimeout makes a call that may take up to timeout. If the call fails or the peer does not
// answer in time, the peer is put in backoff and its connection is closed, which fails all other
// calls on it; if it is only late, the connection stays and the backoff ends with its answer. That
// is not done if ctx ended, or if the peer has answered another call since this one began: a
// request whose caller disconnects, or that waits for tokens until its deadline, would otherwise
// cut all other requests off from this peer for seconds.
//
// If late is not nil and the call is given up without an outcome, the error is ErrOverdue, and late
// is called once: when the answer has arrived, or when it is no longer waited for. If late is nil,
// the peer's connection is closed at once.
func (c *Client) callWithTimeout(ctx context.Context, timeout time.Duration, address, method string, request, answer any, late func(answered bool)) error {
	client, err := c.connect(address)
	if err != nil {
		c.recordFailure(address, nil)
		if os.IsTimeout(err) {
			return ErrDialTimeout
		}
		return errors.Wrap(ErrNotSent, err.Error())
	}
	started := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	call := client.Go(serviceName+"."+method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if errors.As(call.Error, new(rpc.ServerError)) {
			c.recordAnswer(address)
			return errors.Wrap(ErrNotServed, call.Error.Error())
		}
		if call.Error != nil {
			c.recordFailure(address, client)
			return errors.Wrap(ErrUnreachable, call.Error.Error())
		}
		c.recordAnswer(address)
		return nil
	case <-timer.C:
		return c.giveUpSilent(address, client, call, started, late)
	case <-ctx.Done():
		return c.giveUp(address, client, call, started, false, late)
	}
}

// giveUpSilent gives up a call that was not answered in time. A follower's answer may be large:
// its connection is closed, or the rest of it would come beside the next answer.
func (c *Client) giveUpSilent(address string, client *rpc.Client, call *rpc.Call, started time.Time, late func(answered bool)) error {
	if c.answeredSince(address, started) {
		return c.giveUp(address, client, call, started, false, late)
	}
	if late == nil {
		c.recordFailure(address, client)
		return ErrUnreachable
	}
	return c.giveUp(address, client, call, started, c.startBackoff(address), late)
}

// giveUp returns the error of a call without an outcome. If late is not nil, the outcome is waited for
// in the background; suspected means that the peer is taken for dead if there is none.
func (c *Client) giveUp(address string, client *rpc.Client, call *rpc.Call, started time.Time, suspected bool, late func(answered bool)) error {
	if late == nil {
		return ErrUnreachable
	}
	waiting := c.lateAnswers.Go(func() {
		answered := c.awaitLateAnswer(address, call, started)
		if !answered && suspected {
			c.recordFailure(address, client)
		}
		late(answered)
	})
	if !waiting {
		late(false)
	}
	return ErrOverdue
}

// lateAnswerTimeout is how long an answer that is overdue is still waited for.
const lateAnswerTimeout = time.Second

// awaitLateAnswer reports whether an overdue call is answered after all. It ends the backoff of the
// peer then: on a full link answers are late, and a backoff of seconds would cost all requests that
// need tokens.
func (c *Client) awaitLateAnswer(address string, call *rpc.Call, started time.Time) bool {
	timer := time.NewTimer(lateAnswerTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
	case <-timer.C:
		return false
	}
	if call.Error != nil {
		return false
	}
	c.link.Observe(time.Since(started))
	c.recordAnswer(address)
	c.endBackoff(address)
	return true
}

// startBackoff puts a peer in backoff. It returns false if the peer is already in backoff.
func (c *Client) startBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.backoffUntil[address]) {
		return false
	}
	c.backoffUntil[address] = now.Add(peerBackoff)
	return true
}

func (c *Client) endBackoff(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.backoffUntil, address)
}

func (c *Client) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswer[address] = time.Now()
}

func (c *Client) answeredSince(address string, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer[address].After(t)
}

// connect returns the open connection to a peer or a new one.
func (c *Client) connect(address string) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.connections[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	started := time.Now()
	timeout := c.link.Timeout(dialTimeout, maxDialTimeout)
	connection, err := net.DialTimeout("tcp", address, timeout)
	c.observe(time.Since(started), err == nil, timeout)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(connection)
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.connections[address]; existing != nil {
		_ = client.Close() // another goroutine connected first; nothing was sent on this one
		return existing, nil
	}
	c.connections[address] = client
	return client, nil
}

// CloseConnection closes the connection to a peer, if there is one. Calls under way on it fail.
func (c *Client) CloseConnection(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.connections[address]; client != nil {
		delete(c.connections, address)
		_ = client.Close()
	}
}

// recordFailure puts a peer in backoff and closes the connection, which may be dead.
func (c *Client) recordFailure(address string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = time.Now().Add(peerBackoff)
	if client != nil && c.connections[address] == client {
		delete(c.connections, address)
		_ = client.Close() // the connection has failed already
	}
}
