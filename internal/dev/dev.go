// Package dev runs a whole small fleet in one process on loopback, on an embedded
// in-memory platform: for a first look and for tests of the whole path.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/platform/vmlist"
	"chicorytiller.example/chicorytiller/internal/router"
	"chicorytiller.example/chicorytiller/internal/settings"
)

// Options size the fleet.
type Options struct {
	Routers  int           // spread over the failure domains
	Engines  int           // likewise
	Slots    int           // of each engine
	Token    time.Duration // between two tokens of an engine
	FirstAt  int           // port of the first router's callers' listener; 0: any free ones
	LogLevel slog.Level
	Log      io.Writer // events of all processes
}

// Names and sizes of the example.
const (
	Model       id.Model   = "chicory-small"
	ServiceName id.Service = "register"

	exampleBudget   id.Tokens = 5_000_000
	exampleShards             = 4
	exampleAddress            = "127.0.0.1"
	startTimeout              = 20 * time.Second
	startPoll                 = 20 * time.Millisecond
	portsPerRouter            = 3
	operatorKeySize           = 16
)

// FailureDomains of the example.
var FailureDomains = []id.FailureDomain{"holesovice", "smichov", "karlin"}

// Fleet is a running fleet.
type Fleet struct {
	Routers     []*router.Router
	Engines     []*enginestub.Server
	Service     *enginestub.Service
	KV          *memkv.Store
	Store       *config.Store
	Accounts    []Account
	OperatorKey string

	options   Options
	addresses []string // of the engines, then of the service
	dir       string
	ctx       context.Context
	cancel    context.CancelFunc
	routing   conc.WaitGroup
	serving   conc.WaitGroup // of the backend servers, which outlive the routers
}

// Account is a client account of the example with its caller's key.
type Account struct {
	Name   id.ClientAccount
	Key    string
	Budget id.Budget
}

// Start starts a fleet and waits until every router serves.
func Start(options Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "chicory-dev")
	if err != nil {
		return nil, errors.Wrap(err, "dev")
	}
	f := &Fleet{options: options, dir: dir, KV: memkv.New(nil)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.Store = config.NewStore(f.KV, time.Now)
	for _, step := range []func() error{f.startBackends, f.configure, f.startRouters, f.waitReady} {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop stops all routers as planned, then the rest.
func (f *Fleet) Stop() {
	f.cancel()
	f.routing.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	if f.Service != nil {
		f.Service.Close()
	}
	f.serving.Wait()
	_ = os.RemoveAll(f.dir)
}

func (f *Fleet) startBackends() error {
	for range f.options.Engines {
		engine := enginestub.New(enginestub.Config{
			Models: []string{string(Model)}, Slots: f.options.Slots, TokenTime: f.options.Token,
		})
		f.Engines = append(f.Engines, engine)
		if err := f.serve(engine.Serve); err != nil {
			return err
		}
	}
	f.Service = enginestub.NewService(enginestub.ServiceConfig{})
	return f.serve(f.Service.Serve)
}

func (f *Fleet) serve(serve func(net.Listener) error) error {
	listener, err := net.Listen("tcp", exampleAddress+":0")
	if err != nil {
		return errors.Wrap(err, "dev: backend server")
	}
	f.serving.Go(func() { _ = serve(listener) })
	f.addresses = append(f.addresses, listener.Addr().String())
	return nil
}

// configure writes the models, backend servers, contracts and budgets.
func (f *Fleet) configure() error {
	if err := f.put(config.KindModel, string(Model), contract.Model{Name: Model, BytesPerToken: 4, ContextTokens: 32_768}); err != nil {
		return err
	}
	service := contract.Service{Name: ServiceName, NonIdempotent: []string{"POST /confirm"}, PricePerCall: 10, TimeoutMS: 5000}
	if err := f.put(config.KindService, string(ServiceName), service); err != nil {
		return err
	}
	for i := range f.Engines {
		b := contract.BackendServer{ID: id.Backend(fmt.Sprintf("engine-%d", i+1)), VM: id.VM(fmt.Sprintf("backend-%d", i+1)), Kind: contract.KindEngine,
			Address: f.addresses[i], FailureDomain: domain(i), Models: []id.Model{Model}}
		if err := f.put(config.KindBackend, string(b.ID), b); err != nil {
			return err
		}
	}
	b := contract.BackendServer{ID: "register-1", VM: "backend-register", Kind: contract.KindService,
		Address: f.addresses[len(f.Engines)], FailureDomain: domain(0), Service: ServiceName}
	if err := f.put(config.KindBackend, string(b.ID), b); err != nil {
		return err
	}
	for _, name := range []id.ClientAccount{"boatyard", "harbour"} {
		if err := f.addAccount(name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addAccount(name id.ClientAccount) error {
	key, hash, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "dev")
	}
	account := Account{Name: name, Key: key, Budget: id.Budget(name) + "-2026"}
	f.Accounts = append(f.Accounts, account)
	err = f.put(config.KindContract, string(name), contract.Contract{
		Account:           name,
		Keys:              []contract.KeyHash{hash},
		Budgets:           []contract.Budget{{ID: account.Budget}},
		RequestsPerSecond: 2000,
		Burst:             2000,
		Concurrency:       2000,
		Priority:          5,
		Models:            []id.Model{Model},
		Services:          []id.Service{ServiceName},
		MaxTokens:         4096,
		DeadlineMS:        30_000,
	})
	if err != nil {
		return err
	}
	books := ledger.New(f.KV, exampleShards, budget.DefaultPolicy())
	op := budget.TopUp{Budget: account.Budget, Account: name, ID: "first", Amount: exampleBudget, At: time.Now()}
	result, err := books.Commit(f.ctx, books.ShardOf(account.Budget), []budget.Op{op})
	if err != nil {
		return err
	}
	return result.Errs[0]
}

func (f *Fleet) put(kind config.Kind, name string, object any) error {
	body, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "dev")
	}
	_, err = f.Store.Apply(f.ctx, config.Change{Kind: kind, Name: name, Body: body, Author: "chicory-dev", ChangeID: uuid.NewString()})
	return err
}

func domain(i int) id.FailureDomain {
	return FailureDomains[i%len(FailureDomains)]
}

// startRouters binds all listeners first, so that each router can be told of the
// others as its seeds.
func (f *Fleet) startRouters() error {
	key, _, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return errors.Wrap(err, "dev")
	}
	f.OperatorKey = key
	listeners := make([]router.Listeners, f.options.Routers)
	var seeds []netip.AddrPort
	for i := range listeners {
		if listeners[i], err = f.listen(i); err != nil {
			return err
		}
		seeds = append(seeds, netip.MustParseAddrPort(listeners[i].Link.Addr().String()))
	}
	for i := range listeners {
		s, err := f.routerSettings(i, seeds)
		if err != nil {
			return err
		}
		r, err := router.New(s, router.Options{
			KV: f.KV, VMs: vmlist.NewStatic(), Output: f.options.Log, Listeners: listeners[i],
		})
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		f.routing.Go(func() { _ = r.Run(f.ctx) })
	}
	return nil
}

func (f *Fleet) listen(i int) (router.Listeners, error) {
	bound := make([]net.Listener, portsPerRouter)
	for p := range bound {
		port := 0
		if f.options.FirstAt > 0 {
			port = f.options.FirstAt + portsPerRouter*i + p
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", exampleAddress, port))
		if err != nil {
			return router.Listeners{}, errors.Wrap(err, "dev: router")
		}
		bound[p] = listener
	}
	return router.Listeners{Callers: bound[0], Operators: bound[1], Link: bound[2]}, nil
}

// routerSettings writes the settings as an operator would, and reads them back.
func (f *Fleet) routerSettings(i int, seeds []netip.AddrPort) (*settings.Router, error) {
	keyFile := filepath.Join(f.dir, "shared-key")
	const mode = 0o600
	if err := os.WriteFile(keyFile, []byte(f.OperatorKey+"\n"), mode); err != nil {
		return nil, errors.Wrap(err, "dev")
	}
	list := ""
	for n, seed := range seeds {
		if n > 0 {
			list += ", "
		}
		list += seed.String()
	}
	return settings.Parse(fmt.Appendf(nil, settingsText, i+1, domain(i), exampleAddress,
		contract.HashKey(f.OperatorKey), keyFile, list, exampleShards))
}

const settingsText = `[router]
vm = entry-%d
failure_domain = %s
advertise_ip = %s
[callers]
entry_ttl = 1s
[operators]
credential_sha256 = %s
[peers]
shared_key_file = %s
seeds = %s
heartbeat = 100ms
suspect_after = 1s
[platform]
kv_endpoint = http://127.0.0.1:1
vm_list_url = http://127.0.0.1:1
budget_shards = %d
[drain]
linger = 1s
`

// waitReady waits until every router serves and knows all others.
func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.ready() {
			return nil
		}
		time.Sleep(startPoll)
	}
	return errors.New("dev: the routers did not become ready in time")
}

func (f *Fleet) ready() bool {
	for _, r := range f.Routers {
		snapshot := r.Snapshot()
		if !snapshot.Ready || snapshot.Revision < f.Store.State().Revision || len(snapshot.Routers) < len(f.Routers) {
			return false
		}
	}
	return true
}
