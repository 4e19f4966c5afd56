package quarantine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// RecordPrefix is the key prefix of the records of crashes in the store, one per incarnation of a
// router.
const RecordPrefix = "chicory/broken/"

// Record is the stored form of the crashes that one router saw.
type Record struct {
	// Router is the VM of the router.
	Router  string        `json:"router"`
	Crashes []CrashRecord `json:"crashes"`
}

// CrashRecord is the stored form of a Crash.
type CrashRecord struct {
	// Content is the hash in hexadecimal.
	Content string `json:"content"`
	Server  string `json:"server"`
}

// NewRecord returns the record of the crashes that a VM's router saw.
func NewRecord(vm string, crashes []Crash) Record {
	r := Record{Router: vm, Crashes: make([]CrashRecord, 0, len(crashes))}
	for _, crash := range crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Content: FormatContent(crash.Content), Server: crash.Server})
	}
	return r
}

// FormatContent returns the form of a content's hash in records and logs.
func FormatContent(content uint64) string {
	return strconv.FormatUint(content, 16)
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings always encode
	}
	return value
}

// RecordKey returns the key of a router's record.
func RecordKey(incarnation string) string {
	return RecordPrefix + incarnation
}

// IsRecord reports whether the key is that of a record of crashes.
func IsRecord(key string) bool {
	return strings.HasPrefix(key, RecordPrefix)
}

// DecodeRecord returns the router's VM and the crashes of a stored record.
func DecodeRecord(item store.Item) (vm string, crashes []Crash, err error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return "", nil, errors.Wrap(err, "decode record of crashes")
	}
	for _, r := range record.Crashes[:min(len(record.Crashes), maxPublished)] {
		content, err := strconv.ParseUint(r.Content, 16, 64)
		if err != nil {
			return "", nil, errors.Wrap(err, "record of crashes: content")
		}
		if r.Server == "" {
			return "", nil, errors.New("record of crashes: no server")
		}
		crashes = append(crashes, Crash{Content: content, Server: r.Server})
	}
	return record.Router, crashes, nil
}
