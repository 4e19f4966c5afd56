package rollout

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// RecordPrefix is the key prefix of the records in the store, one per service.
const RecordPrefix = "chicory/version/"

// Record is the stored form of a service's admitted versions.
type Record struct {
	Service string `json:"service"`
	// Versions are in the order of their admission.
	Versions []string `json:"versions"`
	// Changes counts the writes of the record, from 1.
	Changes int `json:"changes"`
	// Router is the VM of the router that wrote the record.
	Router string `json:"router"`
	// Era is the store's era in which the record is known to lack no version. In another era the store may have lost
	// the admission of one.
	Era int64 `json:"era,omitempty"`
	// Created is the store's era in which the service got its first record.
	Created int64 `json:"created,omitempty"`
}

// Key returns the record's key in the store.
func (r Record) Key() string {
	return RecordPrefix + strconv.FormatUint(xxhash.Sum64String(r.Service), 16)
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// IsRecord reports whether the key is that of a record of versions.
func IsRecord(key string) bool {
	return strings.HasPrefix(key, RecordPrefix)
}

// DecodeRecord decodes and checks a stored record.
func DecodeRecord(item store.Item) (Record, error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record of versions")
	}
	if record.Key() != item.Key {
		return Record{}, errors.Errorf("record of versions: service %q does not match the key", record.Service)
	}
	sorted := slices.Sorted(slices.Values(record.Versions))
	if len(sorted) == 0 || len(slices.Compact(sorted)) != len(record.Versions) || record.Changes < 1 {
		return Record{}, errors.Errorf("record of versions of %q: %q, change %d", record.Service, record.Versions, record.Changes)
	}
	return record, nil
}
