package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fixedseed"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

// configWithRoutes returns a configuration with n routes, which have random names.
func configWithRoutes(n int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	b.WriteString(`{"version":7,"routes":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","prefix":"/%x/","kind":"streaming","timeout_ms":8000,"answer_within_ms":800,"priority":0,"service":"s-%d","max_attempts":2}`,
			random.Uint32(), random.Uint32(), random.Uint64(), random.IntN(5))
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// countingListener counts the bytes that its connections send and receive.
type countingListener struct {
	net.Listener
	sent, received atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, sent: &l.sent, received: &l.received}, err
}

type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// An uncompressed configuration would occupy a small VM's link for longer than its reader waits.
func TestLargeAnswersAreCompressed(t *testing.T) {
	c := qt.New(t)
	config := configWithRoutes(1800)
	c.Assert(len(config) > 250_000, qt.IsTrue)
	memoryStore := memstore.New(nil)
	memoryStore.Put("a/config", config)
	feed := &store.Feed{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	follower := &store.Follower{Store: memoryStore, Prefix: "a/", Sink: discardSink{}, Feed: feed, MaxWait: time.Hour, CheckAfter: time.Hour, Timeout: time.Hour}
	go follower.Run(ctx)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := &countingListener{Listener: raw}
	defer func() { _ = listener.Close() }()                                                         // a failed close does not matter here
	go func() { _ = Serve(listener, &fakeLender{}, feedState{feed: feed}, event.Discard(), nil) }() // returns when the listener is closed
	client := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	var answer FollowAnswer
	for answer.Snapshot.At == 0 {
		answer, _ = client.Follow(ctx, raw.Addr().String(), FollowRequest{Prefix: "a/", All: true}) // until the feed has read
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(answer.Snapshot.Items, qt.HasLen, 1)
	c.Assert(string(answer.Snapshot.Items[0].Value), qt.Equals, string(config))
	c.Assert(listener.sent.Load() < int64(len(config))/2, qt.IsTrue, qt.Commentf("%d bytes of %d", listener.sent.Load(), len(config)))
}

// discardSink is a store.Sink that ignores everything.
type discardSink struct{}

func (discardSink) SetReachable(bool, error)           {}
func (discardSink) Reset([]store.Item, store.Silence)  {}
func (discardSink) Apply([]store.Event, store.Silence) {}

// Unpacking restores the content, whichever answers are in the packer's cache.
func TestPackRoundTrip(t *testing.T) {
	p := &packer{}
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		a := FollowAnswer{}
		for i := range rapid.IntRange(0, 40).Draw(t, "items") {
			item := store.Item{Key: fmt.Sprint("a/", i), Value: rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "value"),
				Revision: store.Revision(rapid.Int64Range(1, 1<<40).Draw(t, "revision"))}
			if rapid.Bool().Draw(t, "event") {
				a.Changes.Events = append(a.Changes.Events, store.Event{Item: item, Deleted: rapid.Bool().Draw(t, "deleted")})
			} else {
				a.Snapshot.Items = append(a.Snapshot.Items, item)
			}
		}
		items, events := fmt.Sprint(a.Snapshot.Items), fmt.Sprint(a.Changes.Events)
		c.Assert(p.pack(&a), qt.IsNil)
		c.Assert(a.unpack(), qt.IsNil)
		c.Assert(fmt.Sprint(a.Snapshot.Items), qt.Equals, items)
		c.Assert(fmt.Sprint(a.Changes.Events), qt.Equals, events)
	})
	qt.Assert(t, len(p.cache) <= maxCachedPacks, qt.IsTrue)
}

// A corrupt or truncated answer must not be taken for an empty one.
func TestUnpackCorruptAnswer(t *testing.T) {
	a := FollowAnswer{Snapshot: store.Snapshot{Items: []store.Item{{Key: "a/config", Value: configWithRoutes(500), Revision: 3}}}}
	qt.Assert(t, (&packer{}).pack(&a), qt.IsNil)
	qt.Assert(t, len(a.Packed.Data) > 0, qt.IsTrue)
	intact := a.Packed
	a.Packed.Data = append([]byte(nil), intact.Data...)
	a.Packed.Data[len(a.Packed.Data)/2] ^= 1
	qt.Assert(t, a.unpack(), qt.ErrorIs, ErrCorruptAnswer)
	truncated := packedAnswer(intact.Data[:len(intact.Data)/2])
	qt.Assert(t, truncated.unpack(), qt.ErrorIs, ErrCorruptAnswer)
	invalid := packedAnswer([]byte("no answer at all"))
	qt.Assert(t, invalid.unpack(), qt.ErrorIs, ErrCorruptAnswer)
}

func BenchmarkPack(b *testing.B) {
	content := packedContent{Items: []store.Item{{Key: "a/config", Value: configWithRoutes(1800), Revision: 3}}}
	b.ReportAllocs()
	for b.Loop() {
		packed, err := content.pack()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed.Data)), "bytes")
	}
}

// packedAnswer returns an answer with the given compressed data and its digest.
func packedAnswer(data []byte) *FollowAnswer {
	return &FollowAnswer{Packed: Packed{Data: data, Digest: xxhash.Sum64(data)}}
}
