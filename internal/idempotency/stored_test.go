package idempotency

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against renamed fields or states of stored claims: a router of another version would
// run the request again.
func TestClaimsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"claim " + wireform.JSON(reflect.TypeFor[record]()),
		"state may run: " + string(running),
		"state answer kept: " + string(answered),
		"state answer too long: " + string(answerTooLong),
		"state no answer: " + string(outcomeUnknown),
	})
}
