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

// RecordPrefix holds the fleet's records of servers' limits, one a server.
const RecordPrefix = "chicory/limit/"

// Record is the stored form of a server's limit.
type Record struct {
	// Incarnation names the server.
	Incarnation string `json:"server"`
	// PerSecond is requests a second of all routers together.
	PerSecond float64 `json:"per_second"`
	// Ended: the server names no limit any more.
	Ended bool `json:"over"`
	// Router is the VM of who wrote it.
	Router string `json:"router"`
}

// Key is where the record lies.
func (r Record) Key() string {
	return RecordPrefix + strconv.FormatUint(xxhash.Sum64String(r.Incarnation), 16)
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "record of a limit")
}

func isRecord(key string) bool {
	return strings.HasPrefix(key, RecordPrefix)
}

func decodeRecord(item store.Item) (Record, error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, errors.Wrap(err, "record of a limit")
	}
	if record.Incarnation == "" || record.Key() != item.Key {
		return Record{}, errors.Errorf("record of a limit: server %q is not the key's", record.Incarnation)
	}
	if !(record.PerSecond >= 0) || math.IsInf(record.PerSecond, 1) {
		return Record{}, errors.Errorf("record of a limit: rate %v", record.PerSecond)
	}
	return record, nil
}
