// Package id holds the small value types by which the parts of the fleet name
// things to each other. It imports nothing of the project.
package id

// FailureDomain names a failure domain, for instance "karlin".
type FailureDomain string

// ClientAccount names a client account.
type ClientAccount string

// Model names a model that engines serve.
type Model string

// Service names a plain service beside the engines.
type Service string

// Backend names one backend server (an engine or an instance of a service).
type Backend string

// Tokens counts model tokens, the unit of budgets and bills.
type Tokens int64
