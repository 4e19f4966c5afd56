package node

import (
	"fmt"
	"testing"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// BenchmarkHolders is what ranking the routers of a large fleet for one account costs; a
// request asks for it some times.
func BenchmarkHolders(b *testing.B) {
	n := New(&Settings{VM: "vm-0", Peers: "peer-0", Capacity: 0.4}, Dialect{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	var items []store.Item
	for i := range 195 {
		record := fmt.Sprintf(`{"address":"a-%d","peer":"peer-%d","capacity":0.4}`, i, i)
		items = append(items, store.Item{Key: fmt.Sprintf("%svm-%d", MemberPrefix, i), Value: []byte(record)})
	}
	n.members.Reset(items, store.Silence{})
	b.Run("home", func(b *testing.B) {
		for b.Loop() {
			n.homeOf("account")
		}
	})
	b.Run("holders", func(b *testing.B) {
		for b.Loop() {
			n.holdersOf("account")
		}
	})
}
