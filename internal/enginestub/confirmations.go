package enginestub

import (
	"slices"
	"strings"
)

// Confirmation is the effect of all calls to POST /confirm with the same request ID, or with
// the same body. A Count above one means that a
// non-idempotent call was repeated.
type Confirmation struct {
	ID       string `json:"id"`
	Request  string `json:"request"` // request ID of the last call
	BodyHash string `json:"body_hash"`
	Count    int    `json:"count"`
}

// ServiceRuns is the response to GET /runs.
type ServiceRuns struct {
	Calls     int            `json:"calls"`
	ByRequest []Confirmation `json:"by_request"`
	ByBody    []Confirmation `json:"by_body"`
}

// Runs returns the confirmations made so far.
func (s *Service) Runs() ServiceRuns {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceRuns{
		Calls:     s.calls,
		ByRequest: sortedConfirmations(s.byRequest),
		ByBody:    sortedConfirmations(s.byBody),
	}
}

func sortedConfirmations(confirmations map[string]*Confirmation) []Confirmation {
	list := make([]Confirmation, 0, len(confirmations))
	for _, confirmation := range confirmations {
		list = append(list, *confirmation)
	}
	slices.SortFunc(list, func(a, b Confirmation) int {
		order := strings.Compare(a.Request, b.Request)
		if order != 0 {
			return order
		}
		return strings.Compare(a.BodyHash, b.BodyHash)
	})
	return list
}

// confirm records the effect of a call. After a simulated crash it records nothing, as if the
// process had been killed.
func (s *Service) confirm(id, request, bodyHash string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return ErrUnavailable
	}
	s.calls++
	countConfirmation(s.byRequest, request, id, request, bodyHash)
	countConfirmation(s.byBody, bodyHash, id, request, bodyHash)
	return nil
}

func countConfirmation(confirmations map[string]*Confirmation, key, id, request, bodyHash string) {
	confirmation := confirmations[key]
	if confirmation == nil {
		confirmation = &Confirmation{}
		confirmations[key] = confirmation
	}
	confirmation.ID = id
	confirmation.Request = request
	confirmation.BodyHash = bodyHash
	confirmation.Count++
}
