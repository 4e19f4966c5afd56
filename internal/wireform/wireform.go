// Package wireform describes the encoded form of Go types, so that a test can compare it
// with a golden file. Routers of two versions run side by side during a rollout and read
// each other's messages and records; a renamed field would be dropped without an error.
// Only tests import it.
package wireform

import (
	"encoding"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("wireform.update", false, "write the golden files of encoded forms anew")

// Compare checks lines against testdata/NAME.
func Compare(t testing.TB, name string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Fatalf("the encoded form differs from %s: routers of two versions would misread each other\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// Methods describes the methods of an RPC service: name, argument and reply.
func Methods(service any) []string {
	t := reflect.TypeOf(service)
	var lines []string
	for i := range t.NumMethod() {
		m := t.Method(i)
		if m.Type.NumIn() != 3 {
			continue
		}
		lines = append(lines, "method "+m.Name)
		lines = append(lines, "  argument "+Gob(m.Type.In(1)))
		lines = append(lines, "  reply "+Gob(m.Type.In(2)))
	}
	return lines
}

var (
	gobEncoder      = reflect.TypeFor[gob.GobEncoder]()
	binaryMarshaler = reflect.TypeFor[encoding.BinaryMarshaler]()
	jsonMarshaler   = reflect.TypeFor[json.Marshaler]()
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textMarshaler   = reflect.TypeFor[encoding.TextMarshaler]()
)

// Gob describes a type as encoding/gob sends it: exported fields by name, in order.
func Gob(t reflect.Type) string {
	if implements(t, gobEncoder) || implements(t, binaryMarshaler) {
		return "binary(" + t.String() + ")"
	}
	if t.Kind() != reflect.Struct {
		return nested(t, Gob)
	}
	var fields []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.IsExported() {
			fields = append(fields, f.Name+" "+Gob(f.Type))
		}
	}
	return "{" + strings.Join(fields, "; ") + "}"
}

// JSON describes a type as encoding/json writes it: fields by name, with their options.
func JSON(t reflect.Type) string {
	if implements(t, jsonMarshaler) || implements(t, jsonUnmarshaler) || implements(t, textMarshaler) {
		return "custom " + t.Kind().String()
	}
	if t.Kind() != reflect.Struct {
		return nested(t, JSON)
	}
	var fields []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, tagged := f.Tag.Lookup("json")
		if f.Anonymous && !tagged {
			fields = append(fields, "embedded "+JSON(f.Type))
			continue
		}
		if !f.IsExported() {
			continue
		}
		if !tagged {
			name = f.Name
		}
		fields = append(fields, name+" "+JSON(f.Type))
	}
	return "{" + strings.Join(fields, "; ") + "}"
}

// implements also says whether the pointer to t has the interface's methods.
func implements(t, iface reflect.Type) bool {
	return t.Implements(iface) || reflect.PointerTo(t).Implements(iface)
}

func nested(t reflect.Type, describe func(reflect.Type) string) string {
	switch t.Kind() {
	case reflect.Pointer:
		return "*" + describe(t.Elem())
	case reflect.Slice:
		return "[]" + describe(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), describe(t.Elem()))
	case reflect.Map:
		return "map[" + describe(t.Key()) + "]" + describe(t.Elem())
	}
	return t.Kind().String()
}
