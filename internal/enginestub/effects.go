package enginestub

import (
	"slices"
	"strings"
)

// Confirmation is the effect of calls to POST /confirm. Count above one means
// that a call which must not be repeated was.
type Confirmation struct {
	ID       string `json:"id"`
	Request  string `json:"request"` // of the last call
	BodyHash string `json:"body_hash"`
	Count    int    `json:"count"`
}

// ServiceRuns is the answer to GET /runs.
type ServiceRuns struct {
	Calls     int            `json:"calls"`
	ByRequest []Confirmation `json:"by_request"`
	ByBody    []Confirmation `json:"by_body"`
}

// Runs tells which effects there were.
func (s *Service) Runs() ServiceRuns {
	s.effects.Lock()
	defer s.effects.Unlock()
	return ServiceRuns{
		Calls:     s.calls,
		ByRequest: sorted(s.byRequest),
		ByBody:    sorted(s.byBody),
	}
}

func sorted(confirmations map[string]*Confirmation) []Confirmation {
	list := make([]Confirmation, 0, len(confirmations))
	for _, confirmation := range confirmations {
		list = append(list, *confirmation)
	}
	slices.SortFunc(list, func(a, b Confirmation) int {
		byRequest := strings.Compare(a.Request, b.Request)
		if byRequest != 0 {
			return byRequest
		}
		return strings.Compare(a.BodyHash, b.BodyHash)
	})
	return list
}

// confirm has the effect. A call that comes to this place after another one's
// crash has none: a dead process would not have had it either.
func (s *Service) confirm(id, request, bodyHash string) error {
	s.effects.Lock()
	defer s.effects.Unlock()
	if s.stopped {
		return ErrUnavailable
	}
	s.calls++
	count(s.byRequest, request, id, request, bodyHash)
	count(s.byBody, bodyHash, id, request, bodyHash)
	return nil
}

func count(confirmations map[string]*Confirmation, key, id, request, bodyHash string) {
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
