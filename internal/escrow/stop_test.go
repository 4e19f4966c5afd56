package escrow

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// lateStore executes a transaction after its caller has given up.
type lateStore struct {
	store.Store
	late store.Txn
}

func (s *lateStore) Commit(_ context.Context, txn store.Txn) (store.Result, error) {
	s.late = txn
	return store.Result{}, context.DeadlineExceeded
}

// receivingPeers count the tokens that are handed over.
type receivingPeers struct {
	noPeers
	received int64
}

func (p *receivingPeers) HandOver(_ context.Context, _ string, tokens map[string]int64) bool {
	for _, n := range tokens {
		p.received += n
	}
	return true
}

// Guards against tokens that are both handed over and returned: the write that returns them takes effect after its
// call has timed out and the records have been read again.
func TestTokensOfUnansweredReturnAreNotHandedOver(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	peers := &receivingPeers{}
	m := b.newManager("p1", peers)
	m.syncStore(context.Background(), true)
	shared := &lateStore{Store: b.store}
	m.opts.Store = shared
	c.Assert(m.ReturnGrants(context.Background()), qt.IsNotNil)
	c.Assert(m.readRecords(context.Background()), qt.IsTrue)
	m.HandOver(context.Background(), "other")
	_, err := b.store.Commit(context.Background(), shared.late)
	c.Assert(err, qt.IsNil)
	c.Assert(peers.received+1_000_000-b.accountRecord(c).TotalGranted() <= 1_000_000, qt.IsTrue, qt.Commentf("%d tokens handed over", peers.received))
}

// Guards against grants of many accounts of which some are neither returned nor handed over.
func TestGrantsOfThousandAccountsAreReturned(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	for i := range 1_000 {
		b.prepaid[fmt.Sprint("account-", i)] = 1_000_000
	}
	m := b.newManager("p1", noPeers{})
	for range 2 * len(b.prepaid) / maxTxnAccounts {
		m.syncStore(context.Background(), true)
	}
	c.Assert(m.ReturnGrants(context.Background()), qt.IsNil)
	snapshot, err := b.store.Read(context.Background(), "budget/account/")
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, len(b.prepaid))
	for _, item := range snapshot.Items {
		record, err := DecodeRecord(item.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(record.TotalGranted(), qt.Equals, int64(0), qt.Commentf("%s", item.Key))
	}
}
