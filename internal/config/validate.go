package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// SettingCheck tells what is wrong with a setting's value, or nil.
type SettingCheck func(name string, body json.RawMessage) error

// entryFor checks a change whole against the state and gives the entry that
// accepts it, still without Revision and At. The error is *Invalid, *Conflict
// or *ChangeIDReused.
func (s *State) entryFor(c Change, checkSetting SettingCheck) (Entry, error) {
	if err := checkEnvelope(c); err != nil {
		return Entry{}, &Invalid{Key: c.Key(), Reason: err}
	}
	current := s.meta[c.Key()].Revision
	if c.IfMatch != AnyRevision && c.IfMatch != current {
		return Entry{}, &Conflict{Key: c.Key(), IfMatch: c.IfMatch, Current: current}
	}
	body, err := s.checkBody(c, checkSetting)
	if err != nil {
		return Entry{}, &Invalid{Key: c.Key(), Reason: err}
	}
	return Entry{Kind: c.Kind, Name: c.Name, Body: body, Deleted: c.Delete,
		Author: c.Author, ChangeID: c.ChangeID, Previous: current}, nil
}

func checkEnvelope(c Change) error {
	if !slices.Contains(Kinds, c.Kind) {
		return errors.Errorf("kind must be one of %v, not %q", Kinds, c.Kind)
	}
	if !contract.ValidName(c.Name) {
		return errors.Errorf("name %q must be 1 to %d letters, digits, '.', '_', ':' or '-'", c.Name, contract.MaxNameBytes)
	}
	if c.ChangeID == "" || len(c.ChangeID) > maxChangeIDBytes {
		return errors.Errorf("change id must be 1 to %d bytes", maxChangeIDBytes)
	}
	if len(c.Author) > maxAuthorBytes {
		return errors.Errorf("author must be at most %d bytes", maxAuthorBytes)
	}
	if len(c.Body) > MaxBodyBytes {
		return errors.Errorf("body has %d bytes, at most %d are allowed", len(c.Body), MaxBodyBytes)
	}
	return nil
}

// checkBody gives the body in the form that is stored.
func (s *State) checkBody(c Change, checkSetting SettingCheck) (json.RawMessage, error) {
	if c.Delete {
		return nil, s.checkDelete(c.Key())
	}
	object, err := decodeBody(c.Kind, c.Body, refuseUnknownFields)
	if err != nil {
		return nil, errors.Errorf("body is not a %s: %s", c.Kind, err)
	}
	name, err := nameAndFaults(object, c.Name)
	if err != nil {
		return nil, err
	}
	if name != c.Name {
		return nil, errors.Errorf("body names %q, the change is about %q", name, c.Name)
	}
	if err := s.checkReferences(object); err != nil {
		return nil, err
	}
	if c.Kind == KindSetting && checkSetting != nil {
		if err := checkSetting(c.Name, c.Body); err != nil {
			return nil, err
		}
	}
	return marshalBody(object)
}

// checkReferences holds an object against the others: what it names must exist,
// and what must be unique over the fleet must be.
func (s *State) checkReferences(object any) error {
	var faults []contract.Fault
	label := ""
	switch object := object.(type) {
	case *contract.Contract:
		label = fmt.Sprintf("contract %q", object.Account)
		faults = append(faults, missing(s.Models, "models", object.Models)...)
		faults = append(faults, missing(s.Services, "services", object.Services)...)
		faults = append(faults, s.takenKeys(object)...)
		faults = append(faults, s.takenBudgets(object)...)
	case *contract.BackendServer:
		label = fmt.Sprintf("backend server %q", object.ID)
		faults = append(faults, missing(s.Models, "models", object.Models)...)
		if object.Kind == contract.KindService {
			faults = append(faults, missing(s.Services, "service", []id.Service{object.Service})...)
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &contract.ValidationError{Object: label, Faults: faults}
}

func missing[K ~string, V any](known map[K]V, field string, names []K) []contract.Fault {
	var faults []contract.Fault
	for _, name := range names {
		if _, found := known[name]; !found {
			faults = append(faults, contract.Fault{Field: field, Want: "configured already", Got: fmt.Sprintf("%q", name)})
		}
	}
	return faults
}

// takenKeys: two accounts with one key would make it a matter of chance whose
// budget a caller's request draws on.
func (s *State) takenKeys(c *contract.Contract) []contract.Fault {
	var faults []contract.Fault
	for i, hash := range c.Keys {
		if other, found := s.ByKey[hash]; found && other.Account != c.Account {
			faults = append(faults, contract.Fault{Field: fmt.Sprintf("keys[%d]", i),
				Want: "a key of no other account", Got: fmt.Sprintf("a key of %q", other.Account)})
		}
	}
	return faults
}

// takenBudgets: a budget that two accounts share could be spent by the one and
// paid by the other.
func (s *State) takenBudgets(c *contract.Contract) []contract.Fault {
	var faults []contract.Fault
	for i, budget := range c.Budgets {
		if owner, found := s.Owner(budget.ID); found && owner != c.Account {
			faults = append(faults, contract.Fault{Field: fmt.Sprintf("budgets[%d].id", i),
				Want: "unique over all accounts", Got: fmt.Sprintf("%q, a budget of %q", budget.ID, owner)})
		}
	}
	return faults
}

func (s *State) checkDelete(key Key) error {
	if _, found := s.meta[key]; !found {
		return ErrNotFound
	}
	users := s.usersOf(key)
	if len(users) > 0 {
		return errors.Errorf("still named by %v", users)
	}
	return nil
}

// usersOf lists up to maxUsersNamed objects that name a model or service.
func (s *State) usersOf(key Key) []string {
	const maxUsersNamed = 5
	var users []string
	for account, c := range s.Contracts {
		if namesObject(c.Models, c.Services, key) {
			users = append(users, fmt.Sprintf("contract %s", account))
		}
	}
	for name, b := range s.Backends {
		if namesObject(b.Models, []id.Service{b.Service}, key) {
			users = append(users, fmt.Sprintf("backend server %s", name))
		}
	}
	slices.Sort(users)
	return users[:min(len(users), maxUsersNamed)]
}

func namesObject(models []id.Model, services []id.Service, key Key) bool {
	switch key.Kind {
	case KindModel:
		return slices.Contains(models, id.Model(key.Name))
	case KindService:
		return slices.Contains(services, id.Service(key.Name))
	}
	return false
}
