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
	routerCount    = 3
	engineCount    = 3
	accountCount   = 2
	model          = "soak-model"
	service        = "register"
	prepaidTokens  = 400_000
	pricePerCall   = 10
	portsPerRouter = 5
)

// router is one router process and the proxy in front of its store.
type router struct {
	*process
	callerAddr, readyAddr string
	storeProxy            *proxy // between the router and the store
}

// fleet holds all processes and proxies of one run.
type fleet struct {
	dir           string
	store         store.Store // direct client, not through a proxy
	storeAddr     string
	storeStub     *process
	engines       []*process
	engineAddrs   []string // direct, not through engineProxies
	activityLogs  []string // paths, one for each engine
	engineProxies []*proxy // one in front of each engine
	service       *process
	serviceAddr   string
	routers       []*router
	keys          []string
	uneven        unevenness
}

// startFleet starts a fleet that keeps its settings and logs in dir.
func startFleet(o Options, dir string) (*fleet, error) {
	f := &fleet{dir: dir, uneven: planUnevenness(o.Seed, engineCount)}
	for _, step := range []func(Options) error{f.startStore, f.startBackends, f.configure, f.startRouters} {
		if err := step(o); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) newProcess(o Options, name, program string, args ...string) *process {
	return &process{name: name, path: filepath.Join(o.ProgramDir, program), args: args, logPath: logPath(f.dir, name)}
}

func (f *fleet) startStore(o Options) error {
	f.storeStub = f.newProcess(o, "store", "chicory-platform")
	line, err := f.storeStub.start(true)
	f.storeAddr = strings.TrimSpace(line)
	f.store = o.OpenStore(f.storeAddr)
	return err
}

// engineVersions are the versions of the engines' software. Streams of the first can go on at another
// engine.
var engineVersions = [engineCount]string{"v1", "v1", "v2"}

func (f *fleet) startBackends(o Options) error {
	addresses, err := freeAddresses(engineCount)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		name := fmt.Sprintf("engine-%d", i+1)
		activityLogPath := filepath.Join(f.dir, name+".evidence")
		args := append([]string{"--id", name, "--model", model, "--slots", "16", "--token-time", "3ms",
			"--listen", address, "--evidence", activityLogPath, "--software-version", engineVersions[i]}, f.uneven.args(i)...)
		p := f.newProcess(o, name, "chicory-engine", args...)
		if _, err := p.start(true); err != nil {
			return err
		}
		f.engines = append(f.engines, p)
		f.engineAddrs = append(f.engineAddrs, address)
		f.activityLogs = append(f.activityLogs, activityLogPath)
		engineProxy, err := newProxy(address)
		if err != nil {
			return err
		}
		f.engineProxies = append(f.engineProxies, engineProxy)
	}
	f.service = f.newProcess(o, "service", "chicory-engine", "--kind", "service", "--id", "register-1", "--delay", "5ms")
	line, err := f.service.start(true)
	f.serviceAddr = strings.TrimSpace(line)
	return err
}

// configure writes the configuration document and registers the backend servers. The engines
// are registered at the addresses of their proxies.
func (f *fleet) configure(Options) error {
	d := &native.Document{
		Models: []contract.Model{{Name: model, BytesPerToken: 4, ContextTokens: 8192, TokensPerEvent: 1, Attempts: 3}},
		Services: []contract.Service{{Name: service, NonIdempotent: []string{"POST /confirm"}, PricePerCall: pricePerCall,
			TimeoutMS: 4000, Attempts: 2}},
	}
	for i := range accountCount {
		key, hash, err := contract.GenerateKey(rand.Reader)
		if err != nil {
			return err
		}
		f.keys = append(f.keys, key)
		d.Contracts = append(d.Contracts, contract.Contract{
			Account: id.ClientAccount(fmt.Sprintf("account-%d", i+1)), Keys: []contract.KeyHash{hash}, Prepaid: prepaidTokens,
			RequestsPerSecond: 5000, Burst: 5000, Concurrency: 5000, Priority: 5,
			Models: []id.Model{model}, Services: []id.Service{service}, MaxTokens: 1024, DeadlineMS: 8000,
		})
	}
	ctx := context.Background()
	if err := operate.Replace(ctx, f.store, d); err != nil {
		return err
	}
	for i, p := range f.engineProxies {
		b := contract.BackendServer{ID: id.Backend(f.engines[i].name), Kind: contract.KindEngine, Address: p.address(),
			FailureDomain: domain(i), Models: []id.Model{model}, Version: engineVersions[i]}
		if err := operate.Register(ctx, f.store, b); err != nil {
			return err
		}
	}
	return operate.Register(ctx, f.store, contract.BackendServer{ID: "register-1", Kind: contract.KindService,
		Address: f.serviceAddr, FailureDomain: domain(0), Service: service})
}

func domain(i int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("domain-%d", i+1))
}

func (f *fleet) startRouters(o Options) error {
	addresses, err := freeAddresses(routerCount * portsPerRouter)
	if err != nil {
		return err
	}
	peers := make([]string, routerCount)
	for i := range peers {
		peers[i] = addresses[i*portsPerRouter+3]
	}
	for i := range routerCount {
		storeProxy, err := newProxy(f.storeAddr)
		if err != nil {
			return err
		}
		addrs := addresses[i*portsPerRouter : (i+1)*portsPerRouter]
		file := filepath.Join(f.dir, fmt.Sprintf("router-%d.ini", i+1))
		settings := fmt.Sprintf(settingsFormat, i+1, domain(i), strings.Join(peers, ","), addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], storeProxy.address())
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			return errors.Wrap(err, "settings")
		}
		r := &router{process: f.newProcess(o, fmt.Sprintf("router-%d", i+1), "chicory-router", "--settings", file),
			callerAddr: addrs[0], readyAddr: addrs[1], storeProxy: storeProxy}
		if _, err := r.start(false); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	return nil
}

const settingsFormat = `[router]
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

// freeAddresses returns n free loopback addresses. Their ports are below the kernel's
// ephemeral range, so that no outgoing connection takes the port of a router while it
// restarts.
func freeAddresses(n int) ([]string, error) {
	const firstPort, lastPort, processSpacing = 18000, 30000, 3
	var free []string
	offset := os.Getpid() * routerCount * portsPerRouter * processSpacing % (lastPort - firstPort) // concurrent soaks start their search at other ports
	for i := 0; i < lastPort-firstPort && len(free) < n; i++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(offset+i)%(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // the port is in use
		}
		_ = listener.Close() // frees the port for the program that will listen on it
		free = append(free, address)
	}
	if len(free) < n {
		return nil, errors.New("soak: no free ports")
	}
	return free, nil
}

// awaitReady waits until the router is ready for callers or ctx is done.
func (r *router) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + r.readyAddr + "/ready")
		if err == nil {
			_ = response.Body.Close() // only the status is needed
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s did not become ready in time", r.name)
}

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 20 * time.Millisecond

// sendStoreCommand makes the store stub start or stop a simulated failure.
func (f *fleet) sendStoreCommand(command string) error {
	response, err := http.Post("http://"+f.storeAddr+"/stand-in/"+command, "", nil)
	if err != nil {
		return errors.Wrap(err, "send command to store stub")
	}
	return response.Body.Close()
}

// close kills the processes that still run and closes the proxies. Processes are killed by
// PID, so that no other process on the machine is affected.
func (f *fleet) close() {
	all := append([]*process{f.storeStub, f.service}, f.engines...)
	for _, r := range f.routers {
		all = append(all, r.process)
		r.storeProxy.close()
	}
	for _, p := range all {
		if p != nil && p.cmd != nil {
			p.kill()
		}
	}
	for _, p := range f.engineProxies {
		p.close()
	}
}
