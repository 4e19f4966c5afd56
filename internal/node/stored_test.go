package node

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed field or key of the routers' entries that routers of another
// version don't find.
func TestEntriesKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"keys " + MemberPrefix + " " + quarantinePrefix + " " + fleetPrefix + " " + BudgetPrefix,
		"router " + wireform.JSON(reflect.TypeFor[MemberRecord]()),
	})
}
