package node

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const validSettings = `[router]
vm = vm-1
failure_domain = zone-1
grace_s = 8
memory_mb = 284
seeds = 10.1.0.40:8229,10.2.0.29:8229
[listen]
callers = 10.1.0.40:8227
ready = 10.1.0.40:8220
directory = 10.1.0.40:8224
peers = 10.1.0.40:8229
metrics = 10.1.0.40:7340
[store]
address = 10.200.1.7:8223
drain_ms = 2000
[retries]
ratio = 0.2
extra = 54
window_s = 10
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.GracePeriod, qt.Equals, 8*time.Second)
	qt.Assert(t, s.DrainTime, qt.Equals, 2*time.Second)
	qt.Assert(t, s.SeedAddrs, qt.DeepEquals, []string{"10.1.0.40:8229", "10.2.0.29:8229"})
	qt.Assert(t, s.RetryExtra, qt.Equals, 54.0)
}

// The error for an invalid setting names its section and key.
func TestParseSettingsErrorNamesKey(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{"vm = vm-1", "", `[router] vm: missing`},
		{"ready = 10.1.0.40:8220", "ready = here", `[listen] ready: not IP:port: here`},
		{"grace_s = 8", "grace_s = -1", `[router] grace_s: not a number of zero or more: -1`},
		{"10.2.0.29:8229", "x", `[router] seeds: not IP:port: x`},
	} {
		_, err := ParseSettings([]byte(strings.Replace(validSettings, test.from, test.to, 1)))
		qt.Assert(t, err, qt.ErrorMatches, `.*`+strings.NewReplacer("[", `\[`, "]", `\]`).Replace(test.want)+`.*`)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseSettings(data) // must not panic
	})
}
