// Package idempotency gives callers one run and one answer for all requests with the same
// idempotency key, whichever routers they arrive at. A key is claimed in the store before its
// request runs; afterwards the claim holds the answer for repeats.
package idempotency

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// state is the state of the request that made a claim.
type state string

const (
	// running means that the request may still run, or that its router died.
	running state = "running"
	// answered means that the claim holds the answer.
	answered state = "answered"
	// answerTooLong means that the request was answered, but the answer is too long to be stored.
	answerTooLong state = "unkept"
	// outcomeUnknown means that the request may have run without a complete answer.
	outcomeUnknown state = "unclear"
)

// record is the stored form of a claim.
type record struct {
	State   state       `json:"state"`
	Request string      `json:"request"` // ID of the request that made the claim
	Hash    string      `json:"hash"`    // RequestHash of that request
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
}

// ErrInvalidRecord is returned for a stored claim that can't be decoded.
var ErrInvalidRecord = errors.New("idempotency: invalid claim record")

func decodeRecord(data []byte) (record, error) {
	r := record{}
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if r.Request == "" || r.State == "" {
		return record{}, errors.Wrap(ErrInvalidRecord, "request ID or state missing")
	}
	return r, nil
}

func (r record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, numbers and bytes always encode
	}
	return data
}
