// Package httphead refuses heads of responses that net/http accepts although they are none of HTTP/1.x.
package httphead

import (
	"net/http"

	"github.com/pkg/errors"
)

// Range of valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the head of a response is none of HTTP/1.x.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Errorf("response with status %03d", response.StatusCode)
	}
	return nil
}
