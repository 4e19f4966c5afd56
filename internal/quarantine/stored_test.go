package quarantine

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against renaming a field or key of the stored crashes, which routers of another version
// wouldn't find.
func TestCrashesKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"key " + RecordKey("router"),
		"record " + wireform.JSON(reflect.TypeFor[Record]()),
	})
}
