package etcdgw

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform"
)

// Answers in the form that etcd's documentation of the gateway shows.
const (
	rangeAnswer = `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"3"},` +
		`"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`
	emptyAnswer  = `{"header":{"revision":"2"}}`
	putAnswer    = `{"header":{"revision":"3","raft_term":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}`
	failedAnswer = `{"header":{"revision":"2"},"responses":[{"response_range":` + rangeAnswer + `}]}`
	eventAnswer  = `{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}}]}}`
	deleteAnswer = `{"result":{"header":{"revision":"4"},"events":[{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}}`
	grantAnswer  = `{"header":{"revision":"2"},"ID":"7587862094900104453","TTL":"10"}`
	keepAnswer   = `{"result":{"header":{"revision":"2"},"ID":"7587862094900104453","TTL":"10"}}` + "\n"
)

var foo = platform.Value{Key: "foo", Data: []byte("bar"), Revision: 2}

func TestDecodePublishedAnswers(t *testing.T) {
	v, store, err := decodeRange("foo", []byte(rangeAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, foo)
	qt.Assert(t, store, qt.Equals, platform.Revision(2))
	v, _, err = decodeRange("foo", []byte(emptyAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v, qt.DeepEquals, platform.Value{Key: "foo"})

	outcome, err := decodeTxn("foo", []byte(putAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome.succeeded, qt.IsTrue)
	qt.Assert(t, outcome.revision, qt.Equals, platform.Revision(3))
	outcome, err = decodeTxn("foo", []byte(failedAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome.succeeded, qt.IsFalse)
	qt.Assert(t, outcome.current, qt.DeepEquals, foo)

	update, err := decodeWatch("foo", []byte(eventAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, update.changed, qt.IsTrue)
	qt.Assert(t, update.value, qt.DeepEquals, foo)
	update, err = decodeWatch("foo", []byte(deleteAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, update.value, qt.DeepEquals, platform.Value{Key: "foo"})

	lease, err := decodeGrant([]byte(grantAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lease, qt.Equals, platform.LeaseID(7587862094900104453))
	line, err := decodeKeepAlive([]byte(keepAnswer))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line.Result.TTL, qt.Equals, int64(10))
}

// Answers that are cut or empty must not pass for a conflict, for a missing key
// or for a success: the caller would act on what the service never said.
func TestDecodeRefusesBrokenAnswers(t *testing.T) {
	decoders := map[string]func([]byte) error{
		"range": func(b []byte) error { _, _, err := decodeRange("foo", b); return err },
		"txn":   func(b []byte) error { _, err := decodeTxn("foo", b); return err },
		"grant": func(b []byte) error { _, err := decodeGrant(b); return err },
		"keep":  func(b []byte) error { _, err := decodeKeepAlive(b); return err },
		"watch": func(b []byte) error { _, err := decodeWatch("foo", b); return err },
	}
	broken := []string{
		"", "null", "{}", "[]", "<html>", rangeAnswer[:len(rangeAnswer)-1], `{"header":{"revision":2}}`,
		`{"header":{"revision":"2"},"kvs":[{"key":"b3RoZXI=","mod_revision":"2"}]}`,
		`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v"}]}`,
		`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","mod_revision":"2"},{"key":"Zm9v","mod_revision":"2"}]}`,
		`{"header":{"revision":"2"},"kvs":[{"key":"%%","mod_revision":"2"}]}`,
		`{"header":{"revision":"2"},"succeeded":true,"responses":[{}],"kvs":0}`,
		`{"header":{"revision":"2"},"responses":[{}],"kvs":0}`,
		`{"header":{"revision":"2"},"responses":[],"kvs":0}`,
	}
	for name, decode := range decoders {
		for _, body := range broken {
			qt.Check(t, decode([]byte(body)), qt.IsNotNil, qt.Commentf("%s: %s", name, body))
		}
	}
}

func TestDecodeWatchEnds(t *testing.T) {
	for line, want := range map[string]error{
		`{"result":{"canceled":true,"compact_revision":"9"}}`:                        platform.ErrUnavailable,
		`{"error":{"grpc_code":8,"message":"too many"}}`:                             platform.ErrRateLimited,
		`{"error":{"code":14,"message":"no leader"}}`:                                platform.ErrUnavailable,
		`{"result":{"events":[{"type":"DELETE","kv":{"key":"b3RoZXI="}}]}}`:          errAnswer,
		`{"result":{"events":[{"kv":{"key":"Zm9v"}}]}}`:                              errAnswer,
		`{"result":{"events":[{"type":"ODD","kv":{"key":"b","mod_revision":"1"}}]}}`: errAnswer,
	} {
		_, err := decodeWatch("foo", []byte(line))
		qt.Check(t, err, qt.ErrorIs, want, qt.Commentf("%s", line))
	}
}

func seeds(f *testing.F) {
	for _, s := range []string{rangeAnswer, emptyAnswer, putAnswer, failedAnswer, eventAnswer, deleteAnswer, grantAnswer, keepAnswer} {
		f.Add([]byte(s))
	}
}

// checkValue holds what callers rely on for any value that was accepted.
func checkValue(t *testing.T, v platform.Value) {
	if v.Key != "foo" || v.Revision < 0 || (v.Revision == 0 && v.Data != nil) {
		t.Fatalf("accepted %#v", v)
	}
}

func FuzzDecodeRange(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		v, store, err := decodeRange("foo", body)
		if err != nil {
			return
		}
		checkValue(t, v)
		if store <= 0 {
			t.Fatalf("accepted store revision %d", store)
		}
	})
}

func FuzzDecodeTxn(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		outcome, err := decodeTxn("foo", body)
		if err != nil {
			return
		}
		if outcome.revision <= 0 {
			t.Fatalf("accepted revision %d", outcome.revision)
		}
		if !outcome.succeeded {
			checkValue(t, outcome.current)
		}
	})
}

func FuzzDecodeWatch(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, line []byte) {
		update, err := decodeWatch("foo", line)
		if err == nil && update.changed {
			checkValue(t, update.value)
		}
	})
}

func FuzzDecodeLease(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		if id, err := decodeGrant(body); err == nil && id == 0 {
			t.Fatal("accepted lease zero")
		}
		if line, err := decodeKeepAlive(body); err == nil && line.Result == nil && line.Error == nil {
			t.Fatal("accepted an empty line")
		}
	})
}

func FuzzStatusError(f *testing.F) {
	f.Add(503, []byte(`{"error":"etcdserver: no leader","message":"etcdserver: no leader","code":14}`))
	f.Add(429, []byte("busy"))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		err := statusError(writes, "/", status, body)
		var call *CallError
		if !errors.As(err, &call) || call.Kind == nil {
			t.Fatalf("no kind: %v", err)
		}
	})
}
