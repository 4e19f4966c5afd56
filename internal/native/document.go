// Package native is the product's own interface: OpenAI's chat completions and plain
// services for callers, one document for operators, and a dialect for backend
// servers. It translates; decisions are made elsewhere.
package native

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Keys of the store.
const (
	// ConfigPrefix holds the operators' document.
	ConfigPrefix = "chicory-config/"
	// ConfigKey is the document itself.
	ConfigKey = ConfigPrefix + "document"
	// EvacuatePrefix holds the orders to evacuate a failure domain, under its name.
	EvacuatePrefix = ConfigPrefix + "evacuate/"
	// BackendsPrefix holds the backend servers' entries, each under its id.
	BackendsPrefix = "chicory-backend/"
	// claimsPrefix holds the claims of idempotency keys.
	claimsPrefix = "chicory-claim/"
)

// ErrInvalidDocument: the operators' document or a backend server's entry can't be used.
var ErrInvalidDocument = errors.New("native: unusable document")

// Document is all that operators configure. A change replaces it whole.
type Document struct {
	Version      int64               `json:"version"`    // grows with each change
	MaxBodyBytes int64               `json:"body_bytes"` // most of one request; 0: bodyBytesDefault
	Models       []contract.Model    `json:"models"`
	Services     []contract.Service  `json:"services"`
	Contracts    []contract.Contract `json:"contracts"`
}

// ParseDocument reads and checks a document. Its error names the object and field.
func ParseDocument(data []byte) (*Document, error) {
	d := &Document{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(ErrInvalidDocument, err.Error())
	}
	if err := d.Validate(); err != nil {
		return nil, errors.Wrap(ErrInvalidDocument, err.Error())
	}
	return d, nil
}

// Validate checks each object, and that each is named once and each name known.
func (d *Document) Validate() error {
	models, services := map[id.Model]bool{}, map[id.Service]bool{}
	for i := range d.Models {
		m := &d.Models[i]
		if err := m.Validate(); err != nil {
			return err
		}
		if models[m.Name] {
			return errors.Errorf("models[%d]: %q stands twice", i, m.Name)
		}
		models[m.Name] = true
	}
	for i := range d.Services {
		s := &d.Services[i]
		if err := s.Validate(); err != nil {
			return err
		}
		if services[s.Name] {
			return errors.Errorf("services[%d]: %q stands twice", i, s.Name)
		}
		services[s.Name] = true
	}
	return d.validateContracts(models, services)
}

func (d *Document) validateContracts(models map[id.Model]bool, services map[id.Service]bool) error {
	accounts, keys := map[id.ClientAccount]bool{}, map[contract.KeyHash]bool{}
	for i := range d.Contracts {
		c := &d.Contracts[i]
		if err := c.Validate(); err != nil {
			return err
		}
		if accounts[c.Account] {
			return errors.Errorf("contracts[%d]: %q stands twice", i, c.Account)
		}
		accounts[c.Account] = true
		for n, key := range c.Keys {
			if keys[key] {
				return errors.Errorf("contracts[%d].keys[%d]: another contract has the key", i, n)
			}
			keys[key] = true
		}
		for n, model := range c.Models {
			if !models[model] {
				return errors.Errorf("contracts[%d].models[%d]: %q is no model of the document", i, n, model)
			}
		}
		for n, service := range c.Services {
			if !services[service] {
				return errors.Errorf("contracts[%d].services[%d]: %q is no service of the document", i, n, service)
			}
		}
	}
	return nil
}

// IsConfig says whether an item under ConfigPrefix is the document.
func IsConfig(item store.Item) bool {
	return item.Key == ConfigKey
}

// EvacuatedDomain reads which failure domain an item under ConfigPrefix orders to be
// evacuated, by its key; isOrder is false for another item.
func EvacuatedDomain(key string) (domain string, isOrder bool) {
	return strings.CutPrefix(key, EvacuatePrefix)
}

// DecodeConfig makes a policy of the stored document.
func DecodeConfig(item store.Item) (*policy.Policy, error) {
	d, err := ParseDocument(item.Value)
	if err != nil {
		return nil, err
	}
	return policy.New(d.definition()), nil
}

func (d *Document) definition() policy.Definition {
	definition := policy.Definition{
		Version: d.Version,
		Keys:    map[string]string{},
		Limits:  policy.Limits{MaxBodyBytes: bodyBytesDefault},
		Catalogue: policy.Catalogue{
			Models: map[id.Model]contract.Model{}, Services: map[id.Service]contract.Service{},
		},
	}
	if d.MaxBodyBytes > 0 {
		definition.Limits.MaxBodyBytes = d.MaxBodyBytes
	}
	for _, m := range d.Models {
		definition.Catalogue.Models[m.Name] = m
		definition.Routes = append(definition.Routes, modelRoutes(m)...)
		definition.Services = append(definition.Services, policy.Service{Name: modelService(m.Name), TokensPerEvent: m.TokensPerEvent})
	}
	for _, s := range d.Services {
		definition.Catalogue.Services[s.Name] = s
		definition.Routes = append(definition.Routes, serviceRoutes(s)...)
		definition.Services = append(definition.Services, policy.Service{Name: plainService(s.Name)})
	}
	for i := range d.Contracts {
		c := &d.Contracts[i]
		definition.Accounts = append(definition.Accounts, policy.Account{
			Name: string(c.Account), Priority: contract.MaxPriority - c.Priority, HasPriority: true,
			Prepaid: int64(c.Prepaid), Metered: true, Contract: c,
		})
		for _, key := range c.Keys {
			definition.Keys[string(key)] = string(c.Account)
		}
	}
	return definition
}

// bodyBytesDefault bounds bodies where the document doesn't: a context of 100,000 tokens
// is some 0.5 MB, and each body is held whole.
const bodyBytesDefault = 4 << 20

// host stands in the place of a host name: the own interface is one host.
const host = "chicorytiller"

func modelService(name id.Model) string   { return "model/" + string(name) }
func plainService(name id.Service) string { return "service/" + string(name) }

// Paths by which routes are found; callers don't see them.
func streamPath(name id.Model) string    { return fmt.Sprintf("/model/%s/stream/", name) }
func wholePath(name id.Model) string     { return fmt.Sprintf("/model/%s/whole/", name) }
func oncePath(name id.Service) string    { return fmt.Sprintf("/service/%s/once/", name) }
func anyTimePath(name id.Service) string { return fmt.Sprintf("/service/%s/any/", name) }

func modelRoutes(m contract.Model) []policy.Route {
	targets := []policy.Target{{Service: modelService(m.Name), Weight: 1}}
	return []policy.Route{
		{Name: "stream " + string(m.Name), Host: host, Prefix: streamPath(m.Name), Kind: policy.Streaming, Resumable: true,
			LatencyGoal: firstTokenGoal, GapGoal: gapGoal, Targets: targets, MaxAttempts: m.Attempts},
		{Name: "whole " + string(m.Name), Host: host, Prefix: wholePath(m.Name), Kind: policy.Idempotent,
			LatencyGoal: wholeGoal, Targets: targets, MaxAttempts: m.Attempts},
	}
}

func serviceRoutes(s contract.Service) []policy.Route {
	targets := []policy.Target{{Service: plainService(s.Name), Weight: 1}}
	return []policy.Route{
		{Name: "once " + string(s.Name), Host: host, Prefix: oncePath(s.Name), Kind: policy.NonIdempotent,
			Timeout: s.Timeout(), Targets: targets, MaxAttempts: s.Attempts},
		{Name: "call " + string(s.Name), Host: host, Prefix: anyTimePath(s.Name), Kind: policy.Idempotent,
			Timeout: s.Timeout(), LatencyGoal: s.Timeout() / 2, Targets: targets, MaxAttempts: s.Attempts},
	}
}
