package idempotency

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed field or state of a stored claim: a router of another version
// would run its request again.
func TestClaimsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"claim " + wireform.JSON(reflect.TypeFor[record]()),
		"state may run: " + string(running),
		"state answer kept: " + string(answered),
		"state answer too long: " + string(unkept),
		"state no answer: " + string(unclear),
	})
}
