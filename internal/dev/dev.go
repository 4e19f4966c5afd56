// Package dev runs a complete small fleet in one process on the loopback interface, with
// an in-memory store. It serves demonstrations and end-to-end tests.
package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// Options configure the fleet.
type Options struct {
	Routers     int           // number of routers, spread over the failure domains
	Engines     int           // number of engines, spread over the failure domains
	Slots       int           // requests that one engine runs concurrently
	TokenTime   time.Duration // time between two tokens of an engine
	FirstPort   int           // caller port of the first router, the others follow; 0 picks free ports
	StorePort   int           // port of the store; 0 picks a free port
	GracePeriod time.Duration // time limit of a graceful shutdown; 0 means defaultGracePeriod
	Log         io.Writer     // event log of all routers
	// NewStoreHandler returns a handler that serves the store's API.
	NewStoreHandler func(store.Served) http.Handler
	// OpenStore returns a client of the store at address.
	OpenStore func(address string) store.Store
}

// Names and sizes of the example fleet.
const (
	Model       id.Model   = "chicory-small"
	ServiceName id.Service = "register"

	prepaidTokens      id.Tokens = 5_000_000
	pricePerCall       id.Tokens = 10
	loopbackHost                 = "127.0.0.1"
	pollInterval                 = 20 * time.Millisecond
	defaultGracePeriod           = 8 * time.Second
)

// FailureDomains are the failure domains of the example fleet.
var FailureDomains = []id.FailureDomain{"holesovice", "smichov", "karlin"}

// Fleet is a running fleet.
type Fleet struct {
	Routers   []*node.Node
	Engines   []*enginestub.Server
	Service   *enginestub.Service
	Store     *memstore.Store
	StoreAddr string // IP:port of the store's API
	Accounts  []Account

	options      Options
	backendAddrs []string // of the engines, then the service
	storeServer  *http.Server
	stopFuncs    []context.CancelFunc // of the routers
	routerGroup  conc.WaitGroup
	serverGroup  conc.WaitGroup // the store and the backend servers, which stop after the routers
}

// Account is a client account of the example fleet and its API key.
type Account struct {
	Name id.ClientAccount
	Key  string
}

// Start starts a fleet and waits until every router is ready.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, Store: memstore.New(nil)}
	for _, step := range []func() error{f.startStore, f.startBackends, f.configure, f.startRouters} {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	f.awaitReady()
	return f, nil
}

// Stop shuts all routers down gracefully, then closes the backend servers and the store.
func (f *Fleet) Stop() {
	for _, stop := range f.stopFuncs {
		stop()
	}
	f.routerGroup.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	if f.Service != nil {
		f.Service.Close()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close() // nothing uses the store any more
	}
	f.serverGroup.Wait()
}

func (f *Fleet) startStore() error {
	listener, err := listen(f.options.StorePort)
	if err != nil {
		return err
	}
	f.StoreAddr = listener.Addr().String()
	f.storeServer = &http.Server{Handler: f.options.NewStoreHandler(f.Store), ReadHeaderTimeout: time.Second}
	f.serverGroup.Go(func() { _ = f.storeServer.Serve(listener) }) // returns after Stop
	return nil
}

func (f *Fleet) startBackends() error {
	for i := range f.options.Engines {
		engine := enginestub.New(enginestub.Config{
			ID: engineID(i), Models: []string{string(Model)}, Slots: f.options.Slots, TokenTime: f.options.TokenTime,
		})
		f.Engines = append(f.Engines, engine)
		if err := f.listenAndServe(engine.Serve); err != nil {
			return err
		}
	}
	f.Service = enginestub.NewService(enginestub.ServiceConfig{ID: serviceID})
	return f.listenAndServe(f.Service.Serve)
}

const serviceID = "register-1"

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i+1)
}

func (f *Fleet) listenAndServe(serve func(net.Listener) error) error {
	listener, err := listen(0)
	if err != nil {
		return err
	}
	f.serverGroup.Go(func() { _ = serve(listener) }) // returns after Stop
	f.backendAddrs = append(f.backendAddrs, listener.Addr().String())
	return nil
}

func listen(port int) (net.Listener, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackHost, port))
	return listener, errors.Wrap(err, "dev")
}

// configure writes the configuration document and registers the backend servers.
func (f *Fleet) configure() error {
	d := &native.Document{
		Models: []contract.Model{{Name: Model, BytesPerToken: 4, ContextTokens: 32_768, TokensPerEvent: 1, Attempts: 3}},
		Services: []contract.Service{{Name: ServiceName, NonIdempotent: []string{"POST /confirm"}, PricePerCall: pricePerCall,
			TimeoutMS: 5000, Attempts: 2}},
	}
	for _, name := range []id.ClientAccount{"boatyard", "harbour"} {
		c, err := f.newContract(name)
		if err != nil {
			return err
		}
		d.Contracts = append(d.Contracts, c)
	}
	ctx := context.Background()
	if err := operate.Replace(ctx, f.Store, d); err != nil {
		return err
	}
	for i := range f.Engines {
		b := contract.BackendServer{ID: id.Backend(engineID(i)), Kind: contract.KindEngine, Address: f.backendAddrs[i],
			FailureDomain: domain(i), Models: []id.Model{Model}}
		if err := operate.Register(ctx, f.Store, b); err != nil {
			return err
		}
	}
	return operate.Register(ctx, f.Store, contract.BackendServer{ID: serviceID, Kind: contract.KindService,
		Address: f.backendAddrs[len(f.Engines)], FailureDomain: domain(0), Service: ServiceName})
}

func (f *Fleet) newContract(name id.ClientAccount) (contract.Contract, error) {
	key, hash, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return contract.Contract{}, err
	}
	f.Accounts = append(f.Accounts, Account{Name: name, Key: key})
	return contract.Contract{
		Account: name, Keys: []contract.KeyHash{hash}, Prepaid: prepaidTokens,
		RequestsPerSecond: 2000, Burst: 2000, Concurrency: 2000, Priority: 5,
		Models: []id.Model{Model}, Services: []id.Service{ServiceName}, MaxTokens: 4096, DeadlineMS: 30_000,
	}, nil
}

func domain(i int) id.FailureDomain {
	return FailureDomains[i%len(FailureDomains)]
}

func (f *Fleet) startRouters() error {
	for i := range f.options.Routers {
		if err := f.StartRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts router i. A router that has stopped can be started again.
func (f *Fleet) StartRouter(i int) error {
	clock, err := escrow.SystemClock()
	if err != nil {
		return err
	}
	settings := f.routerSettings(i)
	log := event.New(f.options.Log, settings.VM, slog.LevelInfo, nil)
	r := node.New(settings, native.Environment(f.options.OpenStore(f.StoreAddr), clock, log), log, uuid.NewString())
	if err := r.Listen(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	if i == len(f.Routers) {
		f.Routers, f.stopFuncs = append(f.Routers, r), append(f.stopFuncs, stop)
	}
	f.Routers[i], f.stopFuncs[i] = r, stop
	f.routerGroup.Go(func() { r.Run(ctx) })
	return nil
}

func (f *Fleet) routerSettings(i int) *node.Settings {
	anyPort := loopbackHost + ":0"
	s := &node.Settings{
		VM: fmt.Sprintf("entry-%d", i+1), FailureDomain: string(domain(i)),
		CallerAddr: anyPort, ReadyAddr: anyPort, DirectoryAddr: anyPort, MetricsAddr: anyPort, PeerAddr: anyPort, StoreAddr: f.StoreAddr,
		DrainTime: 2 * time.Second, GracePeriod: f.options.GracePeriod, EntryTTL: time.Second,
		RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	}
	if f.options.FirstPort > 0 {
		s.CallerAddr = fmt.Sprintf("%s:%d", loopbackHost, f.options.FirstPort+i)
	}
	if s.GracePeriod == 0 {
		s.GracePeriod = defaultGracePeriod
	}
	return s
}

// awaitReady waits until every router is ready for callers.
func (f *Fleet) awaitReady() {
	for _, r := range f.Routers {
		for !r.Ready() {
			time.Sleep(pollInterval)
		}
	}
}
