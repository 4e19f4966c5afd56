package config

import (
	"encoding/json"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Kind is the kind of a configured object.
type Kind string

// Kinds of configured objects.
const (
	KindContract Kind = "contract"
	KindBackend  Kind = "backend"
	KindService  Kind = "service"
	KindModel    Kind = "model"
	KindSetting  Kind = "setting"
)

// Kinds lists every kind, in an order in which objects can be created from
// nothing: a kind refers only to kinds before it.
var Kinds = []Kind{KindModel, KindService, KindBackend, KindContract, KindSetting}

// Key names one configured object.
type Key struct {
	Kind Kind
	Name string
}

// AnyRevision, as a Change's IfMatch, matches an object at any revision and
// also one that does not exist.
const AnyRevision = id.Revision(1<<64 - 1)

// Bounds of a change, in bytes.
const (
	MaxBodyBytes     = 128 << 10
	maxAuthorBytes   = 128
	maxChangeIDBytes = 128
)

// Change is what one operator asks for.
type Change struct {
	Kind Kind
	Name string
	// IfMatch is the revision at which the operator read the object.
	// Zero: the object must not exist.
	IfMatch  id.Revision
	Body     json.RawMessage // the whole object; empty when Delete
	Delete   bool
	Author   string
	ChangeID string // unique for each change; the same when a change is sent again
	// Resent tells that the change may have been sent before. An answer that
	// speaks only of this sending is then not given as NotAccepted.
	Resent bool
}

// Key names the object that the change is about.
func (c Change) Key() Key { return Key{Kind: c.Kind, Name: c.Name} }

// Entry is one accepted change.
type Entry struct {
	Revision id.Revision     `json:"revision" msgpack:"r"`
	Kind     Kind            `json:"kind" msgpack:"k"`
	Name     string          `json:"name" msgpack:"n"`
	Body     json.RawMessage `json:"body,omitempty" msgpack:"b"`
	Deleted  bool            `json:"deleted,omitempty" msgpack:"d"`
	Author   string          `json:"author" msgpack:"a"`
	ChangeID string          `json:"change_id" msgpack:"c"`
	At       time.Time       `json:"at" msgpack:"t"`
	// Previous is the object's revision before this change; zero: it did not exist.
	Previous id.Revision `json:"previous" msgpack:"p"`
}

// Key names the object that the entry is about.
func (e Entry) Key() Key { return Key{Kind: e.Kind, Name: e.Name} }

// Meta is what is known of an object's last change.
type Meta struct {
	Revision id.Revision `json:"revision"`
	Author   string      `json:"author"`
	ChangeID string      `json:"change_id"`
	At       time.Time   `json:"at"`
}

// Outcome is what is known of a change that was asked for.
type Outcome string

// Outcomes of a change.
const (
	// Accepted: the change is in the key-value service and can't be lost.
	Accepted Outcome = "accepted"
	// NotAccepted: it did not take effect and will not.
	NotAccepted Outcome = "not_accepted"
	// NotYetKnown: it may have taken effect or may yet do so. Sending it again
	// under the same ChangeID is safe and finds out.
	NotYetKnown Outcome = "not_yet_known"
)

// Result tells what became of a change.
type Result struct {
	Outcome  Outcome     `json:"outcome"`
	Revision id.Revision `json:"revision"` // of the configuration, once accepted
	ChangeID string      `json:"change_id"`
}
