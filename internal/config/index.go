package config

import (
	"hash/maphash"
	"maps"
)

// indexParts is the number of parts of an ownerIndex.
const indexParts = 256

var indexSeed = maphash.MakeSeed()

// ownerIndex is an immutable map from K to the account that owns it. At the
// planned size there are 640,000 budgets; a change copies only the parts that
// it touches.
type ownerIndex[K ~string, V any] struct {
	parts [indexParts]map[K]V
}

func partOf[K ~string](key K) int {
	return int(maphash.String(indexSeed, string(key)) % indexParts)
}

func (x *ownerIndex[K, V]) get(key K) (V, bool) {
	value, found := x.parts[partOf(key)][key]
	return value, found
}

// edit gives a copy of the index that shares the parts not touched.
func (x *ownerIndex[K, V]) edit() *indexEdit[K, V] {
	next := *x
	return &indexEdit[K, V]{index: &next, owned: make(map[int]bool)}
}

// indexEdit is an ownerIndex that is being built.
type indexEdit[K ~string, V any] struct {
	index *ownerIndex[K, V]
	owned map[int]bool // parts already copied
}

func (e *indexEdit[K, V]) part(key K) map[K]V {
	n := partOf(key)
	if !e.owned[n] {
		e.owned[n] = true
		e.index.parts[n] = maps.Clone(e.index.parts[n])
		if e.index.parts[n] == nil {
			e.index.parts[n] = make(map[K]V)
		}
	}
	return e.index.parts[n]
}

func (e *indexEdit[K, V]) set(key K, value V) { e.part(key)[key] = value }

func (e *indexEdit[K, V]) remove(key K) { delete(e.part(key), key) }
