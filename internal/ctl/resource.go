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

	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/opsapi"
)

// resource is one kind of configured object, as commands name it.
type resource struct {
	command string
	kind    config.Kind
	path    string
	help    string
	nameKey string // JSON field with the object's name; empty: NAME is an argument
}

var resources = []resource{
	{"contract", config.KindContract, "/v1/contracts", "Contracts of client accounts.", "account"},
	{"backend", config.KindBackend, "/v1/backends", "Backend servers.", "id"},
	{"service", config.KindService, "/v1/services", "Plain services.", "name"},
	{"model", config.KindModel, "/v1/models", "Models that engines serve.", "name"},
	{"setting", config.KindSetting, "/v1/settings", "Settings of the fleet.", ""},
}

// resourceArgs are the arguments of one resource command.
type resourceArgs struct {
	name     string
	file     string
	ifMatch  string
	changeID string

	wait        bool
	waitTimeout time.Duration
}

// resourceCommands adds the commands of one resource. Each command has its own
// arguments, so that the default of one can't overwrite what another was given.
func (a *app) resourceCommands(cli *kingpin.Application, r resource) {
	parent := cli.Command(r.command, r.help)
	a.applyCommand(parent, r)
	a.deleteCommand(parent, r)
	a.readCommands(parent, r)
}

func (a *app) applyCommand(parent *kingpin.CmdClause, r resource) {
	args := &resourceArgs{}
	apply := parent.Command("apply", "Creates or replaces one from a JSON file ('-' for standard input).")
	if r.nameKey == "" {
		nameArg(apply, args)
	}
	apply.Arg("file", "JSON file.").Required().StringVar(&args.file)
	changeFlags(apply, args)
	apply.Action(action(func() error { return a.apply(r, args) }))
}

func (a *app) deleteCommand(parent *kingpin.CmdClause, r resource) {
	args := &resourceArgs{}
	remove := parent.Command("delete", "Deletes one.")
	nameArg(remove, args)
	changeFlags(remove, args)
	remove.Action(action(func() error { return a.remove(r, args) }))
}

func (a *app) readCommands(parent *kingpin.CmdClause, r resource) {
	getArgs := &resourceArgs{}
	get := parent.Command("get", "Prints one as JSON.")
	nameArg(get, getArgs)
	get.Action(action(func() error { return a.get(r, getArgs) }))

	parent.Command("list", "Lists all.").Action(action(func() error { return a.list(r) }))

	diffArgs := &resourceArgs{}
	diff := parent.Command("diff", "Shows what applying a JSON file would change.")
	if r.nameKey == "" {
		nameArg(diff, diffArgs)
	}
	diff.Arg("file", "JSON file.").Required().StringVar(&diffArgs.file)
	diff.Action(action(func() error { return a.diff(r, diffArgs) }))

	historyArgs := &resourceArgs{}
	history := parent.Command("history", "Lists recent changes.")
	history.Arg("name", "Only of this one.").StringVar(&historyArgs.name)
	history.Action(action(func() error { return a.history(r, historyArgs) }))
}

func nameArg(command *kingpin.CmdClause, args *resourceArgs) {
	command.Arg("name", "Its name.").Required().StringVar(&args.name)
}

func changeFlags(command *kingpin.CmdClause, args *resourceArgs) {
	command.Flag("if-match", "The revision you read: a number, 'none' (must not exist) or 'any'. "+
		"Without it the present one is read first.").StringVar(&args.ifMatch)
	command.Flag("change-id", "The id printed when an outcome was not yet known; repeats that change safely.").
		StringVar(&args.changeID)
	command.Flag("wait", "Wait until every router has it in force, and name those that don't.").BoolVar(&args.wait)
	command.Flag("wait-timeout", "How long to wait.").Default("30s").DurationVar(&args.waitTimeout)
}

func (r resource) url(name string) string { return r.path + "/" + url.PathEscape(name) }

// load reads the file and finds the object's name.
func (a *app) load(r resource, args *resourceArgs) ([]byte, error) {
	body, err := a.readFile(args.file)
	if err != nil {
		return nil, err
	}
	if r.nameKey == "" {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, &usageError{errors.Wrapf(err, "%s is not a JSON object", args.file)}
	}
	if err := json.Unmarshal(fields[r.nameKey], &args.name); err != nil || args.name == "" {
		return nil, &usageError{errors.Errorf("%s has no %q that names the %s", args.file, r.nameKey, r.command)}
	}
	return body, nil
}

func (a *app) apply(r resource, args *resourceArgs) error {
	body, err := a.load(r, args)
	if err != nil {
		return err
	}
	return a.change(r, args, call{method: fasthttp.MethodPut, path: r.url(args.name), body: body})
}

func (a *app) remove(r resource, args *resourceArgs) error {
	return a.change(r, args, call{method: fasthttp.MethodDelete, path: r.url(args.name)})
}

func (a *app) change(r resource, args *resourceArgs, request call) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	request.header = map[string]string{}
	if args.changeID == "" {
		args.changeID = uuid.NewString()
	} else {
		request.header[opsapi.HeaderChangeResent] = "true"
	}
	request.header[opsapi.HeaderChangeID] = args.changeID
	name, value, err := precondition(client, r, args)
	if err != nil {
		return err
	}
	request.header[name] = value
	request.repeat = repeatFlags(args.changeID, name, value)
	answer, err := client.send(request)
	if err != nil {
		return err
	}
	var result config.Result
	if err := json.Unmarshal(answer.body, &result); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if err := a.print(result, resultTable(r, args.name, result)); err != nil {
		return err
	}
	if !args.wait {
		return nil
	}
	return a.waitInForce(client, result.Revision, args.waitTimeout)
}

func resultTable(r resource, name string, result config.Result) table {
	return table{head: []string{"KIND", "NAME", "OUTCOME", "REVISION"},
		rows: [][]string{{r.command, name, string(result.Outcome), revisionText(result.Revision)}}}
}

// repeatFlags gives the flags that repeat a change: the same precondition too,
// because the present revision may by then be that of the change itself.
func repeatFlags(changeID, name, value string) string {
	match := strings.Trim(value, `"`)
	switch {
	case name == fasthttp.HeaderIfNoneMatch:
		match = "none"
	case value == "*":
		match = "any"
	}
	return fmt.Sprintf("--change-id %s --if-match %s", changeID, match)
}

// precondition gives the header that says which revision the change is based on.
func precondition(client *client, r resource, args *resourceArgs) (name, value string, err error) {
	switch args.ifMatch {
	case "none":
		return fasthttp.HeaderIfNoneMatch, "*", nil
	case "any":
		return fasthttp.HeaderIfMatch, "*", nil
	case "":
		return presentRevision(client, r, args.name)
	}
	if _, err := strconv.ParseUint(args.ifMatch, 10, 63); err != nil {
		return "", "", &usageError{errors.New("--if-match must be a revision, 'none' or 'any'")}
	}
	return fasthttp.HeaderIfMatch, strconv.Quote(args.ifMatch), nil
}

func presentRevision(client *client, r resource, name string) (string, string, error) {
	answer, err := client.send(call{method: fasthttp.MethodGet, path: r.url(name)})
	if exitCode(err) == ExitNotFound {
		return fasthttp.HeaderIfNoneMatch, "*", nil
	}
	if err != nil {
		return "", "", err
	}
	return fasthttp.HeaderIfMatch, answer.etag, nil
}

func (a *app) get(r resource, args *resourceArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var body json.RawMessage
	if err := client.getJSON(r.url(args.name), &body); err != nil {
		return err
	}
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	return a.printf("%s\n", text)
}

func (a *app) list(r resource) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var list opsapi.ObjectList
	if err := client.getJSON(r.path, &list); err != nil {
		return err
	}
	t := table{head: []string{"NAME", "REVISION", "AUTHOR", "CHANGED"}}
	for _, object := range list.Objects {
		t.rows = append(t.rows, []string{object.Name, revisionText(object.Revision), object.Author, timeText(object.At)})
	}
	return a.print(list, t)
}

func (a *app) history(r resource, args *resourceArgs) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var history opsapi.HistoryBody
	if err := client.getJSON("/v1/config/history", &history); err != nil {
		return err
	}
	t := table{head: []string{"REVISION", "NAME", "CHANGE", "AUTHOR", "AT", "PREVIOUS"}}
	entries := []config.Entry{}
	for _, e := range history.Entries {
		if e.Kind != r.kind || (args.name != "" && e.Name != args.name) {
			continue
		}
		entries = append(entries, e)
		t.rows = append(t.rows, []string{revisionText(e.Revision), e.Name, changeText(e), e.Author,
			timeText(e.At), revisionText(e.Previous)})
	}
	return a.print(opsapi.HistoryBody{Entries: entries}, t)
}

func changeText(e config.Entry) string {
	switch {
	case e.Deleted:
		return "deleted"
	case e.Previous == 0:
		return "created"
	}
	return "changed"
}

func revisionText(revision id.Revision) string { return strconv.FormatUint(uint64(revision), 10) }

func timeText(at time.Time) string { return at.UTC().Format(time.RFC3339) }
