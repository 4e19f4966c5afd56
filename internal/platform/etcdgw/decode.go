package etcdgw

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// errAnswer is at the root of all errors about answers that break the protocol.
var errAnswer = errors.New("answer does not follow the protocol")

// txnOutcome is what a transaction on one key did.
type txnOutcome struct {
	succeeded bool
	revision  platform.Revision // of the store after the transaction
	current   platform.Value    // if not succeeded
}

func decode(body []byte, message any) error {
	if err := json.Unmarshal(body, message); err != nil {
		return errors.Wrapf(errAnswer, "%v", err)
	}
	return nil
}

// decodeRange returns the value of key and the store's revision.
func decodeRange(key string, body []byte) (platform.Value, platform.Revision, error) {
	var r wire.RangeResponse
	if err := decode(body, &r); err != nil {
		return platform.Value{}, 0, err
	}
	if r.Header.Revision <= 0 {
		return platform.Value{}, 0, errors.Wrap(errAnswer, "no revision")
	}
	v, err := valueOfRange(key, r)
	return v, platform.Revision(r.Header.Revision), err
}

func valueOfRange(key string, r wire.RangeResponse) (platform.Value, error) {
	switch len(r.KVs) {
	case 0:
		return platform.Value{Key: key}, nil
	case 1:
		return valueOf(key, r.KVs[0])
	}
	return platform.Value{}, errors.Wrapf(errAnswer, "%d keys for one", len(r.KVs))
}

// valueOf checks that an existing key is the one asked for and has a revision.
func valueOf(key string, kv wire.KeyValue) (platform.Value, error) {
	if string(kv.Key) != key {
		return platform.Value{}, errors.Wrapf(errAnswer, "key %q instead of %q", kv.Key, key)
	}
	if kv.ModRevision <= 0 {
		return platform.Value{}, errors.Wrapf(errAnswer, "key %q without revision", key)
	}
	return platform.Value{Key: key, Data: kv.Value, Revision: platform.Revision(kv.ModRevision)}, nil
}

// decodeTxn accepts only the two answers that a transaction of Client.txn can
// have: a successful write with its revision, or a failure with the key's value.
// An answer that is empty or cut would else pass for a conflict on a missing key.
func decodeTxn(key string, body []byte) (txnOutcome, error) {
	var r wire.TxnResponse
	if err := decode(body, &r); err != nil {
		return txnOutcome{}, err
	}
	if r.Header.Revision <= 0 {
		return txnOutcome{}, errors.Wrap(errAnswer, "no revision")
	}
	if len(r.Responses) != 1 {
		return txnOutcome{}, errors.Wrapf(errAnswer, "%d responses for one", len(r.Responses))
	}
	revision := platform.Revision(r.Header.Revision)
	step := r.Responses[0]
	if r.Succeeded {
		if step.Put == nil && step.DeleteRange == nil {
			return txnOutcome{}, errors.Wrap(errAnswer, "success without a write")
		}
		return txnOutcome{succeeded: true, revision: revision}, nil
	}
	if step.Range == nil {
		return txnOutcome{}, errors.Wrap(errAnswer, "failure without the current value")
	}
	current, err := valueOfRange(key, *step.Range)
	return txnOutcome{revision: revision, current: current}, err
}

func decodeGrant(body []byte) (platform.LeaseID, error) {
	var r wire.LeaseGrantResponse
	if err := decode(body, &r); err != nil {
		return 0, err
	}
	if r.ID == 0 {
		return 0, errors.Wrapf(errAnswer, "no lease: %q", r.Error)
	}
	return platform.LeaseID(r.ID), nil
}

// decodeKeepAlive reads the first line of the stream, which answers the one
// request sent. Either its Result or its Error is set.
func decodeKeepAlive(body []byte) (wire.KeepAliveLine, error) {
	first, _, _ := bytes.Cut(bytes.TrimSpace(body), []byte("\n"))
	var line wire.KeepAliveLine
	if err := decode(first, &line); err != nil {
		return wire.KeepAliveLine{}, err
	}
	if line.Result == nil && line.Error == nil {
		return wire.KeepAliveLine{}, errors.Wrap(errAnswer, "neither result nor error")
	}
	return line, nil
}

// watchUpdate is one line of a watch stream.
type watchUpdate struct {
	created bool
	changed bool           // value holds the key's latest state
	value   platform.Value // Revision zero: deleted
}

// decodeWatch reads a line. Of several events it keeps the last.
func decodeWatch(key string, data []byte) (watchUpdate, error) {
	var line wire.WatchLine
	if err := decode(data, &line); err != nil {
		return watchUpdate{}, err
	}
	if line.Error != nil {
		kind := kindOfStreamError(reads, *line.Error)
		return watchUpdate{}, errors.Wrap(kind, line.Error.Message)
	}
	if line.Result == nil {
		return watchUpdate{}, errors.Wrap(errAnswer, "neither result nor error")
	}
	if r := line.Result; r.Canceled {
		return watchUpdate{}, errors.Wrapf(platform.ErrUnavailable,
			"watch cancelled: %q, compacted at %d", r.CancelReason, r.CompactRevision)
	}
	update := watchUpdate{created: line.Result.Created}
	if n := len(line.Result.Events); n > 0 {
		value, err := valueOfEvent(key, line.Result.Events[n-1])
		if err != nil {
			return watchUpdate{}, err
		}
		update.changed, update.value = true, value
	}
	return update, nil
}

func valueOfEvent(key string, e wire.Event) (platform.Value, error) {
	if e.Type == wire.EventDelete && string(e.KV.Key) == key {
		return platform.Value{Key: key}, nil
	}
	return valueOf(key, e.KV)
}
