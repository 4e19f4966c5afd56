// Package dev runs a whole small fleet in one process on loopback, on a store in
// memory: for a first look and for tests of the whole path.
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

// Options size the fleet.
type Options struct {
	Routers         int           // spread over the failure domains
	Engines         int           // likewise
	Slots           int           // of each engine
	TokenTime       time.Duration // between two tokens of an engine
	FirstPort       int           // port of the first router's callers' listener; 0: any free ones
	StorePort       int           // port of the store; 0: a free one
	GracePeriod     time.Duration // of a planned stop; 0: graceDefault
	Log             io.Writer     // events of all routers
	NewStoreHandler func(store.Store) http.Handler
	// OpenStore connects a router to the store at an address.
	OpenStore func(address string) store.Store
}

// Names and sizes of the example.
const (
	Model       id.Model   = "chicory-small"
	ServiceName id.Service = "register"

	examplePrepaid id.Tokens = 5_000_000
	examplePrice   id.Tokens = 10
	exampleAddress           = "127.0.0.1"
	startPoll                = 20 * time.Millisecond
	graceDefault             = 8 * time.Second
)

// FailureDomains of the example.
var FailureDomains = []id.FailureDomain{"holesovice", "smichov", "karlin"}

// Fleet is a running fleet.
type Fleet struct {
	Routers   []*node.Node
	Engines   []*enginestub.Server
	Service   *enginestub.Service
	Store     *memstore.Store
	StoreAddr string // address of the store's calls
	Accounts  []Account

	options   Options
	addresses []string // of the engines, then of the service
	storeHTTP *http.Server
	stops     []context.CancelFunc // of the routers
	routing   conc.WaitGroup
	serving   conc.WaitGroup // of the store and the backend servers, which outlive the routers
}

// Account is a client account of the example with its caller's key.
type Account struct {
	Name id.ClientAccount
	Key  string
}

// Start starts a fleet and waits until every router serves.
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

// Stop stops all routers as planned, then the rest.
func (f *Fleet) Stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.routing.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	if f.Service != nil {
		f.Service.Close()
	}
	if f.storeHTTP != nil {
		_ = f.storeHTTP.Close() // the process ends
	}
	f.serving.Wait()
}

func (f *Fleet) startStore() error {
	listener, err := listen(f.options.StorePort)
	if err != nil {
		return err
	}
	f.StoreAddr = listener.Addr().String()
	f.storeHTTP = &http.Server{Handler: f.options.NewStoreHandler(f.Store), ReadHeaderTimeout: time.Second}
	f.serving.Go(func() { _ = f.storeHTTP.Serve(listener) }) // ends with Stop
	return nil
}

func (f *Fleet) startBackends() error {
	for i := range f.options.Engines {
		engine := enginestub.New(enginestub.Config{
			ID: engineName(i), Models: []string{string(Model)}, Slots: f.options.Slots, TokenTime: f.options.TokenTime,
		})
		f.Engines = append(f.Engines, engine)
		if err := f.serve(engine.Serve); err != nil {
			return err
		}
	}
	f.Service = enginestub.NewService(enginestub.ServiceConfig{ID: serviceBackend})
	return f.serve(f.Service.Serve)
}

const serviceBackend = "register-1"

func engineName(i int) string {
	return fmt.Sprintf("engine-%d", i+1)
}

func (f *Fleet) serve(serve func(net.Listener) error) error {
	listener, err := listen(0)
	if err != nil {
		return err
	}
	f.serving.Go(func() { _ = serve(listener) }) // ends with Stop
	f.addresses = append(f.addresses, listener.Addr().String())
	return nil
}

func listen(port int) (net.Listener, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", exampleAddress, port))
	return listener, errors.Wrap(err, "dev")
}

// configure writes the document and registers the backend servers.
func (f *Fleet) configure() error {
	d := &native.Document{
		Models: []contract.Model{{Name: Model, BytesPerToken: 4, ContextTokens: 32_768, TokensPerEvent: 1, Attempts: 3}},
		Services: []contract.Service{{Name: ServiceName, NonIdempotent: []string{"POST /confirm"}, PricePerCall: examplePrice,
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
		b := contract.BackendServer{ID: id.Backend(engineName(i)), Kind: contract.KindEngine, Address: f.addresses[i],
			FailureDomain: domain(i), Models: []id.Model{Model}}
		if err := operate.Register(ctx, f.Store, b); err != nil {
			return err
		}
	}
	return operate.Register(ctx, f.Store, contract.BackendServer{ID: serviceBackend, Kind: contract.KindService,
		Address: f.addresses[len(f.Engines)], FailureDomain: domain(0), Service: ServiceName})
}

func (f *Fleet) newContract(name id.ClientAccount) (contract.Contract, error) {
	key, hash, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return contract.Contract{}, err
	}
	f.Accounts = append(f.Accounts, Account{Name: name, Key: key})
	return contract.Contract{
		Account: name, Keys: []contract.KeyHash{hash}, Prepaid: examplePrepaid,
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

// StartRouter starts the router with a number, also a second time after it stopped.
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
		f.Routers, f.stops = append(f.Routers, r), append(f.stops, stop)
	}
	f.Routers[i], f.stops[i] = r, stop
	f.routing.Go(func() { r.Run(ctx) })
	return nil
}

func (f *Fleet) routerSettings(i int) *node.Settings {
	any := exampleAddress + ":0"
	s := &node.Settings{
		VM: fmt.Sprintf("entry-%d", i+1), FailureDomain: string(domain(i)),
		CallerAddr: any, ReadyAddr: any, DirectoryAddr: any, MetricsAddr: any, PeerAddr: any, StoreAddr: f.StoreAddr,
		DrainTime: 2 * time.Second, GracePeriod: f.options.GracePeriod, EntryTTL: time.Second,
		RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	}
	if f.options.FirstPort > 0 {
		s.CallerAddr = fmt.Sprintf("%s:%d", exampleAddress, f.options.FirstPort+i)
	}
	if s.GracePeriod == 0 {
		s.GracePeriod = graceDefault
	}
	return s
}

// awaitReady waits until every router takes callers.
func (f *Fleet) awaitReady() {
	for _, r := range f.Routers {
		for !r.Ready() {
			time.Sleep(startPoll)
		}
	}
}
