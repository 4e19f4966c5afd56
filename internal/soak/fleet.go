package soak

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Sizes of the fleet.
const (
	routers     = 3
	engines     = 3
	accounts    = 2
	model       = "soak-model"
	service     = "register"
	prepaid     = 400_000
	callPrice   = 10
	routerPorts = 5
)

// router is one router process with what the soak harms about it.
type router struct {
	*process
	callers, ready string
	store          *proxy // its way to the store
}

// fleet is all processes of one run.
type fleet struct {
	dir      string
	store    store.Store // straight, past all proxies
	storeAt  string
	platform *process
	engines  []*process
	engineAt []string // straight
	evidence []string // files that the engines write
	proxies  []*proxy // before the engines
	service  *process
	callsAt  string
	routers  []*router
	keys     []string
}

// build starts a fleet from the programs in a directory.
func build(o Options, dir string) (*fleet, error) {
	f := &fleet{dir: dir}
	for _, step := range []func(Options) error{f.startStore, f.startBackends, f.configure, f.startRouters} {
		if err := step(o); err != nil {
			f.end()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) program(o Options, name, program string, args ...string) *process {
	return &process{name: name, path: filepath.Join(o.ProgramDir, program), args: args, log: logFile(f.dir, name)}
}

func (f *fleet) startStore(o Options) error {
	f.platform = f.program(o, "store", "chicory-platform")
	line, err := f.platform.start(true)
	f.storeAt = strings.TrimSpace(line)
	f.store = o.OpenStore(f.storeAt)
	return err
}

func (f *fleet) startBackends(o Options) error {
	ports, err := freePorts(engines)
	if err != nil {
		return err
	}
	for i, address := range ports {
		name := fmt.Sprintf("engine-%d", i+1)
		evidence := filepath.Join(f.dir, name+".evidence")
		p := f.program(o, name, "chicory-engine", "--id", name, "--model", model, "--slots", "16", "--token-time", "3ms",
			"--listen", address, "--evidence", evidence)
		if _, err := p.start(true); err != nil {
			return err
		}
		f.engines = append(f.engines, p)
		f.engineAt = append(f.engineAt, address)
		f.evidence = append(f.evidence, evidence)
		before, err := newProxy(address)
		if err != nil {
			return err
		}
		f.proxies = append(f.proxies, before)
	}
	f.service = f.program(o, "service", "chicory-engine", "--kind", "service", "--id", "register-1", "--delay", "5ms")
	line, err := f.service.start(true)
	f.callsAt = strings.TrimSpace(line)
	return err
}

// configure writes the document and registers the backend servers behind their proxies.
func (f *fleet) configure(Options) error {
	d := &native.Document{
		Models: []contract.Model{{Name: model, BytesPerToken: 4, ContextTokens: 8192, TokensPerEvent: 1, Attempts: 3}},
		Services: []contract.Service{{Name: service, NonIdempotent: []string{"POST /confirm"}, PricePerCall: callPrice,
			TimeoutMS: 4000, Attempts: 2}},
	}
	for i := range accounts {
		key, hash, err := contract.GenerateKey(rand.Reader)
		if err != nil {
			return err
		}
		f.keys = append(f.keys, key)
		d.Contracts = append(d.Contracts, contract.Contract{
			Account: id.ClientAccount(fmt.Sprintf("account-%d", i+1)), Keys: []contract.KeyHash{hash}, Prepaid: prepaid,
			RequestsPerSecond: 5000, Burst: 5000, Concurrency: 5000, Priority: 5,
			Models: []id.Model{model}, Services: []id.Service{service}, MaxTokens: 1024, DeadlineMS: 8000,
		})
	}
	ctx := context.Background()
	if err := operate.Replace(ctx, f.store, d); err != nil {
		return err
	}
	for i, p := range f.proxies {
		b := contract.BackendServer{ID: id.Backend(f.engines[i].name), Kind: contract.KindEngine, Address: p.address(),
			FailureDomain: domain(i), Models: []id.Model{model}}
		if err := operate.Register(ctx, f.store, b); err != nil {
			return err
		}
	}
	return operate.Register(ctx, f.store, contract.BackendServer{ID: "register-1", Kind: contract.KindService,
		Address: f.callsAt, FailureDomain: domain(0), Service: service})
}

func domain(i int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("domain-%d", i+1))
}

func (f *fleet) startRouters(o Options) error {
	ports, err := freePorts(routers * routerPorts)
	if err != nil {
		return err
	}
	peers := make([]string, routers)
	for i := range peers {
		peers[i] = ports[i*routerPorts+3]
	}
	for i := range routers {
		before, err := newProxy(f.storeAt)
		if err != nil {
			return err
		}
		p := ports[i*routerPorts : (i+1)*routerPorts]
		file := filepath.Join(f.dir, fmt.Sprintf("router-%d.ini", i+1))
		text := fmt.Sprintf(settingsText, i+1, domain(i), strings.Join(peers, ","), p[0], p[1], p[2], p[3], p[4], before.address())
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "settings")
		}
		r := &router{process: f.program(o, fmt.Sprintf("router-%d", i+1), "chicory-router", "--settings", file),
			callers: p[0], ready: p[1], store: before}
		if _, err := r.start(false); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	return nil
}

const settingsText = `[router]
vm = vm-%d
failure_domain = %s
grace_s = 6
memory_mb = 0
entry_ttl_s = 1
seeds = %s
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[store]
address = %s
drain_ms = 2000
[retries]
ratio = 0.2
extra = 100
window_s = 10
`

// freePorts finds addresses below the range that the kernel gives to connections, so
// that a router which starts again finds its ports free.
func freePorts(n int) ([]string, error) {
	const first, last, apart = 18000, 30000, 3
	var free []string
	offset := os.Getpid() * routers * routerPorts * apart % (last - first) // other soaks look elsewhere first
	for i := 0; i < last-first && len(free) < n; i++ {
		address := fmt.Sprintf("127.0.0.1:%d", first+(offset+i)%(last-first))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken by another program
		}
		_ = listener.Close() // the router listens there
		free = append(free, address)
	}
	if len(free) < n {
		return nil, errors.New("soak: no free ports")
	}
	return free, nil
}

// awaitReady waits until a router takes callers, or ctx ends.
func (r *router) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + r.ready + "/ready")
		if err == nil {
			_ = response.Body.Close() // its status is all that matters
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollEvery)
	}
	return errors.Errorf("%s is not ready in time", r.name)
}

// pollEvery is the pause between two looks at something that is awaited.
const pollEvery = 20 * time.Millisecond

// storeOrder tells the store's stand-in what to do wrong.
func (f *fleet) storeOrder(order string) error {
	response, err := http.Post("http://"+f.storeAt+"/stand-in/"+order, "", nil)
	if err != nil {
		return errors.Wrap(err, "order to the store")
	}
	return response.Body.Close()
}

// end kills what still runs. Each process is known by its id; no other is touched.
func (f *fleet) end() {
	all := append([]*process{f.platform, f.service}, f.engines...)
	for _, r := range f.routers {
		all = append(all, r.process)
		r.store.close()
	}
	for _, p := range all {
		if p != nil && p.cmd != nil {
			p.kill()
		}
	}
	for _, p := range f.proxies {
		p.close()
	}
}
