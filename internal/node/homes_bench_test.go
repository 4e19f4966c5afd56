package node

import "testing"

// BenchmarkHolderAddresses measures the lookup of an account's holders in a large fleet, which a
// request does several times.
func BenchmarkHolderAddresses(b *testing.B) {
	n, _ := newUniformFleet(195)
	b.Run("home", func(b *testing.B) {
		for b.Loop() {
			n.homeAddress("account")
		}
	})
	b.Run("holders", func(b *testing.B) {
		for b.Loop() {
			n.holderAddresses("account")
		}
	})
}
