package callers

import (
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/forward"
)

// A cause without a status code would break the caller's connection instead of refusing the request.
func TestEveryCauseHasStatusCode(t *testing.T) {
	source, err := os.ReadFile("../forward/refusal.go")
	qt.Assert(t, err, qt.IsNil)
	causes := regexp.MustCompile(`Cause = "([a-z_]+)"`).FindAllSubmatch(source, -1)
	qt.Assert(t, len(causes) > 20, qt.IsTrue, qt.Commentf("%d causes found", len(causes)))
	for _, cause := range causes {
		qt.Check(t, StatusCode(forward.Cause(cause[1])) >= 400, qt.IsTrue, qt.Commentf("%s", cause[1]))
	}
}
