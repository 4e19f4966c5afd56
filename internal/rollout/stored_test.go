package rollout

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against renaming a field or key of the stored versions, which routers of another version
// wouldn't find.
func TestVersionsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"key " + Record{Service: "service"}.Key(),
		"record " + wireform.JSON(reflect.TypeFor[Record]()),
	})
}
