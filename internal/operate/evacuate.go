package operate

import (
	"context"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/store"
)

// evacuationsKey is changed by each order to evacuate or restore a failure domain, under the condition
// that it has not changed since the order was decided. Otherwise an order that got no answer could be
// carried out seconds later, when the opposite one has been given.
const evacuationsKey = "chicory-operate/evacuations"

// commitOrder carries an order out unless another one was given since revision.
func commitOrder(ctx context.Context, s store.Store, revision store.Revision, order store.Txn) error {
	order.Conditions = append(order.Conditions, store.Condition{Key: evacuationsKey, Revision: revision})
	order.Puts = append(order.Puts, store.Put{Key: evacuationsKey, Value: []byte("{}")})
	_, err := s.Commit(ctx, order)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(ErrConflict, "another order to evacuate or restore")
	}
	return err
}

// lastOrder returns the revision of the last order, 0 if there was none.
func lastOrder(ctx context.Context, s store.Store) (store.Revision, error) {
	snapshot, err := s.Read(ctx, evacuationsKey)
	if err != nil || len(snapshot.Items) == 0 {
		return 0, err
	}
	return snapshot.Items[0].Revision, nil
}

// Evacuate stops new requests to the backend servers of a failure domain until Restore is
// called. Repeating it has no effect. It returns ErrNotFound for a domain without backend
// servers, because the name is probably misspelled: after a false success an operator
// might switch off a domain that still serves requests.
func Evacuate(ctx context.Context, s store.Store, domain string) error {
	revision, err := lastOrder(ctx, s)
	if err != nil {
		return err
	}
	entries, err := Backends(ctx, s)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.FailureDomain == domain {
			return commitOrder(ctx, s, revision, store.Txn{Puts: []store.Put{{Key: native.EvacuatePrefix + domain, Value: []byte("{}")}}})
		}
	}
	return errors.Wrapf(ErrNotFound, "backend servers in failure domain %q", domain)
}

// Restore ends the evacuation of a failure domain. It returns ErrNotFound if the domain is
// not evacuated.
func Restore(ctx context.Context, s store.Store, domain string) error {
	revision, err := lastOrder(ctx, s)
	if err != nil {
		return err
	}
	evacuated, err := EvacuatedDomains(ctx, s)
	if err != nil {
		return err
	}
	for _, name := range evacuated {
		if name == domain {
			return commitOrder(ctx, s, revision, store.Txn{Deletes: []string{native.EvacuatePrefix + domain}})
		}
	}
	return errors.Wrapf(ErrNotFound, "evacuation of failure domain %q", domain)
}

// EvacuatedDomains returns the names of the evacuated failure domains in sorted order.
func EvacuatedDomains(ctx context.Context, s store.Store) ([]string, error) {
	snapshot, err := s.Read(ctx, native.EvacuatePrefix)
	if err != nil {
		return nil, err
	}
	domains := make([]string, 0, len(snapshot.Items))
	for _, item := range snapshot.Items {
		domains = append(domains, strings.TrimPrefix(item.Key, native.EvacuatePrefix))
	}
	sort.Strings(domains)
	return domains, nil
}
