package node

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against renamed fields or keys of the routers' entries, which routers of another version
// would not find.
func TestEntriesKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"keys " + MemberPrefix + " " + quarantine.RecordPrefix + " " + fleetPrefix + " " + BudgetPrefix,
		"router " + wireform.JSON(reflect.TypeFor[MemberRecord]()),
	})
}
