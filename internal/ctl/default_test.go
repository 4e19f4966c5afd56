package ctl

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/settings"
)

// An operator on an entry VM runs chicoryctl without options. With another port
// here than in the router's settings, no router is reached.
func TestDefaultURLIsTheRoutersDefault(t *testing.T) {
	qt.Assert(t, defaultURL, qt.Equals, "http://"+settings.Defaults().Operators.Listen.String())
}
