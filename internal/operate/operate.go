// Package operate is what operators do with a fleet on its own interface: they change
// the document, register backend servers and look at budgets and routers. All of it
// goes through the store; no router has to be reached.
package operate

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Errors of operators' actions.
var (
	// ErrInvalid: what was given can't be used; nothing was changed.
	ErrInvalid = errors.New("operate: invalid")
	// ErrRaced: another operator changed the document meanwhile; nothing was changed.
	ErrRaced = errors.New("operate: changed by someone else meanwhile")
	// ErrNotFound: the document doesn't have what was named.
	ErrNotFound = errors.New("operate: not found")
)

// paymentsKept bounds the payments that a contract remembers: a repeat of one comes
// soon or never.
const paymentsKept = 100

// Document reads the document in force with its revision; an empty one if none is.
func Document(ctx context.Context, s store.Store) (*native.Document, store.Revision, error) {
	snapshot, err := s.Read(ctx, native.ConfigKey)
	if err != nil {
		return nil, 0, err
	}
	for _, item := range snapshot.Items {
		if native.IsConfig(item) {
			d, err := native.ParseDocument(item.Value)
			return d, item.Revision, err
		}
	}
	return &native.Document{}, 0, nil
}

// Apply puts a document in the place of the one at a revision. Its version is set to
// the next one.
func Apply(ctx context.Context, s store.Store, d *native.Document, at store.Revision) error {
	if err := d.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	d.Version++
	data, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	_, err = s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: native.ConfigKey, Revision: at}},
		Puts:       []store.Put{{Key: native.ConfigKey, Value: data}},
	})
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(ErrRaced, "the document")
	}
	return err
}

// Replace puts a new document in force, whatever the present one says; budgets that
// were topped up meanwhile are not to be forgotten, so payments must be the same.
func Replace(ctx context.Context, s store.Store, d *native.Document) error {
	present, at, err := Document(ctx, s)
	if err != nil {
		return err
	}
	for i := range present.Contracts {
		old := &present.Contracts[i]
		next := contractOf(d, old.Account)
		if next != nil && !slices.Equal(next.Payments, old.Payments) {
			return errors.Wrapf(ErrRaced, "the payments of %q", old.Account)
		}
	}
	d.Version = max(d.Version, present.Version)
	return Apply(ctx, s, d, at)
}

// TopUp adds prepaid tokens. The same payment counts once however often it is sent.
func TopUp(ctx context.Context, s store.Store, account id.ClientAccount, tokens id.Tokens, payment string) (id.Tokens, error) {
	if tokens <= 0 || payment == "" {
		return 0, errors.Wrap(ErrInvalid, "a top-up needs tokens above 0 and the payment's id")
	}
	d, at, err := Document(ctx, s)
	if err != nil {
		return 0, err
	}
	c := contractOf(d, account)
	if c == nil {
		return 0, errors.Wrapf(ErrNotFound, "the account %q", account)
	}
	if slices.Contains(c.Payments, payment) {
		return c.Prepaid, nil
	}
	c.Prepaid += tokens
	c.Payments = append(c.Payments, payment)
	c.Payments = c.Payments[max(0, len(c.Payments)-paymentsKept):]
	return c.Prepaid, Apply(ctx, s, d, at)
}

func contractOf(d *native.Document, account id.ClientAccount) *contract.Contract {
	for i := range d.Contracts {
		if d.Contracts[i].Account == account {
			return &d.Contracts[i]
		}
	}
	return nil
}

// Register writes a backend server's entries and removes those it had before.
func Register(ctx context.Context, s store.Store, b contract.BackendServer) error {
	if err := b.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return replaceEntries(ctx, s, string(b.ID), native.BackendEntries(b))
}

// Unregister removes a backend server's entries.
func Unregister(ctx context.Context, s store.Store, backend string) error {
	return replaceEntries(ctx, s, backend, nil)
}

func replaceEntries(ctx context.Context, s store.Store, backend string, entries map[string][]byte) error {
	snapshot, err := s.Read(ctx, native.BackendsPrefix+backend+"/")
	if err != nil {
		return err
	}
	txn := store.Txn{}
	for _, item := range snapshot.Items {
		if _, kept := entries[item.Key]; !kept {
			txn.Deletes = append(txn.Deletes, item.Key)
		}
	}
	for key, value := range entries {
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	}
	_, err = s.Commit(ctx, txn)
	return err
}

// Backends lists the backend servers' entries.
func Backends(ctx context.Context, s store.Store) ([]native.BackendEntry, error) {
	snapshot, err := s.Read(ctx, native.BackendsPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]native.BackendEntry, 0, len(snapshot.Items))
	for _, item := range snapshot.Items {
		entry, err := native.ParseBackendEntry(item)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Drain marks all entries of a backend server as leaving: it gets no new requests.
func Drain(ctx context.Context, s store.Store, backend string) error {
	snapshot, err := s.Read(ctx, native.BackendsPrefix+backend+"/")
	if err != nil {
		return err
	}
	if len(snapshot.Items) == 0 {
		return errors.Wrapf(ErrNotFound, "the backend server %q", backend)
	}
	txn := store.Txn{}
	for _, item := range snapshot.Items {
		entry, err := native.ParseBackendEntry(item)
		if err != nil {
			return err
		}
		entry.Leaving = true
		txn.Conditions = append(txn.Conditions, store.Condition{Key: item.Key, Revision: item.Revision})
		txn.Puts = append(txn.Puts, store.Put{Key: item.Key, Value: entry.Encode()})
	}
	_, err = s.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrapf(ErrRaced, "the backend server %q", backend)
	}
	return err
}

// Routers lists the routers that live, by their entries.
func Routers(ctx context.Context, s store.Store) ([]node.MemberRecord, error) {
	snapshot, err := s.Read(ctx, node.MemberPrefix)
	if err != nil {
		return nil, err
	}
	routers := make([]node.MemberRecord, 0, len(snapshot.Items))
	for _, item := range snapshot.Items {
		record := node.MemberRecord{}
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		routers = append(routers, record)
	}
	return routers, nil
}
