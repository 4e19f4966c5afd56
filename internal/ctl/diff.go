package ctl

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"
)

// Difference is one field that applying a file would change. Before or After is
// empty when the field is added or removed.
type Difference struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (a *app) diff(r resource, args *resourceArgs) error {
	body, err := a.load(r, args)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	current := json.RawMessage("null")
	if err := client.getJSON(r.url(args.name), &current); err != nil && exitCode(err) != ExitNotFound {
		return err
	}
	differences, err := compare(current, body)
	if err != nil {
		return &usageError{errors.Wrap(err, args.file)}
	}
	t := table{head: []string{"FIELD", "BEFORE", "AFTER"}}
	for _, d := range differences {
		t.rows = append(t.rows, []string{d.Field, d.Before, d.After})
	}
	return a.print(differences, t)
}

// compare lists the fields in which two JSON values differ.
func compare(before, after json.RawMessage) ([]Difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	changed, err := flatten(after)
	if err != nil {
		return nil, err
	}
	differences := []Difference{}
	for field, value := range old {
		if changed[field] != value {
			differences = append(differences, Difference{Field: field, Before: value, After: changed[field]})
		}
	}
	for field, value := range changed {
		if _, found := old[field]; !found {
			differences = append(differences, Difference{Field: field, After: value})
		}
	}
	sort.Slice(differences, func(i, j int) bool { return differences[i].Field < differences[j].Field })
	return differences, nil
}

// flatten gives the scalar values of a JSON value by their path. An empty object
// or list and null have none, as an absent field.
func flatten(data json.RawMessage) (map[string]string, error) {
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return nil, err
	}
	fields := make(map[string]string)
	flattenInto(fields, "", value)
	return fields, nil
}

func flattenInto(fields map[string]string, path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for name, member := range value {
			flattenInto(fields, joinPath(path, name), member)
		}
	case []any:
		for i, member := range value {
			flattenInto(fields, fmt.Sprintf("%s[%d]", path, i), member)
		}
	default:
		text, _ := json.Marshal(value)
		fields[path] = string(text)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
