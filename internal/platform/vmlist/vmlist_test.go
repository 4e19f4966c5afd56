package vmlist

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

const good = `{"vms":[{"id":"vm1","address":"10.0.0.1","failure_domain":"karlin","state":"leaving"}]}`

var vm1 = platform.VMEntry{ID: "vm1", Address: "10.0.0.1", FailureDomain: "karlin", State: platform.VMLeaving}

func TestStatic(t *testing.T) {
	list := NewStatic(vm1)
	vms, err := list.List(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vms, qt.DeepEquals, []platform.VMEntry{vm1})
	vms[0].State = platform.VMLive // a reader's change stays its own
	again, err := list.List(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again[0].State, qt.Equals, platform.VMLeaving)
	list.SetOutage(true)
	_, err = list.List(context.Background())
	qt.Assert(t, err, qt.ErrorIs, ErrUnavailable)
}

// A list that is not understood whole is refused whole: a VM that is missing
// from it would be taken for one that is gone for good.
func TestDecode(t *testing.T) {
	vms, err := Decode([]byte(good))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, vms, qt.DeepEquals, []platform.VMEntry{vm1})
	for _, body := range []string{
		"", "null", "{}", "[]", `{"vms":null}`, good[:len(good)-1],
		`{"vms":[{"id":"vm1","address":"10.0.0.1","failure_domain":"karlin","state":"odd"}]}`,
		`{"vms":[{"id":"vm1","address":"name","failure_domain":"karlin","state":"live"}]}`,
		`{"vms":[{"id":"vm1","address":"10.0.0.1","state":"live"}]}`,
		`{"vms":[{"id":"vm1","address":"10.0.0.1","failure_domain":"a","state":"live"},{"id":"vm1","address":"10.0.0.2","failure_domain":"a","state":"live"}]}`,
	} {
		_, err := Decode([]byte(body))
		qt.Check(t, err, qt.ErrorIs, ErrInvalid, qt.Commentf("%s", body))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"vms":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		vms, err := Decode(body)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		for _, vm := range vms {
			if check(vm) != nil {
				t.Fatalf("accepted %#v", vm)
			}
		}
	})
}
