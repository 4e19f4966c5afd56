package escrow

import (
	"fmt"
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed field, key or value: routers and operators' tools of other
// versions could not read the stored records any more.
func TestRecordsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		fmt.Sprintf("format %d", recordFormat),
		"keys " + AccountKeyPrefix + " " + ledgerKeyPrefix + " " + contactKeyPrefix,
		"record " + wireform.JSON(reflect.TypeFor[Record]()),
		"ledger " + wireform.JSON(reflect.TypeFor[Ledger]()),
		"statement " + wireform.JSON(reflect.TypeFor[Statement]()),
		"state in contact: " + string(HolderInContact),
		"state replaced: " + string(HolderReplaced),
		"state silent: " + string(HolderSilent),
		"judged by steady clock: " + string(BasisSteadyClock),
		"judged by contact lease: " + string(BasisContactLease),
		"judged by time of day: " + string(BasisTimeOfDay),
		"judged by grant: " + string(BasisGrant),
	})
}
