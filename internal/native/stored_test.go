package native

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// Guards against a renamed field or key of the operators' document and the backend
// servers' entries that programs of another version don't find.
func TestDocumentsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"keys " + ConfigPrefix + " " + ConfigKey + " " + EvacuatePrefix + " " + BackendsPrefix + " " + claimsPrefix,
		"document " + wireform.JSON(reflect.TypeFor[Document]()),
		"backend server " + wireform.JSON(reflect.TypeFor[BackendEntry]()),
	})
}
