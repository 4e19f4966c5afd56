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

// BudgetFor gives the budget that a request draws on: of a service call when
// service is not empty, else of the model. It is false when the contract doesn't
// allow the request or no budget covers it.
func (c *Contract) BudgetFor(model id.Model, service id.Service) (id.Budget, bool) {
	if service != "" {
		return c.BudgetForService(service)
	}
	return c.BudgetForModel(model)
}

// BudgetForModel gives the budget that requests for the model draw on: the first
// that names the model, else the first that covers every model.
func (c *Contract) BudgetForModel(model id.Model) (id.Budget, bool) {
	if !c.AllowsModel(model) {
		return "", false
	}
	return chooseBudget(c.Budgets, model, func(b Budget) []id.Model { return b.Models })
}

// BudgetForService gives the budget that calls of the service draw on, by the
// same rule as BudgetForModel.
func (c *Contract) BudgetForService(service id.Service) (id.Budget, bool) {
	if !c.AllowsService(service) {
		return "", false
	}
	return chooseBudget(c.Budgets, service, func(b Budget) []id.Service { return b.Services })
}

func chooseBudget[T comparable](budgets []Budget, name T, covered func(Budget) []T) (id.Budget, bool) {
	general := id.Budget("")
	for _, budget := range budgets {
		names := covered(budget)
		if slices.Contains(names, name) {
			return budget.ID, true
		}
		if len(names) == 0 && general == "" {
			general = budget.ID
		}
	}
	return general, general != ""
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
