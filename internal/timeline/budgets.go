package timeline

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
)

// budgetCauses begin the causes of refusals for want of tokens.
const budgetCauses = "budget_"

// budgetUse is what the lines tell of one account's tokens.
type budgetUse struct {
	// used is what its requests paid for.
	used int64
	// closed counts the grants of routers that died. judged is what counts as used of them,
	// reported what they had said they used.
	closed           int
	judged, reported int64
	refused          map[string]int // requests, by cause
}

// WriteBudgets writes a row a client account: the tokens that its requests paid for, what the
// deaths of routers put in doubt, and the requests refused for want of tokens.
func WriteBudgets(w io.Writer, lines []Line) error {
	uses := usesOf(lines)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tUSED\tGRANTS CLOSED\tJUDGED\tREPORTED\tIN DOUBT\tREFUSED")
	for _, account := range slices.Sorted(maps.Keys(uses)) {
		u := uses[account]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", account, u.used, u.closed, u.judged, u.reported, u.judged-u.reported, refusedText(u.refused))
	}
	return errors.Wrap(table.Flush(), "timeline: writing")
}

func usesOf(lines []Line) map[string]*budgetUse {
	uses := make(map[string]*budgetUse)
	of := func(account string) *budgetUse {
		if uses[account] == nil {
			uses[account] = &budgetUse{refused: make(map[string]int)}
		}
		return uses[account]
	}
	for i := range lines {
		line := &lines[i]
		account, cause := line.Attr(event.KeyAccount), line.Attr(event.KeyCause)
		switch line.Number {
		case event.RequestServed, event.RequestAbandoned, event.ResponseAborted:
			if tokens, known := number(line, event.KeyTokens); known && account != "" {
				of(account).used += tokens
			}
		case event.RequestRefused:
			if strings.HasPrefix(cause, budgetCauses) && account != "" {
				of(account).refused[cause]++
			}
		case event.GrantClosed:
			u := of(line.Attr(event.KeyBudget))
			judged, _ := number(line, "judged")
			reported, _ := number(line, "spent")
			u.closed++
			u.judged += judged
			u.reported += reported
		}
	}
	return uses
}

// refusedText lists causes with their requests, or gives a dash.
func refusedText(refused map[string]int) string {
	if len(refused) == 0 {
		return "-"
	}
	var texts []string
	for _, cause := range slices.Sorted(maps.Keys(refused)) {
		texts = append(texts, fmt.Sprintf("%s=%d", strings.TrimPrefix(cause, budgetCauses), refused[cause]))
	}
	return strings.Join(texts, " ")
}
