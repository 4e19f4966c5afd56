package router

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/link"
	"chicorytiller.example/chicorytiller/internal/peer"
)

// adopter answers AdoptMsg with the number of bills it got.
type adopter struct{ bills chan int }

func (a adopter) PeerCall(_ context.Context, _, _ id.Router, msg any) (any, error) {
	a.bills <- len(msg.(core.AdoptMsg).Recent)
	return core.AdoptReply{}, nil
}

func (adopter) ReportPanic(string, any) {}

// A router that has answered 20,000 keyed requests within the retention loses its
// witness and takes another. All of these bills go along in one message. Over the
// link's own default bound the call fails, the router has no witness for good, and
// none of its answers can be ended any more.
func TestChangeOfWitnessFitsOneMessage(t *testing.T) {
	c := qt.New(t)
	keys, err := link.NewKeyring([]byte("the-key-of-a-test-0123456789abcdef"))
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	cfg := withLinkBounds(link.Config{Address: listener.Addr().String(), Keys: keys, WriteTimeout: time.Minute})
	server, pool := link.NewServer(cfg), link.NewPool(cfg)
	witness := adopter{bills: make(chan int, 1)}
	c.Assert(peer.Register(server, witness), qt.IsNil)
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	defer serving.Wait()
	defer server.Close()
	defer pool.Close()

	const bills = 20_000
	msg := core.AdoptMsg{Epoch: 1}
	for i := range bills {
		key := dedup.Hash("boatyard", fmt.Sprint(i))
		msg.Recent = append(msg.Recent, bill.Bill{Request: id.Request("req-" + key), Account: "boatyard", Budget: "boatyard-2026",
			Key: key, Attempt: id.Attempt("req-" + key + ".entry-1-dnainiomjpvt-1"), Backend: "engine-1", Tokens: 100, At: time.Unix(int64(i), 0)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = peer.NewCaller(pool).Call(ctx, listener.Addr().String(), id.Router{}, msg)
	c.Assert(err, qt.IsNil)
	c.Assert(<-witness.bills, qt.Equals, bills)
}
