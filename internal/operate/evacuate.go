package operate

import (
	"context"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Evacuate orders that a failure domain's backend servers get nothing new until Restore.
// A repeat changes nothing. A domain without any backend server is taken for a misspelled
// one: an operator who thinks that it is empty may then switch the wrong one off.
func Evacuate(ctx context.Context, s store.Store, domain string) error {
	entries, err := Backends(ctx, s)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.FailureDomain == domain {
			_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: native.EvacuatePrefix + domain, Value: []byte("{}")}}})
			return err
		}
	}
	return errors.Wrapf(ErrNotFound, "a backend server in the failure domain %q", domain)
}

// Restore takes the order to evacuate a failure domain back.
func Restore(ctx context.Context, s store.Store, domain string) error {
	evacuated, err := Evacuated(ctx, s)
	if err != nil {
		return err
	}
	for _, name := range evacuated {
		if name == domain {
			_, err := s.Commit(ctx, store.Txn{Deletes: []string{native.EvacuatePrefix + domain}})
			return err
		}
	}
	return errors.Wrapf(ErrNotFound, "an order to evacuate the failure domain %q", domain)
}

// Evacuated lists the failure domains that are to get nothing, by name.
func Evacuated(ctx context.Context, s store.Store) ([]string, error) {
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
