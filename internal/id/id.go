// Package id holds the small value types by which the parts of the fleet name
// things to each other. It imports nothing of the project.
package id

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// VM names one entry VM or backend VM, as the platform's VM list does.
type VM string

// FailureDomain names a failure domain, for instance "karlin".
type FailureDomain string

// ClientAccount names a client account.
type ClientAccount string

// Budget names one prepaid budget. It is unique over all client accounts.
type Budget string

// Model names a model that engines serve.
type Model string

// Service names a plain service beside the engines.
type Service string

// Backend names one backend server (an engine or an instance of a service).
type Backend string

// Request names one caller's request over the whole fleet. All attempts,
// retries under one idempotency key and the one bill share it.
type Request string

// Attempt names one dispatch of a request to one backend server.
type Attempt string

// Tokens counts model tokens, the unit of budgets and bills.
type Tokens int64

// Revision is a revision of the configuration. It only grows.
type Revision uint64

// Incarnation tells apart the successive router processes of one VM. A later
// process has a higher number (Unix time in nanoseconds at its start).
type Incarnation uint64

// Router names one router process: a VM and the incarnation that runs on it.
type Router struct {
	VM          VM          `json:"vm" msgpack:"v"`
	Incarnation Incarnation `json:"incarnation" msgpack:"i"`
}

// String gives the form "vm@incarnation" that logs, keys and maps use.
func (r Router) String() string {
	return string(r.VM) + "@" + strconv.FormatUint(uint64(r.Incarnation), 10)
}

// IsZero tells whether r names no router.
func (r Router) IsZero() bool {
	return r.VM == "" && r.Incarnation == 0
}

// ParseRouter reads the form that String writes.
func ParseRouter(s string) (Router, error) {
	vm, number, found := strings.Cut(s, "@")
	if !found || vm == "" {
		return Router{}, errors.Errorf("router %q is not of the form vm@incarnation", s)
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return Router{}, errors.Errorf("router %q has no numeric incarnation", s)
	}
	return Router{VM: VM(vm), Incarnation: Incarnation(incarnation)}, nil
}
