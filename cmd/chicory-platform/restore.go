package main

import (
	"context"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

const (
	// restoreOutage is how long the store is away while it is restored.
	restoreOutage = 400 * time.Millisecond
	// rewriteDelay is the time until operators and backend servers have written again what was lost.
	rewriteDelay = 300 * time.Millisecond
)

// routersPrefixes begin the keys that routers write. What was lost under them is not written again.
var routersPrefixes = []string{"chicory/", "chicory-budget/", "chicory-claim/"}

// restore makes the store come back from a copy after a short outage.
func restore(s *memstore.Store, from memstore.Copy) error {
	wanted, err := othersItems(s)
	if err != nil {
		return err
	}
	s.SetDown(true)
	time.Sleep(restoreOutage)
	s.Restore(from)
	s.SetDown(false)
	copied, err := othersItems(s)
	if err != nil {
		return err
	}
	time.Sleep(rewriteDelay)
	return rewrite(s, wanted, copied)
}

// othersItems returns the present items that others than routers write, by key.
func othersItems(s *memstore.Store) (map[string]store.Item, error) {
	snapshot, err := s.Read(context.Background(), "")
	if err != nil {
		return nil, err
	}
	items := make(map[string]store.Item)
	for _, item := range snapshot.Items {
		if !isRouters(item.Key) {
			items[item.Key] = item
		}
	}
	return items, nil
}

// rewrite writes and deletes again what others than routers had written and deleted, unless the key was
// changed since the store was restored.
func rewrite(s *memstore.Store, wanted, copied map[string]store.Item) error {
	present, err := othersItems(s)
	if err != nil {
		return err
	}
	for key, item := range wanted {
		if present[key].Revision == copied[key].Revision && string(present[key].Value) != string(item.Value) {
			s.Put(key, item.Value)
		}
	}
	for key := range copied {
		if _, isWanted := wanted[key]; !isWanted && present[key].Revision == copied[key].Revision {
			s.Delete(key)
		}
	}
	return nil
}

func isRouters(key string) bool {
	for _, prefix := range routersPrefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
