// Package id contains the types of names and token counts that other packages share. It
// imports no other package of the project.
package id

// FailureDomain is the name of a failure domain, such as "karlin".
type FailureDomain string

// ClientAccount is the name of a client account.
type ClientAccount string

// Model is the name of a model that engines serve.
type Model string

// Service is the name of a plain service, whose backend servers are not engines.
type Service string

// Backend is the name of one backend server: an engine or an instance of a service.
type Backend string

// Tokens is a number of model tokens, the unit of budgets and bills.
type Tokens int64
