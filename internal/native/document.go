// Package native implements the native API of the router: OpenAI-compatible chat completions
// and plain services for callers, a configuration document for operators, and HTTP headers for
// backend servers. It only translates; other packages decide what happens to a request.
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

// Store keys.
const (
	// ConfigPrefix is the prefix of the Document and of evacuation orders.
	ConfigPrefix = "chicory-config/"
	// ConfigKey is the key of the operators' Document.
	ConfigKey = ConfigPrefix + "document"
	// EvacuatePrefix, followed by the name of a failure domain, is the key of an order to
	// evacuate that domain.
	EvacuatePrefix = ConfigPrefix + "evacuate/"
	// BackendsPrefix, followed by server ID, "/" and service, is the key of a BackendEntry.
	BackendsPrefix = "chicory-backend/"
	// claimsPrefix is the prefix of claims of idempotency keys.
	claimsPrefix = "chicory-claim/"
)

// ErrInvalidDocument is the error for an invalid Document or BackendEntry.
var ErrInvalidDocument = errors.New("native: unusable document")

// Document is the operators' configuration except for backend servers and evacuations. Each
// change replaces the whole document.
type Document struct {
	Version      int64               `json:"version"`    // increases with each change
	MaxBodyBytes int64               `json:"body_bytes"` // per request; 0 means defaultMaxBodyBytes
	Models       []contract.Model    `json:"models"`
	Services     []contract.Service  `json:"services"`
	Contracts    []contract.Contract `json:"contracts"`
}

// ParseDocument decodes and validates a document. Validation errors name the object and field.
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

// Validate checks each object, that names and API keys are unique, and that the models and
// services in contracts exist.
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
		for j, key := range c.Keys {
			if keys[key] {
				return errors.Errorf("contracts[%d].keys[%d]: another contract has the key", i, j)
			}
			keys[key] = true
		}
		for j, model := range c.Models {
			if !models[model] {
				return errors.Errorf("contracts[%d].models[%d]: %q is no model of the document", i, j, model)
			}
		}
		for j, service := range c.Services {
			if !services[service] {
				return errors.Errorf("contracts[%d].services[%d]: %q is no service of the document", i, j, service)
			}
		}
	}
	return nil
}

// IsConfig reports whether an item under ConfigPrefix is the Document.
func IsConfig(item store.Item) bool {
	return item.Key == ConfigKey
}

// EvacuatedDomain returns the failure domain in the key of an evacuation order. isOrder is
// false for any other key under ConfigPrefix.
func EvacuatedDomain(key string) (domain string, isOrder bool) {
	return strings.CutPrefix(key, EvacuatePrefix)
}

// DecodeConfig decodes the stored Document and returns its policy.
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
		Limits:  policy.Limits{MaxBodyBytes: defaultMaxBodyBytes},
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
		definition.Services = append(definition.Services, policy.Service{Name: modelServiceName(m.Name), TokensPerEvent: m.TokensPerEvent})
	}
	for _, s := range d.Services {
		definition.Catalogue.Services[s.Name] = s
		definition.Routes = append(definition.Routes, serviceRoutes(s)...)
		definition.Services = append(definition.Services, policy.Service{Name: plainServiceName(s.Name)})
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

// defaultMaxBodyBytes is the body limit if the document sets none. A context of 100,000 tokens
// is about 0.5 MB; each body is held in memory.
const defaultMaxBodyBytes = 4 << 20

// routeHost is the host of all routes: the native API doesn't route by host.
const routeHost = "chicorytiller"

func modelServiceName(name id.Model) string   { return "model/" + string(name) }
func plainServiceName(name id.Service) string { return "service/" + string(name) }

// Path prefixes of routes. They are internal: callers don't use these paths.
func streamPath(name id.Model) string          { return fmt.Sprintf("/model/%s/stream/", name) }
func bufferedPath(name id.Model) string        { return fmt.Sprintf("/model/%s/whole/", name) }
func nonIdempotentPath(name id.Service) string { return fmt.Sprintf("/service/%s/once/", name) }
func idempotentPath(name id.Service) string    { return fmt.Sprintf("/service/%s/any/", name) }

func modelRoutes(m contract.Model) []policy.Route {
	targets := []policy.Target{{Service: modelServiceName(m.Name), Weight: 1}}
	return []policy.Route{
		{Name: "stream " + string(m.Name), Host: routeHost, Prefix: streamPath(m.Name), Kind: policy.Streaming, Resumable: true,
			LatencyGoal: firstTokenLatencyGoal, GapGoal: tokenGapGoal, Targets: targets, MaxAttempts: m.Attempts},
		{Name: "whole " + string(m.Name), Host: routeHost, Prefix: bufferedPath(m.Name), Kind: policy.Idempotent,
			LatencyGoal: answerLatencyGoal, Targets: targets, MaxAttempts: m.Attempts},
	}
}

func serviceRoutes(s contract.Service) []policy.Route {
	targets := []policy.Target{{Service: plainServiceName(s.Name), Weight: 1}}
	return []policy.Route{
		{Name: "once " + string(s.Name), Host: routeHost, Prefix: nonIdempotentPath(s.Name), Kind: policy.NonIdempotent,
			Timeout: s.Timeout(), Targets: targets, MaxAttempts: s.Attempts},
		{Name: "call " + string(s.Name), Host: routeHost, Prefix: idempotentPath(s.Name), Kind: policy.Idempotent,
			Timeout: s.Timeout(), LatencyGoal: s.Timeout() / 2, Targets: targets, MaxAttempts: s.Attempts},
	}
}
