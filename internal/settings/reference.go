package settings

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const referenceHead = `# Settings of chicory-router

This page is generated from the code (` + "`settings.WriteReference`" + `); a test holds it
equal. Write it again with:

    go test ./internal/settings -run TestReference -update

The file is INI: ` + "`[section]`" + ` lines and ` + "`key = value`" + ` lines; ` + "`#`" + ` and ` + "`;`" + ` start a
comment. ` + "`chicory-router --check-settings`" + ` only checks it. All faults are told at
once, one a line, with section, key and what would be right; an unknown section or
key is a fault too. Durations carry their unit: ` + "`500ms`, `10s`, `2m`" + `. Secrets stay in
files of their own, and are never printed.

Some keys must fit together: ` + "`tls_certificate` and `tls_key`" + ` are both set or neither
(for ` + "`[peers]` also `tls_ca`" + `); the three ` + "`listen`" + ` keys have different ports;
` + "`suspect_after`" + ` is at least four times ` + "`heartbeat`; `min_grant` is at most `max_grant`;" + `
` + "`linger` is at least `entry_ttl`" + `.
`

// WriteReference writes docs/SETTINGS.md.
func WriteReference(w io.Writer) error {
	var page bytes.Buffer
	page.WriteString(referenceHead)
	section := ""
	for _, key := range Keys() {
		if key.Section != section {
			section = key.Section
			fmt.Fprintf(&page, "\n## [%s]\n\n| key | value | default | range | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Type, defaultCell(key), key.Range, cell(key.Help))
	}
	_, err := w.Write(page.Bytes())
	return errors.Wrap(err, "settings: write reference")
}

func defaultCell(key Key) string {
	switch {
	case key.Required:
		return "**required**"
	case key.Default == "":
		return "none"
	default:
		return "`" + key.Default + "`"
	}
}

func cell(text string) string {
	return strings.ReplaceAll(text, "|", `\|`)
}
