// Package idempotency gives callers one run and one answer for all requests that
// carry the same idempotency key, at whichever routers they arrive. A key is claimed
// in the store before its request runs; the claim then holds the answer for repeats.
package idempotency

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// state is how far the request of a claim has come.
type state string

const (
	// running: it may run, or its router has died.
	running state = "running"
	// answered: its answer is in the claim.
	answered state = "answered"
	// unkept: it was answered, and the answer was too long to be kept.
	unkept state = "unkept"
	// unclear: it may have run, and no answer came of it.
	unclear state = "unclear"
)

// record is the stored form of a claim.
type record struct {
	State   state       `json:"state"`
	Request string      `json:"request"` // id of the request that made the claim
	Hash    string      `json:"hash"`    // of what it asked
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
}

// ErrInvalidRecord: a stored claim can't be used.
var ErrInvalidRecord = errors.New("idempotency: unusable claim")

func decodeRecord(data []byte) (record, error) {
	r := record{}
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if r.Request == "" || r.State == "" {
		return record{}, errors.Wrap(ErrInvalidRecord, "no request or state")
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
