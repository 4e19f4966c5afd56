package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/escrow"
)

// ErrUnreachable: a peer did not answer in time.
var ErrUnreachable = errors.New("peers: unreachable")

// ErrNotSent: no connection to a peer came about.
var ErrNotSent = errors.New("peers: not sent")

// Patience with peers. A caller waits for the outcome.
const (
	dialTimeout = 200 * time.Millisecond
	callTimeout = 250 * time.Millisecond
	// avoidFor keeps a peer that didn't answer from being asked again at once.
	avoidFor = 2 * time.Second
	// askedMost bounds the peers asked for one loan: in a large fleet a few hold
	// enough, and each costs a round trip.
	askedMost = 12
)

// Client asks peers. It is safe for concurrent use.
type Client struct {
	// addresses lists the other routers' addresses.
	addresses   func() []string
	incarnation string
	clock       Clock
	serial      atomic.Uint64

	mu        sync.Mutex
	clients   map[string]*rpc.Client
	avoided   map[string]time.Time
	answered  map[string]time.Time // when a peer's last answer came
	unsettled []unsettled
}

// unsettled is a transfer whose answer was lost: a loan to be voided, or a gift to
// be sent again.
type unsettled struct {
	address string
	since   time.Time
	loan    TransferID
	gift    *Gift // nil: a loan
}

// NewClient makes a client for a process; addresses lists the other routers as
// known now.
func NewClient(incarnation string, addresses func() []string, clock Clock) *Client {
	return &Client{incarnation: incarnation, addresses: addresses, clock: clock, clients: make(map[string]*rpc.Client), avoided: make(map[string]time.Time),
		answered: make(map[string]time.Time)}
}

// Borrow asks peers in random order until it has the tokens or ctx ends. It
// returns what it got, which may be less or nothing, and what the peers that were
// asked have used.
func (c *Client) Borrow(ctx context.Context, account string, tokens int64) (got, used int64) {
	addresses := c.addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	asked := 0
	for _, address := range addresses {
		if got >= tokens || asked == askedMost || ctx.Err() != nil {
			break
		}
		if c.avoiding(address) {
			continue
		}
		asked++
		loan, err := c.lend(ctx, address, account, tokens-got, noWaiter)
		if err != nil {
			continue // the peer is avoided now; others are asked
		}
		got += loan.Tokens
		used += loan.Used
	}
	return got, used
}

// BorrowFrom asks one peer, as a holder of the account, for tokens; the waiter names the
// request in its queue.
func (c *Client) BorrowFrom(ctx context.Context, address, account string, tokens int64, waiter string) escrow.Loan {
	if c.avoiding(address) {
		return escrow.Loan{Short: escrow.PeerUnreachable}
	}
	loan, err := c.lend(ctx, address, account, tokens, waiter)
	if err != nil {
		return escrow.Loan{Short: escrow.PeerUnreachable}
	}
	return escrow.Loan{Tokens: loan.Tokens, Used: loan.Used, Spent: loan.Spent, Short: loan.Short}
}

// noWaiter asks for what nobody waits for.
const noWaiter = ""

// lend asks for a loan. One whose answer is lost is not used, and voided later.
func (c *Client) lend(ctx context.Context, address, account string, tokens int64, waiter string) (Loan, error) {
	request := LoanRequest{ID: c.nextID(), Account: account, Tokens: tokens, Waiter: waiter, Clock: c.clock.Tick()}
	loan := Loan{}
	err := c.call(ctx, address, "Lend", request, &loan)
	if err == nil {
		c.clock.Observe(loan.Clock)
		return loan, nil
	}
	if !errors.Is(err, ErrNotSent) {
		c.settleLater(unsettled{address: address, since: time.Now(), loan: request.ID})
	}
	return Loan{}, err
}

func (c *Client) nextID() TransferID {
	return TransferID{Incarnation: c.incarnation, Serial: c.serial.Add(1)}
}

func (c *Client) settleLater(u unsettled) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = append(c.unsettled, u)
}

// Pace of the settling of transfers.
const (
	settleEvery = 500 * time.Millisecond
	// settleFor is how long a peer is tried: one that doesn't answer for so long
	// is gone, and what it held with it.
	settleFor = 30 * time.Second
)

// Run settles transfers whose answers were lost, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(settleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.settle(ctx)
		}
	}
}

func (c *Client) settle(ctx context.Context) {
	c.mu.Lock()
	due := c.unsettled
	c.unsettled = nil
	c.mu.Unlock()
	for _, u := range due {
		if time.Since(u.since) > settleFor {
			continue
		}
		if c.avoiding(u.address) || c.settleOne(ctx, u) != nil {
			c.settleLater(u)
		}
	}
}

func (c *Client) settleOne(ctx context.Context, u unsettled) error {
	if u.gift != nil {
		return c.call(ctx, u.address, "HandOver", *u.gift, &GiftAnswer{})
	}
	return c.call(ctx, u.address, "Void", u.loan, &struct{}{})
}

// HandOver gives tokens to a peer. It returns false only if the peer surely got
// none of them: no connection came about, or it refused them.
func (c *Client) HandOver(ctx context.Context, address string, tokens map[string]int64) bool {
	if c.avoiding(address) {
		return false
	}
	gift := Gift{ID: c.nextID(), Tokens: tokens, Clock: c.clock.Tick()}
	answer := GiftAnswer{}
	err := c.call(ctx, address, "HandOver", gift, &answer)
	if errors.Is(err, ErrNotSent) || err == nil && answer.Refused {
		return false
	}
	if err != nil {
		c.settleLater(unsettled{address: address, since: time.Now(), gift: &gift})
	}
	return true
}

// Known asks one peer for what it knows.
func (c *Client) Known(ctx context.Context, address string) (Known, error) {
	known := Known{}
	err := c.call(ctx, address, "Known", KnownRequest{}, &known)
	return known, err
}

func (c *Client) avoiding(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoided[address])
}

func (c *Client) call(ctx context.Context, address, method string, request, answer any) error {
	return c.callFor(ctx, callTimeout, address, method, request, answer)
}

// callFor makes a call whose answer may take some time. A peer that is silent for that long is
// avoided, and its connection dropped with all calls on it; so that needs to be the peer's
// fault. It is not if who asked has left, nor if the peer has answered a later call: each
// caller that leaves, or waits for tokens until its time is over, would keep all others from
// their account's home for seconds.
func (c *Client) callFor(ctx context.Context, patience time.Duration, address, method string, request, answer any) error {
	client, err := c.client(address)
	if err != nil {
		c.avoid(address, nil)
		return errors.Wrap(ErrNotSent, err.Error())
	}
	started := time.Now()
	silent := time.NewTimer(patience)
	defer silent.Stop()
	call := client.Go(serviceName+"."+method, request, answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			c.avoid(address, client)
			return errors.Wrap(ErrUnreachable, call.Error.Error())
		}
		c.noteAnswer(address)
		return nil
	case <-silent.C:
		if !c.answeredSince(address, started) {
			c.avoid(address, client)
		}
		return ErrUnreachable
	case <-ctx.Done():
		return ErrUnreachable
	}
}

func (c *Client) noteAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[address] = time.Now()
}

func (c *Client) answeredSince(address string, start time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered[address].After(start)
}

func (c *Client) client(address string) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.clients[address]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(connection)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.clients[address]; other != nil {
		_ = client.Close() // another goroutine was first; nothing was sent on this one
		return other, nil
	}
	c.clients[address] = client
	return client, nil
}

// CloseConnection drops the connection to a peer.
func (c *Client) CloseConnection(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.clients[address]; client != nil {
		delete(c.clients, address)
		_ = client.Close() // what waits on it fails
	}
}

// avoid notes that a peer failed, and drops its connection: it may be silent.
func (c *Client) avoid(address string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = time.Now().Add(avoidFor)
	if client != nil && c.clients[address] == client {
		delete(c.clients, address)
		_ = client.Close() // it has failed already
	}
}
