package config

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// shardValue is the value of one snapshot shard: the objects whose keys hash to it.
type shardValue struct {
	Version int `msgpack:"v"`
	// Through is the newest revision that was folded into the shard. An entry at
	// or below it is never applied again, which makes a fold idempotent: a fold
	// that was cut off, or two at once, can't bring an older body back.
	Through id.Revision  `msgpack:"t"`
	Objects []shardEntry `msgpack:"o"` // in the order of kind and name
}

type shardEntry struct {
	Kind     Kind            `msgpack:"k"`
	Name     string          `msgpack:"n"`
	Body     json.RawMessage `msgpack:"b"`
	Revision id.Revision     `msgpack:"r"`
	Author   string          `msgpack:"a"`
	ChangeID string          `msgpack:"c"`
	At       time.Time       `msgpack:"w"`
}

func (o *shardEntry) key() Key { return Key{Kind: o.Kind, Name: o.Name} }

func (o *shardEntry) meta() Meta {
	return Meta{Revision: o.Revision, Author: o.Author, ChangeID: o.ChangeID, At: o.At}
}

func encodeShard(s *shardValue) ([]byte, error) {
	data, err := codec.Marshal(s)
	return data, errors.Wrap(err, "config: encode snapshot shard")
}

// decodeShard reads a shard's bytes; none at all is an empty shard.
func decodeShard(data []byte) (*shardValue, error) {
	s := &shardValue{Version: formatVersion}
	if len(data) == 0 {
		return s, nil
	}
	if err := decode(data, s); err != nil {
		return nil, err
	}
	if s.Version != formatVersion {
		return nil, errors.Wrapf(ErrMalformed, "shard has format version %d, this program reads %d", s.Version, formatVersion)
	}
	for i := range s.Objects {
		object := &s.Objects[i]
		known := slices.Contains(Kinds, object.Kind) && contract.ValidName(object.Name)
		if !known || object.Revision > s.Through {
			return nil, errors.Wrapf(ErrMalformed, "shard holds %q %q at revision %d", object.Kind, object.Name, object.Revision)
		}
	}
	return s, nil
}

// fold gives the shard with the entries applied that it does not hold yet, and
// whether anything changed. All entries must belong to the shard.
func (s *shardValue) fold(entries []Entry) (*shardValue, bool) {
	objects := make(map[Key]shardEntry, len(s.Objects)+len(entries))
	for _, object := range s.Objects {
		objects[object.key()] = object
	}
	through := s.Through
	for _, e := range entries {
		if e.Revision <= through {
			continue
		}
		through = e.Revision
		if e.Deleted {
			delete(objects, e.Key())
			continue
		}
		objects[e.Key()] = shardEntry{Kind: e.Kind, Name: e.Name, Body: e.Body,
			Revision: e.Revision, Author: e.Author, ChangeID: e.ChangeID, At: e.At}
	}
	if through == s.Through {
		return s, false
	}
	return &shardValue{Version: formatVersion, Through: through, Objects: sorted(objects)}, true
}

func sorted(objects map[Key]shardEntry) []shardEntry {
	list := make([]shardEntry, 0, len(objects))
	for _, object := range objects {
		list = append(list, object)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}
