package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/peers"
)

// Exit codes of chicoryctl explain, which differ from those of the other commands.
const (
	ExitSent    = 0 // all routers that were asked would send the request
	ExitRefused = 1 // a router would refuse it
	ExitUnasked = 2 // a router, or the store for the list of routers, could not be asked
)

const (
	// maxTextServers is the number of servers that the text shows.
	maxTextServers = 10
	// maxExplainAtOnce bounds the routers that are asked at the same time.
	maxExplainAtOnce = 32
	// maxParts bounds the size of a query.
	maxParts = 1000
)

// codedError sets the exit code of a command; a nil cause prints nothing.
type codedError struct {
	code  int
	cause error
}

func (e *codedError) Error() string { return fmt.Sprint(e.cause) }

// explainFlags are the flags of chicoryctl explain.
type explainFlags struct {
	router, host, path, key, keyFile, id string
	promptTokens, outputTokens           string
	parts                                []string
	timeout                              string
	hasKeyFile                           bool // keyFile is empty for standard input
	given                                []givenFlag
}

// givenFlag is a flag with a text that must not be empty if it is given: a script's variable may be empty by mistake,
// and the flag would silently count as absent.
type givenFlag struct {
	name  string
	set   *bool
	value *string
}

// textFlag adds a flag whose text must not be empty.
func (f *explainFlags) textFlag(command *kingpin.CmdClause, name, help string, value *string) *kingpin.FlagClause {
	given := givenFlag{name: name, set: new(bool), value: value}
	f.given = append(f.given, given)
	flag := command.Flag(name, help).IsSetByUser(given.set)
	flag.StringVar(value)
	return flag
}

func (a *app) explainCommand(command *kingpin.CmdClause) {
	f := &explainFlags{}
	f.textFlag(command, "router", "IP:port at which the router serves other routers. Default: all that the store lists.", &f.router)
	f.textFlag(command, "host", "Host of the request.", &f.host).Required()
	f.textFlag(command, "path", "Path of the request.", &f.path).Required()
	f.textFlag(command, "key", "API key. Other users of this machine may see it; --key-file hides it.", &f.key)
	command.Flag("key-file", "File that contains the API key; - is standard input.").IsSetByUser(&f.hasKeyFile).StringVar(&f.keyFile)
	f.textFlag(command, "prompt-tokens", "Tokens of the prompt. Default: the sum of the parts.", &f.promptTokens)
	f.textFlag(command, "output-tokens", "Most tokens of the answer.", &f.outputTokens)
	command.Flag("part", "ID:TOKENS of a part of the prompt, in order; repeatable. The last one is the request's own.").StringsVar(&f.parts)
	f.textFlag(command, "request-timeout", "How long the caller waits, such as 2s.", &f.timeout)
	f.textFlag(command, "id", "ID of the request, by which routers spread equal requests. Default: a random one.", &f.id)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
		defer cancel()
		return a.explain(ctx, f)
	})
}

// explanation is the answer of one router.
type explanation struct {
	Peer string `json:"peer"`
	// Error is why the router could not be asked; Report is then nil.
	Error  string          `json:"error,omitempty"`
	Report *explain.Report `json:"report,omitempty"`
}

func (a *app) explain(ctx context.Context, f *explainFlags) error {
	query, err := a.explainQuery(f)
	if err != nil {
		return &codedError{ExitUnasked, err}
	}
	addresses := []string{f.router}
	if f.router == "" {
		if addresses, err = a.peerAddresses(ctx); err != nil {
			return &codedError{ExitUnasked, err}
		}
	}
	answers := make([]explanation, len(addresses))
	asking := pool.New().WithMaxGoroutines(maxExplainAtOnce)
	for i, address := range addresses {
		asking.Go(func() {
			answers[i] = ask(ctx, address, query)
		})
	}
	asking.Wait()
	if err := a.printExplanations(answers); err != nil {
		return &codedError{ExitUnasked, err}
	}
	return outcomeOf(answers)
}

// ask asks the router at an address, which may come from the router's entry in the store.
func ask(ctx context.Context, address string, query explain.Query) explanation {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return explanation{Peer: address, Error: fmt.Sprintf("field peer of its entry in the store: %q is not IP:PORT", address)}
	}
	report, err := peers.Explain(ctx, address, query)
	if err != nil {
		return explanation{Peer: address, Error: err.Error()}
	}
	// The encoding between processes does not distinguish empty lists from absent ones; JSON does.
	if report.Servers == nil {
		report.Servers = []explain.Server{}
	}
	if report.LeftOut == nil {
		report.LeftOut = []explain.Server{}
	}
	return explanation{Peer: address, Report: &report}
}

// outcomeOf returns the error that sets the exit code.
func outcomeOf(answers []explanation) error {
	code := ExitSent
	for _, answer := range answers {
		switch {
		case answer.Report == nil:
			return &codedError{code: ExitUnasked, cause: errors.Errorf("router %s: %s", answer.Peer, answer.Error)}
		case answer.Report.Refusal != nil:
			code = ExitRefused
		}
	}
	if code == ExitSent {
		return nil
	}
	return &codedError{code: code}
}

func (a *app) peerAddresses(ctx context.Context) ([]string, error) {
	routers, err := operate.Routers(ctx, a.openStore(a.storeAddr))
	if err != nil {
		return nil, errors.Wrap(err, "list of routers")
	}
	if len(routers) == 0 {
		return nil, errors.New("the store lists no routers")
	}
	var addresses []string
	for _, r := range routers {
		addresses = append(addresses, r.Peer)
	}
	return addresses, nil
}

// explainQuery returns the request that the flags state, or an error that names the flag that is wrong. No
// error contains a key.
func (a *app) explainQuery(f *explainFlags) (q explain.Query, err error) {
	q = explain.Query{ID: f.id, Host: f.host, Path: f.path, Key: f.key}
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	for _, flag := range f.given {
		if *flag.set && *flag.value == "" {
			return q, errors.Errorf("--%s: must not be empty", flag.name)
		}
	}
	if f.router != "" {
		if _, err := netip.ParseAddrPort(f.router); err != nil {
			return q, errors.Errorf("--router: %q is not IP:PORT", f.router)
		}
	}
	if !strings.HasPrefix(f.path, "/") {
		return q, errors.Errorf("--path: %q does not begin with /", f.path)
	}
	q.Path, _, _ = strings.Cut(f.path, "?")
	if f.hasKeyFile {
		if f.key != "" {
			return q, errors.New("--key-file: not together with --key")
		}
		if q.Key, err = a.readKey(f.keyFile); err != nil {
			return q, err
		}
	}
	if err := f.setTokens(&q); err != nil {
		return q, err
	}
	if f.timeout != "" {
		d, err := time.ParseDuration(f.timeout)
		if err != nil || d < time.Millisecond {
			return q, errors.Errorf("--request-timeout: %q is not a time of a millisecond or more, such as 2s", f.timeout)
		}
		q.TimeoutMS = d.Milliseconds()
	}
	return q, nil
}

// readKey reads the key from a file. No error contains the file's name: it may be the key, given with the wrong flag.
func (a *app) readKey(name string) (string, error) {
	data, err := a.readFile(name)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return "", errors.Wrap(err, "--key-file")
	}
	key := strings.TrimSpace(string(data))
	switch {
	case key == "":
		return "", errors.New("--key-file: the file is empty")
	case strings.ContainsAny(key, "\r\n"):
		return "", errors.New("--key-file: the file has more than one line")
	}
	return key, nil
}

// setTokens sets the token counts, which are unknown if no flag states any.
func (f *explainFlags) setTokens(q *explain.Query) (err error) {
	if len(f.parts) > maxParts {
		return errors.Errorf("--part: more than %d", maxParts)
	}
	sum := 0
	for _, part := range f.parts {
		id, text, found := strings.Cut(part, ":") // as in requests, whose IDs contain neither colons nor commas
		if !found || id == "" || strings.Contains(id, ",") {
			return errors.Errorf("--part: %q is not ID:TOKENS", part)
		}
		tokens, err := parseTokens("--part", text)
		if err != nil {
			return err
		}
		sum += tokens
		q.Parts = append(q.Parts, explain.Part{ID: id, Tokens: tokens})
	}
	q.HasTokens = len(f.parts) > 0 || f.promptTokens != "" || f.outputTokens != ""
	q.PromptTokens = sum
	if f.promptTokens != "" {
		if q.PromptTokens, err = parseTokens("--prompt-tokens", f.promptTokens); err != nil {
			return err
		}
		if q.PromptTokens < sum {
			return errors.Errorf("--prompt-tokens: %d is less than the %d of the parts", q.PromptTokens, sum)
		}
	}
	if f.outputTokens != "" {
		q.OutputTokens, err = parseTokens("--output-tokens", f.outputTokens)
	}
	return err
}

func parseTokens(flag, text string) (int, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, errors.Errorf("%s: %q is not a number of tokens", flag, text)
	}
	return int(n), nil
}
