package native

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/store"
)

var testLimits = parseLimits{maxMessages: 4, maxOutputTokens: 1000}

func TestParseChat(t *testing.T) {
	c := qt.New(t)
	body := `{"model":"m","stream":true,"max_tokens":7,"max_completion_tokens":5,"temperature":0.1,"messages":[
		{"role":"system","content":"ab\u0041"},
		{"role":"user","name":"xy","content":[{"type":"text","text":"cd"},{"type":"text","text":"é"}]}]}`
	got, err := parseChat([]byte(body), testLimits)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, chatRequest{Model: "m", Stream: true, ContentBytes: 3 + 2 + 2 + 2, MaxTokens: 5})
}

func TestMaxPromptAndOutputTokens(t *testing.T) {
	c := qt.New(t)
	model := contract.Model{BytesPerToken: 4}
	for bytes, want := range map[int64]id.Tokens{0: 0, 1: 1, 4: 1, 5: 2} {
		c.Assert(maxPromptTokens(bytes, model), qt.Equals, want)
	}
	c.Assert(maxOutputTokens(0, 0, 9), qt.Equals, id.Tokens(9))
	c.Assert(maxOutputTokens(0, 7, 9), qt.Equals, id.Tokens(7))
	c.Assert(maxOutputTokens(5, 7, 9), qt.Equals, id.Tokens(5))
	c.Assert(maxOutputTokens(50, 70, 9), qt.Equals, id.Tokens(9))
}

// Guards against a body whose values take many times its length in memory.
func TestBodiesOfManyValuesAreRefused(t *testing.T) {
	c := qt.New(t)
	head := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat(`,[{\\\",`, maxValues) + `"}],"stop":[`
	_, err := parseChat([]byte(head+strings.Repeat("1,", maxValues/2)+"1]}"), testLimits)
	c.Assert(err, qt.IsNil)
	body := []byte(head + strings.Repeat("1,", maxValues) + "1]}")
	allocated := testing.AllocsPerRun(1, func() { _, err = parseChat(body, testLimits) })
	c.Assert(err, qt.ErrorMatches, ".*too many values")
	c.Assert(allocated < 10, qt.IsTrue, qt.Commentf("%v allocations", allocated))
}

// Guards against a body whose nesting exhausts the stack, which ends the process.
func TestDeepBodiesAreRefused(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, `[{"a":`} {
		body := strings.Repeat(open, 4<<20/len(open))
		_, err := parseChat([]byte(`{"model":"m","stop":`+body), testLimits)
		qt.Assert(t, err, qt.ErrorMatches, ".*nested too deep")
	}
}

// FuzzParseChat compares parseChat with encoding/json, which stands for an engine's parser. A
// body that parseChat accepts must have the same meaning for both, or a request could use
// more tokens than it reserved.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"\ud800"}]}]}`))
	f.Add([]byte(`{"model":"m","model":"n","messages":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := parseChat(body, testLimits)
		if err != nil {
			return
		}
		var want struct {
			Model     id.Model `json:"model"`
			Stream    bool     `json:"stream"`
			MaxTokens *float64 `json:"max_tokens"`
			Messages  []struct {
				Content any `json:"content"`
			} `json:"messages"`
		}
		if err := json.Unmarshal(body, &want); err != nil {
			t.Fatalf("%q passed, but: %v", body, err)
		}
		if got.Model != want.Model || got.Stream != want.Stream {
			t.Fatalf("%q: got %+v, want %+v", body, got, want)
		}
		if want.MaxTokens != nil && float64(got.MaxTokens) > *want.MaxTokens {
			t.Fatalf("%q: output cap %d above %v", body, got.MaxTokens, *want.MaxTokens)
		}
		var minBytes int64
		for _, message := range want.Messages {
			if text, ok := message.Content.(string); ok {
				minBytes += int64(len(text))
			}
		}
		if got.ContentBytes < minBytes {
			t.Fatalf("%q: counted %d bytes of %d", body, got.ContentBytes, minBytes)
		}
	})
}

// FuzzDocument checks that decoded documents and backend entries have the values that routers
// rely on.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"models":[{"name":"m","bytes_per_token":4,"context_tokens":9,"tokens_per_event":1,"attempts":1}],"contracts":[]}`))
	f.Add([]byte(`{"id":"e","service":"model/m","address":"127.0.0.1:1","failure_domain":"d"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		item := store.Item{Key: ConfigKey, Value: data}
		if p, err := DecodeConfig(item); err == nil && p.Limits.MaxBodyBytes <= 0 {
			t.Fatalf("%q: bodies of any size", data)
		}
		if entry, err := DecodeServer(item); err == nil && entry.Address == "" {
			t.Fatalf("%q: no address", data)
		}
	})
}
