package codec_test

import (
	"bytes"
	"maps"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/codec"
)

const maxBytes = 1 << 20

type item struct {
	Name  string    `msgpack:"n"`
	Pad   [16]int64 `msgpack:"p"`
	Count int64     `msgpack:"c"`
}

type message struct {
	Items []item           `msgpack:"i"`
	Sums  map[string]int64 `msgpack:"s"`
	At    time.Time        `msgpack:"t"`
	Data  []byte           `msgpack:"d"`
}

// allocated is how many bytes f asks the allocator for.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A store or a peer gives a few damaged bytes that claim a million or more
// elements. The library would allocate them all before it reads the first; the
// process would end for lack of memory. Each is refused before that.
func TestDamagedBytesAreRefusedCheaply(t *testing.T) {
	const most = 256 << 10
	var nested bytes.Buffer
	for range maxBytes - 1 {
		nested.WriteByte(0x91)
	}
	nested.WriteByte(0xc0)
	cases := map[string][]byte{
		"no bytes":            {},
		"a million structs":   {0x81, 0xa1, 'i', 0xdd, 0x00, 0x10, 0x00, 0x00},
		"four billion":        {0x81, 0xa1, 'i', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"in an unknown field": {0x81, 0xa1, 'x', 0xdd, 0x00, 0x10, 0x00, 0x00},
		"a map":               {0x81, 0xa1, 's', 0xdf, 0x00, 0x10, 0x00, 0x00},
		"a byte string":       {0x81, 0xa1, 'd', 0xc6, 0x7f, 0xff, 0xff, 0xff},
		"a string as key":     {0x81, 0xdb, 0x7f, 0xff, 0xff, 0xff},
		"nested too deep":     nested.Bytes(),
		"a nil time":          {0x81, 0xa1, 't', 0xc0}, // the library panics
		"bytes after it":      {0x80, 0xc0},
		"cut short":           {0x81, 0xa1, 'i', 0x92, 0x80},
		"an unknown code":     {0xc1},
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			took := allocated(func() {
				c.Check(codec.Unmarshal(data, &message{}, maxBytes), qt.ErrorIs, codec.ErrMalformed)
			})
			c.Check(took < most, qt.IsTrue, qt.Commentf("%d bytes allocated", took))
		})
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := message{
			Sums: rapid.MapOf(rapid.String(), rapid.Int64()).Draw(t, "sums"),
			Data: rapid.SliceOf(rapid.Byte()).Draw(t, "data"),
			At:   time.Unix(rapid.Int64Range(0, math.MaxInt32).Draw(t, "at"), 0),
		}
		for range rapid.IntRange(0, 40).Draw(t, "items") {
			in.Items = append(in.Items, item{Name: rapid.String().Draw(t, "name"), Count: rapid.Int64().Draw(t, "count")})
		}
		data, err := codec.Marshal(&in)
		if err != nil {
			t.Fatal(err)
		}
		var out message
		if err := codec.Unmarshal(data, &out, len(data)); err != nil {
			t.Fatal(err)
		}
		again, err := codec.Marshal(&out)
		if err != nil || len(again) != len(data) {
			t.Fatalf("%d bytes became %d: %v", len(data), len(again), err)
		}
		if !slices.Equal(out.Items, in.Items) || !maps.Equal(out.Sums, in.Sums) || !out.At.Equal(in.At) {
			t.Fatalf("%v became %v", in, out)
		}
		if err := codec.Unmarshal(data, &out, len(data)-1); !errors.Is(err, codec.ErrTooLarge) {
			t.Fatal(err)
		}
	})
}
