package rollout

import (
	"testing"

	"chicorytiller.example/chicorytiller/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, map[string]string{"rapid.checks": "300"})
}
