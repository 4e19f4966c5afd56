package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// table is an answer laid out for people.
type table struct {
	head []string
	rows [][]string
}

// print writes value as JSON or the table, as --output asks.
func (a *app) print(value any, t table) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.io.Out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print")
	}
	const padding = 2
	writer := tabwriter.NewWriter(a.io.Out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{t.head}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(writer.Flush(), "print")
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.io.Out, format, args...)
	return errors.Wrap(err, "print")
}
