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

// budgetCausePrefix is the prefix of the causes of refusals for lack of tokens.
const budgetCausePrefix = "budget_"

// budgetSummary summarizes the events about one account's tokens.
type budgetSummary struct {
	// used is the number of tokens charged for the account's requests.
	used int64
	// closedGrants is the number of closed grants of dead routers. assumedSpent is how many of
	// their tokens count as spent, reportedSpent how many the routers had reported as spent.
	closedGrants                int
	assumedSpent, reportedSpent int64
	refused                     map[string]int // requests by cause
}

// WriteBudgets writes one row per client account: the tokens charged for its requests, the
// tokens in doubt after router crashes, and the requests refused for lack of tokens.
func WriteBudgets(w io.Writer, lines []Line) error {
	budgets := summarizeBudgets(lines)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCOUNT\tUSED\tGRANTS CLOSED\tJUDGED\tREPORTED\tIN DOUBT\tREFUSED")
	for _, account := range slices.Sorted(maps.Keys(budgets)) {
		b := budgets[account]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", account, b.used, b.closedGrants, b.assumedSpent, b.reportedSpent, b.assumedSpent-b.reportedSpent, formatRefused(b.refused))
	}
	return errors.Wrap(table.Flush(), "timeline: writing")
}

func summarizeBudgets(lines []Line) map[string]*budgetSummary {
	budgets := make(map[string]*budgetSummary)
	summary := func(account string) *budgetSummary {
		if budgets[account] == nil {
			budgets[account] = &budgetSummary{refused: make(map[string]int)}
		}
		return budgets[account]
	}
	for i := range lines {
		line := &lines[i]
		account, cause := line.Attr(event.KeyAccount), line.Attr(event.KeyCause)
		switch line.Number {
		case event.RequestServed, event.RequestAbandoned, event.ResponseAborted:
			if tokens, ok := intAttr(line, event.KeyTokens); ok && account != "" {
				summary(account).used += tokens
			}
		case event.RequestRefused:
			if strings.HasPrefix(cause, budgetCausePrefix) && account != "" {
				summary(account).refused[cause]++
			}
		case event.GrantClosed:
			b := summary(line.Attr(event.KeyBudget))
			assumed, _ := intAttr(line, "judged")
			reported, _ := intAttr(line, "spent")
			b.closedGrants++
			b.assumedSpent += assumed
			b.reportedSpent += reported
		}
	}
	return budgets
}

// formatRefused returns the number of requests of each cause, or a dash if there are none.
func formatRefused(refused map[string]int) string {
	if len(refused) == 0 {
		return "-"
	}
	var texts []string
	for _, cause := range slices.Sorted(maps.Keys(refused)) {
		texts = append(texts, fmt.Sprintf("%s=%d", strings.TrimPrefix(cause, budgetCausePrefix), refused[cause]))
	}
	return strings.Join(texts, " ")
}
