package quarantine

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// RecordPrefix is the key prefix of the reports in the store, one per incarnation of a router.
const RecordPrefix = "chicory/broken/"

// Record is the stored form of a router's Report.
type Record struct {
	// Router is the VM of the router.
	Router    string            `json:"router"`
	Serial    uint64            `json:"serial,omitempty"`
	Crashes   []CrashRecord     `json:"crashes"`
	Cleared   []ClearanceRecord `json:"cleared,omitempty"`
	Survivors []string          `json:"survivors,omitempty"`
}

// CrashRecord is the stored form of an Exchange. Hashes are in hexadecimal.
type CrashRecord struct {
	Content string   `json:"content"`
	Parts   []string `json:"parts,omitempty"` // from the first to the last of the prompt
	Server  string   `json:"server"`
	Late    bool     `json:"late,omitempty"`
}

// ClearanceRecord is the stored form of a Clearance. Content or Part is set.
type ClearanceRecord struct {
	Content string   `json:"content,omitempty"`
	Part    string   `json:"part,omitempty"`
	Servers []string `json:"servers"`
	Whole   bool     `json:"whole,omitempty"`
}

// NewRecord returns the record of what a VM's router reports.
func NewRecord(vm string, report Report) Record {
	r := Record{Router: vm, Serial: report.Serial, Crashes: make([]CrashRecord, 0, len(report.Exchanges)), Survivors: report.Survivors}
	for _, e := range report.Exchanges {
		crash := CrashRecord{Server: e.Server, Late: e.Late}
		for _, feature := range e.Features {
			switch feature.Kind {
			case KindContent:
				crash.Content = formatHash(feature.Hash)
			case KindPart:
				crash.Parts = append(crash.Parts, formatHash(feature.Hash))
			}
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, c := range report.Cleared {
		cleared := ClearanceRecord{Servers: c.Servers, Whole: c.Whole}
		switch c.Feature.Kind {
		case KindContent:
			cleared.Content = formatHash(c.Feature.Hash)
		case KindPart:
			cleared.Part = formatHash(c.Feature.Hash)
		}
		r.Cleared = append(r.Cleared, cleared)
	}
	return r
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

// DecodeRecord returns the router's VM and the report of a stored record.
func DecodeRecord(item store.Item) (vm string, report Report, err error) {
	record := Record{}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return "", Report{}, errors.Wrap(err, "decode record of crashes")
	}
	report.Serial = record.Serial
	for _, crash := range record.Crashes[:min(len(record.Crashes), maxPublished)] {
		e, err := crash.decode()
		if err != nil {
			return "", Report{}, errors.Wrap(err, "record of crashes")
		}
		report.Exchanges = append(report.Exchanges, e)
	}
	for _, cleared := range record.Cleared[:min(len(record.Cleared), maxCleared)] {
		c, err := cleared.decode()
		if err != nil {
			return "", Report{}, errors.Wrap(err, "record of crashes")
		}
		report.Cleared = append(report.Cleared, c)
	}
	report.Survivors = record.Survivors[:min(len(record.Survivors), maxSurvivors)]
	return record.Router, report, nil
}

func (r CrashRecord) decode() (Exchange, error) {
	if r.Server == "" {
		return Exchange{}, errors.New("no server")
	}
	e := Exchange{Server: r.Server, Late: r.Late}
	for _, part := range r.Parts {
		hash, err := parseHash(part)
		if err != nil {
			return Exchange{}, errors.Wrap(err, "part")
		}
		e.Features = append(e.Features, Feature{KindPart, hash})
	}
	if r.Content == "" && len(r.Parts) > 0 {
		return e, nil
	}
	hash, err := parseHash(r.Content)
	if err != nil {
		return Exchange{}, errors.Wrap(err, "content")
	}
	e.Features = append(e.Features, Content(hash))
	return e, nil
}

func (r ClearanceRecord) decode() (Clearance, error) {
	c := Clearance{Servers: r.Servers, Whole: r.Whole}
	text, kind := r.Content, KindContent
	if r.Part != "" {
		text, kind = r.Part, KindPart
	}
	hash, err := parseHash(text)
	if err != nil {
		return Clearance{}, errors.Wrap(err, "cleared feature")
	}
	c.Feature = Feature{kind, hash}
	return c, nil
}
