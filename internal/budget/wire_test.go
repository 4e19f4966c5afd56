package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"chicorytiller.example/chicorytiller/internal/budget"
)

func sampleShard(t testing.TB) *budget.Shard {
	shard := budget.NewShard()
	policy := budget.DefaultPolicy()
	policy.TopUpCap = 2
	for _, op := range []budget.Op{
		topUp("1", 1000, start.Add(-48*time.Hour)), topUp("2", 5, start), topUp("3", 6, start),
		draw(routerA, 1, 0, 0, 5000, 5000), draw(routerB, 1, 0, 0, 0, 300),
		budget.TopUp{Budget: "other", Account: "register", ID: "1", Amount: 7, At: start},
		retire(routerB, 17, start),
	} {
		if _, err := shard.Apply(op, policy); err != nil {
			t.Fatal(err)
		}
	}
	return shard
}

func TestEncodeDecode(t *testing.T) {
	c := qt.New(t)
	empty, err := budget.Decode(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(empty, qt.DeepEquals, budget.NewShard())

	shard := sampleShard(t)
	data, err := shard.Encode()
	c.Assert(err, qt.IsNil)
	decoded, err := budget.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, shard)
	again, err := decoded.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, data)
}

func TestDecodeRefuses(t *testing.T) {
	type m = map[string]any
	holder := m{"i": "vm@1", "q": 1, "g": 10, "s": 0}
	withBudgets := func(budgets ...m) m { return m{"f": 1, "b": budgets} }
	record := func(fields m) m {
		fields["i"] = "b"
		fields["f"] = 100
		return withBudgets(fields)
	}
	cases := []struct {
		name  string
		shard m
		err   error
	}{
		{"a later format", m{"f": 2}, budget.ErrFormat},
		{"no format", m{}, budget.ErrFormat},
		{"a budget twice", withBudgets(m{"i": "b"}, m{"i": "b"}), budget.ErrMalformed},
		{"a budget without id", withBudgets(m{"i": ""}), budget.ErrInvariant},
		{"a holder twice", record(m{"h": []m{holder, holder}}), budget.ErrMalformed},
		{"grants past the top-ups", record(m{"c": 91, "h": []m{holder}}), budget.ErrInvariant},
		{"grants that overflow", record(m{"h": []m{{"i": "x", "g": 1 << 62}, {"i": "y", "g": 1 << 62}}}), budget.ErrInvariant},
		{"spent past the grant", record(m{"h": []m{{"i": "x", "g": 5, "s": 6}}}), budget.ErrInvariant},
		{"spent below nothing", record(m{"h": []m{{"i": "x", "g": 5, "s": -1}}}), budget.ErrInvariant},
		{"granted below nothing", record(m{"h": []m{{"i": "x", "g": -5, "s": -6}}}), budget.ErrInvariant},
		{"closed below nothing", record(m{"c": -1}), budget.ErrInvariant},
		{"closed past the top-ups", record(m{"c": 101}), budget.ErrInvariant},
		{"a top-up twice", record(m{"t": []m{{"i": "1", "n": 1}, {"i": "1", "n": 1}}}), budget.ErrInvariant},
		{"a top-up below nothing", record(m{"t": []m{{"i": "1", "n": -1}}}), budget.ErrInvariant},
		{"top-ups that overflow", record(m{"t": []m{{"i": "1", "n": budget.MaxTotal}}}), budget.ErrInvariant},
		{"a want without a holder", record(m{"w": []m{{"i": "x", "n": 1}}}), budget.ErrInvariant},
		{"a retired holder", record(m{"h": []m{holder}, "x": []m{{"i": "vm@1"}}}), budget.ErrInvariant},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := msgpack.Marshal(test.shard)
			c.Assert(err, qt.IsNil)
			_, err = budget.Decode(data)
			c.Assert(err, qt.ErrorIs, test.err)
		})
	}
}

// Eight corrupt bytes declare a list of 1.6 billion budgets. Found by FuzzDecode,
// when the process ran out of memory on them.
func TestDecodeRefusesAnImpossibleLength(t *testing.T) {
	_, err := budget.Decode([]byte("\x92\xe8\xdd`L\xc3r\xbf"))
	qt.Assert(t, err, qt.ErrorIs, budget.ErrMalformed)
}

// FuzzDecode: whatever the bytes, Decode returns an error or a shard that keeps
// the invariants and survives being written and read again.
func FuzzDecode(f *testing.F) {
	data, err := sampleShard(f).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add(append(data, 0))
	f.Add([]byte{})
	f.Add([]byte("\x92\xe8\xdd`L\xc3r\xbf"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		shard, err := budget.Decode(data)
		if err != nil {
			return
		}
		c.Assert(shard.Check(), qt.IsNil)
		for _, record := range shard.Budgets {
			c.Assert(record.Available() >= 0, qt.IsTrue)
		}
		first, err := shard.Encode()
		c.Assert(err, qt.IsNil)
		again, err := budget.Decode(first)
		c.Assert(err, qt.IsNil)
		second, err := again.Encode()
		c.Assert(err, qt.IsNil)
		c.Assert(second, qt.DeepEquals, first)
	})
}
