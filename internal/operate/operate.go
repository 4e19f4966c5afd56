// Package operate implements the operator actions on a fleet that uses the native
// interface: changing the configuration document, registering backend servers, evacuating
// failure domains, and listing budgets and routers. All actions go through the store; no
// router needs to be reachable.
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

var (
	// ErrInvalid is returned for invalid input. Nothing was changed.
	ErrInvalid = errors.New("operate: invalid")
	// ErrConflict is returned if the change conflicts with one that another operator made
	// in the meantime. Nothing was changed.
	ErrConflict = errors.New("operate: conflicting change by another operator")
	// ErrNotFound is returned if the named object does not exist.
	ErrNotFound = errors.New("operate: not found")
)

// maxRecordedPayments is how many payment IDs a contract keeps to detect repeated top-ups.
// Only the latest are needed, because a top-up is repeated shortly after it fails.
const maxRecordedPayments = 100

// Document returns the current configuration document and its revision, or an empty
// document and revision 0 if there is none.
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

// Apply increments d.Version and stores d, provided that the stored document still has the
// given revision. Otherwise it returns ErrConflict.
func Apply(ctx context.Context, s store.Store, d *native.Document, revision store.Revision) error {
	if err := d.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	d.Version++
	data, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	_, err = s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: native.ConfigKey, Revision: revision}},
		Puts:       []store.Put{{Key: native.ConfigKey, Value: data}},
	})
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(ErrConflict, "configuration document")
	}
	return err
}

// Replace stores d in place of the current document, whatever its revision. So that no
// top-up is lost, it returns ErrConflict if the payments of a contract differ between the
// two documents.
func Replace(ctx context.Context, s store.Store, d *native.Document) error {
	current, revision, err := Document(ctx, s)
	if err != nil {
		return err
	}
	for i := range current.Contracts {
		oldContract := &current.Contracts[i]
		newContract := findContract(d, oldContract.Account)
		if newContract != nil && !slices.Equal(newContract.Payments, oldContract.Payments) {
			return errors.Wrapf(ErrConflict, "payments of account %q", oldContract.Account)
		}
	}
	d.Version = max(d.Version, current.Version)
	return Apply(ctx, s, d, revision)
}

// TopUp adds prepaid tokens to an account and returns the new total. It is idempotent:
// a payment ID that was already recorded adds nothing.
func TopUp(ctx context.Context, s store.Store, account id.ClientAccount, tokens id.Tokens, payment string) (id.Tokens, error) {
	if tokens <= 0 || payment == "" {
		return 0, errors.Wrap(ErrInvalid, "a top-up needs a positive number of tokens and a payment ID")
	}
	d, revision, err := Document(ctx, s)
	if err != nil {
		return 0, err
	}
	c := findContract(d, account)
	if c == nil {
		return 0, errors.Wrapf(ErrNotFound, "account %q", account)
	}
	if slices.Contains(c.Payments, payment) {
		return c.Prepaid, nil
	}
	c.Prepaid += tokens
	c.Payments = append(c.Payments, payment)
	c.Payments = c.Payments[max(0, len(c.Payments)-maxRecordedPayments):]
	return c.Prepaid, Apply(ctx, s, d, revision)
}

func findContract(d *native.Document, account id.ClientAccount) *contract.Contract {
	for i := range d.Contracts {
		if d.Contracts[i].Account == account {
			return &d.Contracts[i]
		}
	}
	return nil
}

// Register writes the store entries of a backend server and deletes its earlier ones that
// no longer apply.
func Register(ctx context.Context, s store.Store, b contract.BackendServer) error {
	if err := b.Validate(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	return replaceEntries(ctx, s, string(b.ID), native.BackendEntries(b))
}

// Unregister deletes the store entries of a backend server.
func Unregister(ctx context.Context, s store.Store, backend string) error {
	return replaceEntries(ctx, s, backend, nil)
}

// replaceEntries replaces a backend server's entries, provided that nobody changes them at the same time.
func replaceEntries(ctx context.Context, s store.Store, backend string, entries map[string][]byte) error {
	snapshot, err := s.Read(ctx, native.BackendsPrefix+backend+"/")
	if err != nil {
		return err
	}
	txn := store.Txn{}
	revisions := make(map[string]store.Revision, len(snapshot.Items))
	for _, item := range snapshot.Items {
		revisions[item.Key] = item.Revision
		if _, keep := entries[item.Key]; !keep {
			txn.Conditions = append(txn.Conditions, store.Condition{Key: item.Key, Revision: item.Revision})
			txn.Deletes = append(txn.Deletes, item.Key)
		}
	}
	for key, value := range entries {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key, Revision: revisions[key]}) // 0: still absent
		txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
	}
	_, err = s.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrapf(ErrConflict, "backend server %q", backend)
	}
	return err
}

// Backends returns the store entries of all backend servers.
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

// Drain marks all entries of a backend server as leaving, so that it gets no new requests.
func Drain(ctx context.Context, s store.Store, backend string) error {
	snapshot, err := s.Read(ctx, native.BackendsPrefix+backend+"/")
	if err != nil {
		return err
	}
	if len(snapshot.Items) == 0 {
		return errors.Wrapf(ErrNotFound, "backend server %q", backend)
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
		return errors.Wrapf(ErrConflict, "backend server %q", backend)
	}
	return err
}

// Routers returns the entries of the live routers.
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
