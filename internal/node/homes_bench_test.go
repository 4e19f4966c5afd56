package node

import "testing"

// BenchmarkHolderAddresses is what it costs to name an account's holders in a large fleet; a request
// asks for them some times.
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
