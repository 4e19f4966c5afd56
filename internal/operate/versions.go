package operate

import (
	"cmp"
	"context"
	"slices"

	"chicorytiller.example/chicorytiller/internal/rollout"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Version is a version of the software of a service's backend servers.
type Version struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Servers int    `json:"servers"` // those that are not leaving
	Leaving int    `json:"leaving"`
	// Admitted is set if the routers have recorded the version: new streams may begin at it.
	Admitted bool `json:"admitted"`
}

// Versions returns the versions of all services that have servers or are admitted.
func Versions(ctx context.Context, s store.Store) ([]Version, error) {
	entries, err := Backends(ctx, s)
	if err != nil {
		return nil, err
	}
	snapshot, err := s.Read(ctx, rollout.RecordPrefix)
	if err != nil {
		return nil, err
	}
	type name struct{ service, version string }
	found := make(map[name]*Version)
	get := func(service, version string) *Version {
		key := name{service, version}
		if found[key] == nil {
			found[key] = &Version{Service: service, Version: version}
		}
		return found[key]
	}
	for _, entry := range entries {
		v := get(entry.Service, entry.Version)
		if entry.Leaving {
			v.Leaving++
		} else {
			v.Servers++
		}
	}
	for _, item := range snapshot.Items {
		record, err := rollout.DecodeRecord(item)
		if err != nil {
			return nil, err
		}
		for _, version := range record.Versions {
			get(record.Service, version).Admitted = true
		}
	}
	versions := make([]Version, 0, len(found))
	for _, v := range found {
		versions = append(versions, *v)
	}
	slices.SortFunc(versions, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return versions, nil
}
