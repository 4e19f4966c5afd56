package operate

import (
	"context"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Evacuate stops new requests to the backend servers of a failure domain until Restore is
// called. Repeating it has no effect. It returns ErrNotFound for a domain without backend
// servers, because the name is probably misspelled: after a false success an operator
// might switch off a domain that still serves requests.
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
	return errors.Wrapf(ErrNotFound, "backend servers in failure domain %q", domain)
}

// Restore ends the evacuation of a failure domain. It returns ErrNotFound if the domain is
// not evacuated.
func Restore(ctx context.Context, s store.Store, domain string) error {
	evacuated, err := EvacuatedDomains(ctx, s)
	if err != nil {
		return err
	}
	for _, name := range evacuated {
		if name == domain {
			_, err := s.Commit(ctx, store.Txn{Deletes: []string{native.EvacuatePrefix + domain}})
			return err
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
