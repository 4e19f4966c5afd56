package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/dedup"
)

// The store gives back damaged bytes: they claim more than there is, hold a nil
// where a time belongs (at which the library panics), or go on after the value.
// The shard is refused; the process lives on and writes nothing over it.
func TestDecodeRefusesDamagedBytes(t *testing.T) {
	c := qt.New(t)
	shard, err := Decode(nil)
	c.Assert(err, qt.IsNil)
	shard.Entries["key"] = Entry{Owner: dedup.Owner{Serial: 1}, At: time.Unix(1_800_000_000, 0)}
	whole, err := shard.Encode()
	c.Assert(err, qt.IsNil)
	again, err := Decode(whole)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Entries, qt.HasLen, 1)

	for name, data := range map[string][]byte{
		"a nil time":       {0x82, 0xa1, 'f', 0x01, 0xa1, 'e', 0x81, 0xa1, 'k', 0x81, 0xa1, 't', 0xc0},
		"four billion":     {0x82, 0xa1, 'f', 0x01, 0xa1, 'e', 0xdf, 0xff, 0xff, 0xff, 0xff},
		"bytes after it":   append(append([]byte{}, whole...), 0xc0),
		"cut short":        whole[:len(whole)-1],
		"an unknown field": {0x82, 0xa1, 'f', 0x01, 0xa1, 'x', 0xdd, 0x00, 0x10, 0x00, 0x00},
	} {
		_, err := Decode(data)
		c.Check(err, qt.ErrorIs, ErrMalformed, qt.Commentf(name))
	}
}
