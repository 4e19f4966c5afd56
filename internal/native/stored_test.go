package native

import (
	"reflect"
	"testing"

	"chicorytiller.example/chicorytiller/internal/wireform"
)

// A program of another version would not find a renamed field or key of the operators'
// document and the backend servers' entries.
func TestDocumentsKeepTheirStoredForm(t *testing.T) {
	wireform.Compare(t, "stored.golden", []string{
		"keys " + ConfigPrefix + " " + ConfigKey + " " + EvacuatePrefix + " " + BackendsPrefix + " " + claimsPrefix,
		"document " + wireform.JSON(reflect.TypeFor[Document]()),
		"backend server " + wireform.JSON(reflect.TypeFor[BackendEntry]()),
	})
}
