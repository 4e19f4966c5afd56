package contract

import (
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// AllowsModel tells whether the account may ask for the model.
func (c *Contract) AllowsModel(model id.Model) bool {
	return slices.Contains(c.Models, model)
}

// AllowsService tells whether the account may call the service.
func (c *Contract) AllowsService(service id.Service) bool {
	return slices.Contains(c.Services, service)
}

// Deadline is the window within which an answer counts.
func (c *Contract) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// Timeout is how long one call of the service may take.
func (s *Service) Timeout() time.Duration {
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

// IsNonIdempotent tells whether a call must run at most once. callPath may carry
// a query.
//
// A caller could write the same path in another way ("//orders", "/%6frders",
// "/x/../orders"); were it compared literally, the call would count as
// idempotent, be retried after a broken connection, and run twice. So every
// reading of the path is compared, and one match is enough.
func (s *Service) IsNonIdempotent(method, callPath string) bool {
	if len(s.NonIdempotent) == 0 {
		return false
	}
	readings := pathReadings(callPath)
	for _, call := range s.NonIdempotent {
		callMethod, prefix, _ := strings.Cut(call, " ")
		if callMethod != "*" && !strings.EqualFold(callMethod, method) {
			continue
		}
		for _, reading := range readings {
			if strings.HasPrefix(reading, prefix) {
				return true
			}
		}
	}
	return false
}

func pathReadings(callPath string) []string {
	raw, _, _ := strings.Cut(callPath, "?")
	raw, _, _ = strings.Cut(raw, "#")
	readings := []string{raw, cleanPath(raw)}
	plain, err := url.PathUnescape(raw)
	if err != nil {
		return readings
	}
	return append(readings, plain, cleanPath(plain))
}

// cleanPath keeps a trailing slash, so that the prefix "/orders/" still matches.
func cleanPath(p string) string {
	clean := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}
