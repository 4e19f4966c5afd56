package pacing

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Record is the stored form of an announced rate.
type Record struct {
	// Subject is the incarnation of the server, or the service, that announces the rate.
	Subject string `json:"server"`
	// PerSecond is the rate, for all routers together.
	PerSecond float64 `json:"per_second"`
	// Ended is set when the rate is no longer announced.
	Ended bool `json:"over"`
	// Router is the VM of the router that wrote the record.
	Router string `json:"router"`
}

// Key returns the key in the store of a subject's record.
func (k Kind) Key(subject string) string {
	return k.prefix + strconv.FormatUint(xxhash.Sum64String(subject), 16)
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode announced rate")
}

// owns reports whether the key is that of a record of this kind.
func (k Kind) owns(key string) bool {
	return strings.HasPrefix(key, k.prefix)
}

func (k Kind) decode(item store.Item) (Record, error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode announced rate")
	}
	if record.Subject == "" || k.Key(record.Subject) != item.Key {
		return Record{}, errors.Errorf("announced rate: subject %q does not match the key", record.Subject)
	}
	if !(record.PerSecond >= 0) || math.IsInf(record.PerSecond, 1) {
		return Record{}, errors.Errorf("announced rate: invalid rate %v", record.PerSecond)
	}
	return record, nil
}
