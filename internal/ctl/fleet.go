package ctl

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/opsapi"
)

// budgetArgs are the arguments of one budget command.
type budgetArgs struct {
	budget  string
	account string
	amount  int64
	topUpID string
}

// billArgs are the arguments of the bills command.
type billArgs struct {
	account string
	since   string
	limit   int
}

func (a *app) fleetCommands(cli *kingpin.Application) {
	a.budgetCommands(cli.Command("budget", "Prepaid budgets."))

	router := cli.Command("router", "Routers.")
	router.Command("list", "Lists routers and the revision that each has in force.").Action(action(a.routerList))

	args := &billArgs{}
	bills := cli.Command("bills", "Lists bills.")
	bills.Flag("account", "Only of this client account.").StringVar(&args.account)
	bills.Flag("since", "Only from this time on, as 2026-12-02T10:00:00Z.").StringVar(&args.since)
	bills.Flag("limit", "At most so many.").Default("1000").IntVar(&args.limit)
	bills.Action(action(func() error { return a.bills(args) }))
}

func (a *app) budgetCommands(parent *kingpin.CmdClause) {
	listArgs := &budgetArgs{}
	list := parent.Command("list", "Lists budgets.")
	list.Flag("account", "Only of this client account.").StringVar(&listArgs.account)
	list.Action(action(func() error { return a.budgetList(listArgs) }))

	getArgs := &budgetArgs{}
	get := parent.Command("get", "Shows one budget and its holders.")
	get.Arg("budget", "Its id.").Required().StringVar(&getArgs.budget)
	get.Action(action(func() error { return a.budgetGet(getArgs) }))

	topUpArgs := &budgetArgs{}
	topUp := parent.Command("topup", "Adds prepaid tokens.")
	topUp.Arg("budget", "Its id.").Required().StringVar(&topUpArgs.budget)
	topUp.Arg("amount", "Tokens.").Required().Int64Var(&topUpArgs.amount)
	topUp.Flag("id", "Id of the payment; the same id counts once however often it is sent. Default: a random one.").
		StringVar(&topUpArgs.topUpID)
	topUp.Action(action(func() error { return a.budgetTopUp(topUpArgs) }))
}

func (a *app) budgetList(args *budgetArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var list opsapi.BudgetList
	if err := client.getJSON("/v1/budgets?account="+url.QueryEscape(args.account), &list); err != nil {
		return err
	}
	return a.print(list, budgetTable(list.Budgets))
}

func budgetTable(budgets []opsapi.BudgetStatus) table {
	t := table{head: []string{"BUDGET", "ACCOUNT", "TOPPED UP", "SPENT", "GRANTED", "IN DOUBT", "FREE"}}
	for _, b := range budgets {
		t.rows = append(t.rows, []string{string(b.Budget), string(b.Account), tokensText(b.ToppedUp),
			tokensText(b.Spent), tokensText(b.Granted), tokensText(b.InDoubt), tokensText(b.Free)})
	}
	return t
}

func (a *app) budgetGet(args *budgetArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var status opsapi.BudgetStatus
	if err := client.getJSON("/v1/budgets/"+url.PathEscape(args.budget), &status); err != nil {
		return err
	}
	if a.output == outputTable {
		if err := a.print(nil, budgetTable([]opsapi.BudgetStatus{status})); err != nil {
			return err
		}
	}
	t := table{head: []string{"HOLDER", "STATE", "GRANTED", "SPENT"}}
	for _, h := range status.Holders {
		t.rows = append(t.rows, []string{h.Router.String(), h.State, tokensText(h.Granted), tokensText(h.Spent)})
	}
	return a.print(status, t)
}

func (a *app) budgetTopUp(args *budgetArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	if args.topUpID == "" {
		args.topUpID = uuid.NewString()
	}
	body, err := json.Marshal(opsapi.TopUpRequest{ID: args.topUpID, Amount: id.Tokens(args.amount)})
	if err != nil {
		return errors.Wrap(err, "write the top-up")
	}
	answer, err := client.send(call{method: fasthttp.MethodPost, body: body,
		path:   "/v1/budgets/" + url.PathEscape(args.budget) + "/topups",
		repeat: "--id " + args.topUpID})
	if err != nil {
		return err
	}
	var status opsapi.BudgetStatus
	if err := json.Unmarshal(answer.body, &status); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	return a.print(status, budgetTable([]opsapi.BudgetStatus{status}))
}

func (a *app) routerList() error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var list opsapi.RouterList
	if err := client.getJSON("/v1/routers", &list); err != nil {
		return err
	}
	t := table{head: []string{"ROUTER", "FAILURE DOMAIN", "CALLERS", "STATE", "REVISION", "HEARD"}}
	for _, r := range list.Routers {
		t.rows = append(t.rows, []string{r.Router.String(), string(r.FailureDomain), r.CallerAddress, r.State,
			revisionText(r.Revision), timeText(r.HeardAt)})
	}
	return a.print(list, t)
}

func (a *app) bills(args *billArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	query := url.Values{"account": {args.account}, "since": {args.since}, "limit": {strconv.Itoa(args.limit)}}
	var list opsapi.BillList
	if err := client.getJSON("/v1/bills?"+query.Encode(), &list); err != nil {
		return err
	}
	t := table{head: []string{"AT", "REQUEST", "ACCOUNT", "BUDGET", "PROMPT", "COMPLETION", "TOTAL"}}
	for _, b := range list.Bills {
		t.rows = append(t.rows, []string{timeText(b.At), string(b.Request), string(b.Account), string(b.Budget),
			tokensText(b.PromptTokens), tokensText(b.CompletionTokens), tokensText(b.Total)})
	}
	return a.print(list, t)
}

func tokensText(tokens id.Tokens) string { return strconv.FormatInt(int64(tokens), 10) }

// waitPoll is how often --wait asks.
const waitPoll = 250 * time.Millisecond

// waitInForce asks until every router has the revision, or time is up.
func (a *app) waitInForce(client *client, revision id.Revision, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		var list opsapi.RouterList
		err := client.getJSON("/v1/routers", &list)
		behind := routersBehind(list.Routers, revision)
		if err == nil && len(behind) == 0 && len(list.Routers) > 0 {
			return a.reportInForce("revision %d is in force on all %d routers\n", revision, len(list.Routers))
		}
		if time.Now().Add(waitPoll).After(deadline) {
			return notInForce(list.Routers, behind, revision, err)
		}
		time.Sleep(waitPoll)
	}
}

// reportInForce goes to standard error, so that the JSON on standard output
// stays one value.
func (a *app) reportInForce(format string, args ...any) error {
	_, err := fmt.Fprintf(a.io.Err, format, args...)
	return errors.Wrap(err, "print")
}

func routersBehind(routers []opsapi.RouterStatus, revision id.Revision) []string {
	var behind []string
	for _, r := range routers {
		if r.Revision < revision {
			behind = append(behind, fmt.Sprintf("%s (%s, at revision %d)", r.Router, r.State, r.Revision))
		}
	}
	return behind
}

func notInForce(routers []opsapi.RouterStatus, behind []string, revision id.Revision, err error) error {
	if err != nil {
		return &notEverywhereError{fmt.Sprintf(
			"revision %d is accepted; which routers have it in force can't be told: %s", revision, err)}
	}
	return &notEverywhereError{fmt.Sprintf("revision %d is accepted and in force on %d of %d routers; not yet on: %s",
		revision, len(routers)-len(behind), len(routers), strings.Join(behind, ", "))}
}
