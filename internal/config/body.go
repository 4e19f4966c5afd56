package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
)

type fieldPolicy bool

const (
	refuseUnknownFields fieldPolicy = true
	allowUnknownFields  fieldPolicy = false
)

// decodeBody reads the body of an object: a pointer to a type of package
// contract, or json.RawMessage for a setting.
func decodeBody(kind Kind, body json.RawMessage, policy fieldPolicy) (any, error) {
	var target any
	switch kind {
	case KindContract:
		target = &contract.Contract{}
	case KindBackend:
		target = &contract.BackendServer{}
	case KindService:
		target = &contract.Service{}
	case KindModel:
		target = &contract.Model{}
	case KindSetting:
		return decodeSetting(body)
	default:
		return nil, errors.Errorf("unknown kind %q", kind)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if policy == refuseUnknownFields {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(target); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("more than one JSON value")
	}
	return target, nil
}

func decodeSetting(body json.RawMessage) (any, error) {
	if !json.Valid(body) {
		return nil, errors.New("not valid JSON")
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, body); err != nil {
		return nil, err
	}
	return json.RawMessage(compact.Bytes()), nil
}

// nameAndFaults gives the name that a decoded body carries and what is wrong
// with the object by itself.
func nameAndFaults(object any, name string) (string, error) {
	switch object := object.(type) {
	case *contract.Contract:
		return string(object.Account), object.Validate()
	case *contract.BackendServer:
		return string(object.ID), object.Validate()
	case *contract.Service:
		return string(object.Name), object.Validate()
	case *contract.Model:
		return string(object.Name), object.Validate()
	}
	return name, nil // a setting's body doesn't carry its name
}

// marshalBody gives the form in which an object is stored.
func marshalBody(object any) (json.RawMessage, error) {
	return json.Marshal(object)
}
