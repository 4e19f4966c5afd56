package peers

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/streams"
)

// BenchmarkStreamRecord measures the record of one stream at one holder, and the question for it.
func BenchmarkStreamRecord(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	listener := &countingListener{Listener: inner}
	b.Cleanup(func() { _ = inner.Close() })                                                // a failed close does not matter here
	go func() { _ = Serve(listener, &fakeLender{}, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	client := NewClient("a", nil, event.Discard(), linkdelay.New(nil))
	address := inner.Addr().String()
	for name, call := range map[string]func(i int) error{
		"keep": func(i int) error {
			return client.KeepStreams(b.Context(), address, []streams.Record{{Key: streams.KeyOf("model", string(rune(i))), Version: "v1.12"}})
		},
		"find": func(i int) error {
			_, _, err := client.FindStream(b.Context(), address, streams.KeyOf("model", string(rune(i))))
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			qt.Assert(b, call(0), qt.IsNil) // sends the types
			listener.sent.Store(0)
			listener.received.Store(0)
			b.ResetTimer()
			for i := range b.N {
				if err := call(i); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(listener.sent.Load()+listener.received.Load())/float64(b.N), "B/call")
		})
	}
}
