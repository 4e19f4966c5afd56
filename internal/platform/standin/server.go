// Package standin serves a small stand-in for the platform over HTTP: the
// key-value service (a subset of the etcd v3 JSON gateway over a memkv.Store),
// the VM list and the weight store, with faults that are set at run time. It is
// for tests, measurements and development, and keeps nothing on disk.
package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

// Paths beside those of the key-value service.
const (
	PathVMs       = "/v1/vms"
	PathWeights   = "/v1/weights/:name"
	PathFaults    = "/admin/faults"
	PathCounts    = "/admin/counts"
	PathVMListLag = "/admin/vm-list-lag"
)

// Defaults of Config.
const (
	DefaultProgressInterval = time.Second
	DefaultWeightBytes      = 16 << 20
)

const (
	// maxBodyBytes leaves room for a value of the largest size in base64.
	maxBodyBytes = 4 << 20
	// leaseInterval is how often leases are looked at while no call comes.
	leaseInterval = 100 * time.Millisecond
	// stopTimeout limits how long Close waits for calls in progress.
	stopTimeout = 2 * time.Second
)

// Config sets up a server. Zero fields get their defaults.
type Config struct {
	// Store is the key-value service's content; nil: an empty one.
	Store *memkv.Store
	// Now is the clock of the VM list's lag and of the weight store's rate;
	// nil: time.Now. The Store has its own clock.
	Now func() time.Time
	// VMs is the VM list at the start, and VMListLag how long it takes until a
	// change of the list is shown.
	VMs       []platform.VMEntry
	VMListLag time.Duration
	// ProgressInterval is how often an idle watch is sent a message without
	// events, by which the server learns that its reader is gone.
	ProgressInterval time.Duration
	// WeightBytes is the size of each weight blob.
	WeightBytes int
	// WeightBytesPerSecond limits the weight store; zero: no limit. A blob goes
	// out while the rate allows; else the answer is status 429.
	WeightBytesPerSecond float64
}

// Server is the stand-in platform.
type Server struct {
	app      *fiber.App
	store    *memkv.Store
	vms      *laggedList
	weights  *weightStore
	progress time.Duration

	closing context.Context // ends with Close
	end     context.CancelFunc
	mu      sync.Mutex // no Serve starts while Close waits
	tasks   conc.WaitGroup

	listeners []net.Listener
}

// New makes a server that does not listen yet.
func New(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Store == nil {
		config.Store = memkv.New(config.Now)
	}
	if config.ProgressInterval <= 0 {
		config.ProgressInterval = DefaultProgressInterval
	}
	if config.WeightBytes <= 0 {
		config.WeightBytes = DefaultWeightBytes
	}
	s := &Server{
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			BodyLimit:             maxBodyBytes,
			ErrorHandler:          answerError,
		}),
		store:    config.Store,
		vms:      newLaggedList(config.Now, config.VMs, config.VMListLag),
		weights:  newWeightStore(config.Now, config.WeightBytes, config.WeightBytesPerSecond),
		progress: config.ProgressInterval,
	}
	s.closing, s.end = context.WithCancel(context.Background())
	s.route()
	return s
}

func (s *Server) route() {
	s.app.Post(wire.PathRange, s.rangeKey)
	s.app.Post(wire.PathTxn, s.txn)
	s.app.Post(wire.PathGrant, s.grantLease)
	s.app.Post(wire.PathKeepAlive, s.keepAlive)
	s.app.Post(wire.PathWatch, s.watch)
	s.app.Get(PathVMs, s.getVMs)
	s.app.Put(PathVMs, s.putVMs)
	s.app.Put(PathVMListLag, s.putVMListLag)
	s.app.Get(PathWeights, s.getWeights)
	s.app.Put(PathFaults, s.putFaults)
	s.app.Get(PathFaults, s.getFaults)
	s.app.Get(PathCounts, s.getCounts)
}

// Store returns the key-value service's content, for tests and for the program
// that has the server in itself.
func (s *Server) Store() *memkv.Store {
	return s.store
}

// Serve answers requests on the listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	if s.closing.Err() != nil {
		s.mu.Unlock()
		return errors.New("standin: server is closed")
	}
	s.listeners = append(s.listeners, listener)
	s.tasks.Go(s.lapseLeases)
	s.mu.Unlock()
	return errors.Wrap(s.app.Listener(listener), "standin: serve")
}

// Close ends all watches, lets calls in progress finish for a short while, and
// closes the listener.
func (s *Server) Close() error {
	s.mu.Lock()
	s.end()
	s.mu.Unlock()
	s.tasks.Wait()
	err := s.app.ShutdownWithTimeout(stopTimeout)
	// The app does not know a listener whose Serve has only just begun; left
	// open, that Serve would never return.
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	return errors.Wrap(err, "standin: close")
}

// lapseLeases ends leases in time for those who only wait on a watch.
func (s *Server) lapseLeases() {
	ticker := time.NewTicker(leaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing.Done():
			return
		case <-ticker.C:
			s.store.Tick()
		}
	}
}
