package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// State is the configuration at one revision. It is immutable: readers may keep
// it, and must not change what its maps and pointers lead to.
type State struct {
	Revision  id.Revision
	Contracts map[id.ClientAccount]*contract.Contract
	Backends  map[id.Backend]*contract.BackendServer
	Services  map[id.Service]*contract.Service
	Models    map[id.Model]*contract.Model
	Settings  map[string]json.RawMessage
	// ByKey finds the contract of a caller's key.
	ByKey map[contract.KeyHash]*contract.Contract

	meta    map[Key]Meta
	budgets *ownerIndex[id.Budget, id.ClientAccount]
}

// Empty is the configuration at revision zero.
func Empty() *State {
	return &State{
		Contracts: map[id.ClientAccount]*contract.Contract{},
		Backends:  map[id.Backend]*contract.BackendServer{},
		Services:  map[id.Service]*contract.Service{},
		Models:    map[id.Model]*contract.Model{},
		Settings:  map[string]json.RawMessage{},
		ByKey:     map[contract.KeyHash]*contract.Contract{},
		meta:      map[Key]Meta{},
		budgets:   &ownerIndex[id.Budget, id.ClientAccount]{},
	}
}

// Meta tells of an object's last change; false when there is no such object.
func (s *State) Meta(key Key) (Meta, bool) {
	m, found := s.meta[key]
	return m, found
}

// Owner gives the account that a budget belongs to.
func (s *State) Owner(budget id.Budget) (id.ClientAccount, bool) {
	return s.budgets.get(budget)
}

// Names lists the objects of a kind in order.
func (s *State) Names(kind Kind) []string {
	var names []string
	for key := range s.meta {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Body gives an object as JSON; false when there is no such object.
func (s *State) Body(key Key) (json.RawMessage, bool) {
	if _, found := s.meta[key]; !found {
		return nil, false
	}
	if key.Kind == KindSetting {
		return s.Settings[key.Name], true
	}
	body, err := json.Marshal(s.object(key))
	if err != nil {
		return nil, false
	}
	return body, true
}

func (s *State) object(key Key) any {
	switch key.Kind {
	case KindContract:
		return s.Contracts[id.ClientAccount(key.Name)]
	case KindBackend:
		return s.Backends[id.Backend(key.Name)]
	case KindService:
		return s.Services[id.Service(key.Name)]
	case KindModel:
		return s.Models[id.Model(key.Name)]
	}
	return nil
}

// WithHead gives the state that a head describes, without reading anything. Use
// it for a head that another router relayed. The state itself comes back when
// the head is not newer. The error wraps ErrNeedsLoad when changes between the
// two are folded already, and ErrMalformed when the bytes are damaged.
func (s *State) WithHead(head []byte) (*State, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	return s.withHead(h)
}

func (s *State) withHead(h *Head) (*State, error) {
	// An older head may come late from a peer, or from a watch that broke and
	// was opened again. Taking it would revert an accepted change for the
	// callers of this router. Revisions are assigned by CAS on one key, so that
	// comparing them is enough to keep the newest.
	if h.Revision <= s.Revision {
		return s, nil
	}
	if s.Revision < h.Folded {
		return nil, ErrNeedsLoad
	}
	b := s.build()
	for i := int(s.Revision - h.Folded); i < len(h.Log); i++ {
		if err := b.applyEntry(h.Log[i]); err != nil {
			return nil, err
		}
	}
	return b.finish(h.Revision), nil
}

// builder makes a new state out of an older one.
type builder struct {
	state   *State
	budgets *indexEdit[id.Budget, id.ClientAccount]
}

func (s *State) build() *builder {
	next := &State{
		Contracts: maps.Clone(s.Contracts),
		Backends:  maps.Clone(s.Backends),
		Services:  maps.Clone(s.Services),
		Models:    maps.Clone(s.Models),
		Settings:  maps.Clone(s.Settings),
		ByKey:     maps.Clone(s.ByKey),
		meta:      maps.Clone(s.meta),
	}
	return &builder{state: next, budgets: s.budgets.edit()}
}

func (b *builder) finish(revision id.Revision) *State {
	b.state.Revision = revision
	b.state.budgets = b.budgets.index
	return b.state
}

func (b *builder) applyEntry(e Entry) error {
	if e.Deleted {
		b.remove(e.Key())
		return nil
	}
	meta := Meta{Revision: e.Revision, Author: e.Author, ChangeID: e.ChangeID, At: e.At.UTC()}
	return b.put(e.Key(), e.Body, meta)
}

// put decodes an accepted body. A program that is older than the one which
// accepted it may not know all fields; it must not refuse the configuration for
// that, so unknown fields are let through here (not in a new change).
func (b *builder) put(key Key, body json.RawMessage, meta Meta) error {
	object, err := decodeBody(key.Kind, body, allowUnknownFields)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "%s %q: %s", key.Kind, key.Name, err)
	}
	b.remove(key)
	b.state.meta[key] = meta
	switch object := object.(type) {
	case *contract.Contract:
		b.putContract(id.ClientAccount(key.Name), object)
	case *contract.BackendServer:
		b.state.Backends[id.Backend(key.Name)] = object
	case *contract.Service:
		b.state.Services[id.Service(key.Name)] = object
	case *contract.Model:
		b.state.Models[id.Model(key.Name)] = object
	case json.RawMessage:
		b.state.Settings[key.Name] = object
	}
	return nil
}

func (b *builder) putContract(account id.ClientAccount, c *contract.Contract) {
	b.state.Contracts[account] = c
	for _, hash := range c.Keys {
		b.state.ByKey[hash] = c
	}
	for _, budget := range c.Budgets {
		b.budgets.set(budget.ID, account)
	}
}

func (b *builder) remove(key Key) {
	delete(b.state.meta, key)
	switch key.Kind {
	case KindContract:
		b.removeContract(id.ClientAccount(key.Name))
	case KindBackend:
		delete(b.state.Backends, id.Backend(key.Name))
	case KindService:
		delete(b.state.Services, id.Service(key.Name))
	case KindModel:
		delete(b.state.Models, id.Model(key.Name))
	case KindSetting:
		delete(b.state.Settings, key.Name)
	}
}

// removeContract takes a contract and its index entries out. While shards are
// read one after the other, a key or budget may already belong to another
// contract; that one's index entry stays.
func (b *builder) removeContract(account id.ClientAccount) {
	c, found := b.state.Contracts[account]
	if !found {
		return
	}
	delete(b.state.Contracts, account)
	for _, hash := range c.Keys {
		if b.state.ByKey[hash] == c {
			delete(b.state.ByKey, hash)
		}
	}
	for _, budget := range c.Budgets {
		if owner, _ := b.budgets.index.get(budget.ID); owner == account {
			b.budgets.remove(budget.ID)
		}
	}
}

// removeShards takes out everything that belongs to the given shards.
func (b *builder) removeShards(shards map[int]*shardValue, count int) {
	for key := range b.state.meta {
		if _, found := shards[shardOf(key, count)]; found {
			b.remove(key)
		}
	}
}

func (b *builder) putShard(value *shardValue) error {
	for i := range value.Objects {
		object := &value.Objects[i]
		meta := object.meta()
		meta.At = meta.At.UTC()
		if err := b.put(object.key(), object.Body, meta); err != nil {
			return err
		}
	}
	return nil
}
