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

// RecordPrefix is the key prefix of the limit records in the store, one per server.
const RecordPrefix = "chicory/limit/"

// Record is the stored form of a server's rate limit.
type Record struct {
	Incarnation string `json:"server"`
	// PerSecond is the requests per second from all routers together.
	PerSecond float64 `json:"per_second"`
	// Ended is set when the server no longer announces a limit.
	Ended bool `json:"over"`
	// Router is the VM of the router that wrote the record.
	Router string `json:"router"`
}

// Key returns the record's key in the store.
func (r Record) Key() string {
	return RecordPrefix + strconv.FormatUint(xxhash.Sum64String(r.Incarnation), 16)
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode limit record")
}

func isRecord(key string) bool {
	return strings.HasPrefix(key, RecordPrefix)
}

func decodeRecord(item store.Item) (Record, error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode limit record")
	}
	if record.Incarnation == "" || record.Key() != item.Key {
		return Record{}, errors.Errorf("limit record: server %q does not match the key", record.Incarnation)
	}
	if !(record.PerSecond >= 0) || math.IsInf(record.PerSecond, 1) {
		return Record{}, errors.Errorf("limit record: invalid rate %v", record.PerSecond)
	}
	return record, nil
}
