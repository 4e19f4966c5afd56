package member

import (
	"testing"

	"chicorytiller.example/chicorytiller/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, nil)
}
