package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/link"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/peer"
)

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchHandler answers each message as a router with nothing to tell does.
type benchHandler struct{}

func (benchHandler) PeerCall(_ context.Context, _, _ id.Router, msg any) (any, error) {
	switch msg := msg.(type) {
	case core.HoldBillsMsg:
		return core.HoldBillsReply{Results: make([]bill.HoldResult, len(msg.Bills))}, nil
	case core.RegisterKeyMsg:
		return core.RegisterKeyReply{Warm: true}, nil
	case core.HeartbeatMsg:
		return core.HeartbeatReply(msg), nil
	}
	return nil, nil
}

func (benchHandler) ReportPanic(string, any) {}

var (
	benchStart  = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	benchRouter = id.Router{VM: "karlin-entry-001", Incarnation: id.Incarnation(benchStart.UnixNano())}
)

func benchMessages() map[string]any {
	key := dedup.Hash("boatyard", "1")
	request := id.Request("req-" + string(key))
	bills := make([]bill.Bill, 10)
	for i := range bills {
		bills[i] = bill.Bill{Request: request, Account: "boatyard", Budget: "boatyard-2026", Router: benchRouter,
			Attempt: id.Attempt(request + ".karlin-entry-001-x-1"), Backend: "engine-17", Key: key, BodyHash: 1 << 60,
			Usage: backend.Usage{PromptTokens: 300, CompletionTokens: 356}, Tokens: 656, At: benchStart}
	}
	heartbeat := member.Heartbeat{Count: 1 << 20, Sender: member.Info{Router: benchRouter, FailureDomain: "karlin", Region: "prague",
		CallerAddress: "10.0.0.1:8080", LinkAddress: "10.0.0.1:8082", State: member.Serving, Witness: benchRouter}}
	full := heartbeat
	for i := range 96 {
		full.Heard = append(full.Heard, member.Digest(1<<31+i))
		full.Ages = append(full.Ages, uint8(i))
	}
	return map[string]any{
		"bills=1":           core.HoldBillsMsg{Bills: bills[:1]},
		"bills=10":          core.HoldBillsMsg{Bills: bills},
		"register":          core.RegisterKeyMsg{Entry: dedup.Entry{Key: key, Request: request, Serving: benchRouter, Serial: 1, BodyHash: 1 << 60, At: benchStart}},
		"heartbeat/heard=0": core.HeartbeatMsg{Heartbeat: heartbeat}, "heartbeat/heard=96": core.HeartbeatMsg{Heartbeat: full},
	}
}

// BenchmarkCall is one call between two routers over loopback: its time, and the
// bytes of the message and its reply, without the headers of TCP and IP.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	keys, err := link.NewKeyring([]byte("the-key-of-a-benchmark-0123456789abcdef"))
	if err != nil {
		b.Fatal(err)
	}
	bytes := new(atomic.Int64)
	address := listener.Addr().String()
	cfg := link.Config{Address: address, Self: func() id.Router { return benchRouter }, Keys: keys}
	server := link.NewServer(cfg)
	if err := peer.Register(server, benchHandler{}); err != nil {
		b.Fatal(err)
	}
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(countedListener{listener, bytes}) })
	pool := link.NewPool(cfg)
	b.Cleanup(func() { _ = pool.Close(); _ = server.Close(); serving.Wait() })
	caller := peer.NewCaller(pool)
	for name, msg := range benchMessages() {
		b.Run(name, func(b *testing.B) {
			call := func() {
				if _, err := caller.Call(context.Background(), address, id.Router{}, msg); err != nil {
					b.Fatal(fmt.Errorf("%s: %w", name, err))
				}
			}
			call()
			before := bytes.Load()
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B-on-wire/op")
		})
	}
}
