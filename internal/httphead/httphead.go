// Package httphead rejects malformed response heads that net/http accepts.
package httphead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Range of valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the head of a response violates HTTP/1.x, or switches to another protocol, which a request
// without Upgrade doesn't ask for.
func Check(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Errorf("response in %s", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return errors.Errorf("response with status %03d", response.StatusCode)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("response switches to another protocol")
	case strings.ContainsFunc(response.Status, isControl):
		return errors.New("response with control byte in reason phrase")
	}
	return CheckFieldNames(response.Header)
}

// isControl reports whether r is a control character that no reason phrase contains.
func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == '\x7f'
}

// CheckFieldNames returns an error if the name of a field contains a space, the one invalid byte that net/http accepts
// there. The space hides the field's meaning, for example that it states the length of the body.
func CheckFieldNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errors.Errorf("response with space in field name %.40q", name)
		}
	}
	return nil
}
