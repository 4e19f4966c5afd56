package timeline

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// timeLayout has a fixed number of decimals, so that times in the table align.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

// WriteJSON writes the lines as they are in their logs.
func WriteJSON(w io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := w.Write(append(line.Raw, '\n')); err != nil {
			return errors.Wrap(err, "timeline: writing")
		}
	}
	return nil
}

// WriteTable writes the lines as a human-readable table.
func WriteTable(w io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLOCK\tTIME\tPROCESS\tEVENT\tTEXT\tATTRIBUTES")
	for i := range lines {
		line := &lines[i]
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\t%s\n",
			line.Clock, line.Time.Format(timeLayout), line.Process, line.Number, line.Text, formatAttrs(line.Attrs))
	}
	return errors.Wrap(table.Flush(), "timeline: writing")
}

// formatAttrs formats attributes as key=value. It quotes values with spaces, quotes, equals
// signs or control characters, so that a value can't look like another attribute or break the
// table.
func formatAttrs(attrs []Attr) string {
	var text strings.Builder
	for i, attr := range attrs {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(attr.Key)
		text.WriteByte('=')
		if strings.ContainsFunc(attr.Value, needsQuoting) {
			fmt.Fprintf(&text, "%q", attr.Value)
		} else {
			text.WriteString(attr.Value)
		}
	}
	return text.String()
}

func needsQuoting(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == 0x7f
}
