package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// countingStore counts the reads and watches of one router.
type countingStore struct {
	*memstore.Store
	mu    sync.Mutex
	calls int
	down  bool // the store is unreachable for this router
}

// countCall counts a call and reports whether the store is down for this router.
func (s *countingStore) countCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.down
}

func (s *countingStore) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

func (s *countingStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countingStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.countCall() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Store.Read(ctx, prefix)
}

func (s *countingStore) ReadNewConn(ctx context.Context, prefix string) (store.Snapshot, error) {
	return s.Read(ctx, prefix)
}

func (s *countingStore) WatchNewConn(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return s.Watch(ctx, prefix, after, wait)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if s.countCall() {
		return store.Changes{}, store.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// relayFleet is a fleet of routers of which only the followers and the peer servers run.
type relayFleet struct {
	*qt.C
	store       *memstore.Store
	stores      map[string]*countingStore
	nodes       map[string]*Node
	storeReader string // the VM that follows the store for the others, in a fleet of one failure domain
}

// decodeTestConfig decodes a configuration that consists only of its version.
func decodeTestConfig(item store.Item) (*policy.Policy, error) {
	version := int64(0)
	err := json.Unmarshal(item.Value, &version)
	return policy.New(policy.Definition{Version: version}), err
}

// newRelayFleet returns a fleet in one failure domain.
func newRelayFleet(t *testing.T, routers int) *relayFleet {
	f := newFleetOfDomains(t, slices.Repeat([]string{"zone-1"}, routers))
	for vm, n := range f.nodes {
		if !(&relay{node: n}).Active() {
			f.Assert(f.storeReader, qt.Equals, "", qt.Commentf("a fleet of this size has one store reader"))
			f.storeReader = vm
		}
	}
	f.Assert(f.storeReader, qt.Not(qt.Equals), "")
	return f
}

// newFleetOfDomains returns a fleet with one router per element, which is its failure domain.
func newFleetOfDomains(t *testing.T, domains []string) *relayFleet {
	f := &relayFleet{C: qt.New(t), store: memstore.New(nil), stores: map[string]*countingStore{}, nodes: map[string]*Node{}}
	f.store.Put("config/x", []byte("1"))
	for i, domain := range domains {
		vm := fmt.Sprintf("vm-%d", i)
		s := &countingStore{Store: f.store}
		settings := &Settings{VM: vm, FailureDomain: domain, PeerAddr: "127.0.0.1:0", DrainTime: 500 * time.Millisecond}
		n := New(settings, Environment{Store: s, Clock: func() escrow.ClockReading { return escrow.ClockReading{} },
			ConfigPrefix: "config/", IsConfig: func(item store.Item) bool { return item.Key == "config/x" }, DecodeConfig: decodeTestConfig,
			EvacuatedDomain: func(key string) (string, bool) { return strings.CutPrefix(key, "config/evacuate/") },
			ServersPrefix:   "servers/", DecodeServer: decodeTestServer,
		}, event.Discard(), vm)
		var err error
		n.peerListener, err = listenOn(&settings.PeerAddr)
		f.Assert(err, qt.IsNil)
		f.stores[vm], f.nodes[vm] = s, n
		record, err := json.Marshal(MemberRecord{Address: "127.0.0.1:1", Peer: settings.PeerAddr, Domain: domain, Capacity: 1})
		f.Assert(err, qt.IsNil)
		f.store.Put(MemberPrefix+vm, record)
	}
	for _, n := range f.nodes {
		f.run(n)
		f.Cleanup(func() { _ = n.peerListener.Close() }) // the test is over
		f.waitFor(func() bool { return len(n.members.List()) == len(domains) && n.policy.Load() != nil })
	}
	return f
}

// run starts a router's followers and its peer server.
func (f *relayFleet) run(n *Node) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	tasks.Go(n.servePeers)
	n.startFollowers(ctx, &tasks)
	f.Cleanup(func() {
		cancel()
		_ = n.peerListener.Close() // makes servePeers return
		tasks.Wait()
	})
}

// waitFor polls until the condition holds. Only the timeout of the test run bounds it.
func (f *relayFleet) waitFor(holds func() bool) {
	for !holds() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *relayFleet) version(vm string) int64 {
	return f.nodes[vm].policy.Load().Version
}

// waitForVersion waits until all routers except one have a version of the configuration.
func (f *relayFleet) waitForVersion(version int64, except string) {
	for vm := range f.nodes {
		f.waitFor(func() bool { return vm == except || f.version(vm) == version })
	}
}

// Guards against store calls by every router of a failure domain.
func TestOnlyStoreReaderCallsStore(t *testing.T) {
	f := newRelayFleet(t, 4)
	// Each router read from the store at its start, and may still have a watch from then in
	// progress, so the first changes may cause some calls.
	version := int64(1)
	f.waitFor(func() bool {
		before := f.callsByOthers()
		for range 4 {
			version++
			f.store.Put("config/x", fmt.Append(nil, version))
			f.waitForVersion(version, "")
		}
		return f.callsByOthers() == before
	})
}

// callsByOthers returns the number of store calls of all routers but the store reader.
func (f *relayFleet) callsByOthers() int {
	sum := 0
	for vm, s := range f.stores {
		if vm != f.storeReader {
			sum += s.callCount()
		}
	}
	return sum
}

// Guards against stale routers whose store reader cannot reach the store.
func TestRoutersFallBackToStoreWhenStoreReaderLosesIt(t *testing.T) {
	f := newRelayFleet(t, 3)
	f.stores[f.storeReader].disconnect()
	f.store.Put("config/x", []byte("2"))
	f.waitForVersion(2, f.storeReader)
}

// The store reader has closed its listener and its connections.
func TestRoutersFallBackToStoreWhenStoreReaderIsGone(t *testing.T) {
	f := newRelayFleet(t, 3)
	f.Assert(f.nodes[f.storeReader].peerListener.Close(), qt.IsNil)
	for vm, n := range f.nodes {
		if vm != f.storeReader {
			n.peers.CloseConnection(f.nodes[f.storeReader].settings.PeerAddr)
		}
	}
	f.store.Put("config/x", []byte("2"))
	f.waitForVersion(2, f.storeReader)
}

// Guards against routers that disagree on the store readers.
func TestStoreReadersDependOnlyOnMembership(t *testing.T) {
	var members []fleet.Member
	for i := range 80 {
		domain := fmt.Sprint("zone-", i%2)
		members = append(members, fleet.Member{Name: fmt.Sprint("vm-", i), PeerAddress: fmt.Sprint(i), Domain: domain, Capacity: 1})
	}
	chosen := storeReaders(members, "zone-1")
	qt.Assert(t, chosen, qt.HasLen, 2)
	for _, m := range chosen {
		qt.Assert(t, m.Domain, qt.Equals, "zone-1")
	}
	without := members[:0:0]
	for _, m := range members {
		if m.Name != chosen[0].Name {
			without = append(without, m)
		}
	}
	qt.Assert(t, storeReaders(without, "zone-1")[0], qt.Equals, chosen[1], qt.Commentf("the other store readers must not change"))
	qt.Assert(t, storeReaders(members, "zone-9"), qt.HasLen, 0)
}

// Guards against requests to an evacuated failure domain by a router that starts during an outage
// of the store.
func TestBootstrapIncludesEvacuations(t *testing.T) {
	c := qt.New(t)
	env := Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} },
		IsConfig: func(item store.Item) bool { return item.Key == "config/x" }, DecodeConfig: decodeTestConfig,
		EvacuatedDomain: func(key string) (string, bool) { return strings.CutPrefix(key, "config/evacuate/") },
		DecodeServer:    decodeTestServer}
	source, starting := New(&Settings{VM: "vm-1"}, env, event.Discard(), "p1"), New(&Settings{VM: "vm-2"}, env, event.Discard(), "p2")
	(&configSink{node: source}).Reset([]store.Item{
		{Key: "config/x", Value: []byte("1"), Revision: 1}, {Key: "config/evacuate/zone-a", Value: []byte("{}"), Revision: 2},
	}, store.Silence{})
	(&configSink{node: starting}).Reset(source.Known().Config, store.Silence{})
	server := store.Item{Key: "servers/a", Revision: 3, Value: []byte(`{"ID":"a","Service":"engines","Address":"10.0.0.1:80","Domain":"zone-a"}`)}
	starting.registry.Seed([]store.Item{server})
	c.Assert(starting.policy.Load().Version, qt.Equals, int64(1))
	c.Assert(starting.registry.View().ByService["engines"][0].Ineligible(), qt.IsTrue)
}
