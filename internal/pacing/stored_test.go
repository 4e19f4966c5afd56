package pacing

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed field or key of the stored limits that routers of another
// version don't find.
func TestLimitsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"key " + Record{Incarnation: "server"}.Key(),
		"limit " + wireform.JSON(reflect.TypeFor[Record]()),
	})
}
