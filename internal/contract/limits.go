package contract

import (
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// AllowsModel reports whether the account may use the model.
func (c *Contract) AllowsModel(model id.Model) bool {
	return slices.Contains(c.Models, model)
}

// AllowsService reports whether the account may call the service.
func (c *Contract) AllowsService(service id.Service) bool {
	return slices.Contains(c.Services, service)
}

// Deadline returns the time limit for an answer, from the arrival of its request.
func (c *Contract) Deadline() time.Duration {
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// Timeout returns the time limit for one call of the service.
func (s *Service) Timeout() time.Duration {
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

// IsNonIdempotent reports whether a call must run at most once. callPath may include
// a query.
//
// The same path can be written in several ways ("//orders", "/%6frders",
// "/x/../orders"). With a literal comparison such a call would count as idempotent,
// be retried after a broken connection and run twice. So all forms of the path are
// compared, and one match suffices.
func (s *Service) IsNonIdempotent(method, callPath string) bool {
	if len(s.NonIdempotent) == 0 {
		return false
	}
	paths := equivalentPaths(callPath)
	for _, call := range s.NonIdempotent {
		callMethod, prefix, _ := strings.Cut(call, " ")
		if callMethod != "*" && !strings.EqualFold(callMethod, method) {
			continue
		}
		for _, p := range paths {
			if strings.HasPrefix(p, prefix) {
				return true
			}
		}
	}
	return false
}

// equivalentPaths returns the path as written, cleaned and unescaped, without its query.
func equivalentPaths(callPath string) []string {
	raw, _, _ := strings.Cut(callPath, "?")
	raw, _, _ = strings.Cut(raw, "#")
	paths := []string{raw, cleanPath(raw)}
	unescaped, err := url.PathUnescape(raw)
	if err != nil {
		return paths
	}
	return append(paths, unescaped, cleanPath(unescaped))
}

// cleanPath makes p absolute and applies path.Clean, but keeps a trailing slash so that the
// prefix "/orders/" still matches.
func cleanPath(p string) string {
	clean := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	return clean
}
