package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/platform/vmlist"
	"chicorytiller.example/chicorytiller/internal/router"
	"chicorytiller.example/chicorytiller/internal/settings"
)

// plainSettings keeps the settings' own defaults, other than the example.
const plainSettings = `[router]
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
[platform]
kv_endpoint = http://127.0.0.1:1
vm_list_url = http://127.0.0.1:1
budget_shards = %d
[drain]
linger = 1s
`

// countedListener counts what goes over the links, both ways; each byte once.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedFleet is an example fleet with the settings' defaults, whose links are counted.
func countedFleet(b *testing.B, routers, engines int) (*Fleet, *atomic.Int64) {
	bytes := new(atomic.Int64)
	f := &Fleet{options: Options{Routers: routers, Engines: engines, Slots: 256, Log: io.Discard}, dir: b.TempDir(), KV: memkv.New(nil)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	b.Cleanup(f.Stop)
	f.Store = config.NewStore(f.KV, time.Now)
	for _, step := range []func() error{f.startBackends, f.waitBound, f.configure, func() error { return f.startCounted(bytes) }, f.waitReady} {
		if err := step(); err != nil {
			b.Fatal(err)
		}
	}
	return f, bytes
}

// waitBound waits until each engine knows its address, which it learns on the
// goroutine that serves it.
func (f *Fleet) waitBound() error {
	for _, e := range f.Engines {
		for e.Addr() == "" {
			time.Sleep(startPoll)
		}
	}
	return nil
}

func (f *Fleet) startCounted(bytes *atomic.Int64) error {
	f.OperatorKey = "operators-key-of-the-benchmark-0123456789"
	listeners := make([]router.Listeners, f.options.Routers)
	var seeds []netip.AddrPort
	for i := range listeners {
		bound, err := f.listen(i)
		if err != nil {
			return err
		}
		seeds = append(seeds, netip.MustParseAddrPort(bound.Link.Addr().String()))
		bound.Link = countedListener{bound.Link, bytes}
		listeners[i] = bound
	}
	for i := range listeners {
		if _, err := f.routerSettings(i, seeds); err != nil { // writes the shared key
			return err
		}
		list := ""
		for n, seed := range seeds {
			if n > 0 {
				list += ", "
			}
			list += seed.String()
		}
		s, err := settings.Parse(fmt.Appendf(nil, plainSettings, i+1, domain(i), exampleAddress,
			contract.HashKey(f.OperatorKey), f.dir+"/shared-key", list, exampleShards))
		if err != nil {
			return err
		}
		r, err := router.New(s, router.Options{KV: f.KV, VMs: vmlist.NewStatic(), Output: io.Discard, Listeners: listeners[i]})
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		f.routing.Go(func() { _ = r.Run(f.ctx) })
	}
	return nil
}

const (
	warmUp       = 4 * time.Second
	window       = 10 * time.Second
	answerTokens = 64
)

// BenchmarkFleet prints what an idle fleet and a loaded one do a second, for each
// router: bytes on the links, calls on the key-value service, processor time of the
// whole process (engines and callers included). One op is one window; run it with
// -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		routers, engines, rate int // requests a second at each router
		keyed                  bool
	}{
		{3, 3, 0, false}, {6, 3, 0, false}, {9, 3, 0, false}, {30, 3, 0, false}, {3, 100, 0, false},
		{3, 3, 20, false}, {9, 3, 20, false}, {3, 3, 20, true}, {6, 3, 20, true}, {9, 3, 20, true},
	} {
		b.Run(fmt.Sprintf("routers=%d/engines=%d/rate=%d/keyed=%v", c.routers, c.engines, c.rate, c.keyed), func(b *testing.B) {
			f, bytes := countedFleet(b, c.routers, c.engines)
			stop := make(chan struct{})
			var callers conc.WaitGroup
			for i, r := range f.Routers {
				if c.rate > 0 {
					callers.Go(func() { ask(b, f, r, i, c.rate, c.keyed, stop) })
				}
			}
			time.Sleep(warmUp)
			for b.Loop() {
				measure(b, f, bytes, c.routers)
			}
			close(stop)
			callers.Wait()
		})
	}
}

func measure(b *testing.B, f *Fleet, bytes *atomic.Int64, routers int) {
	counts, sent, cpu := f.KV.Counts(), bytes.Load(), cpuTime()
	time.Sleep(window)
	after := f.KV.Counts()
	per := float64(routers) * window.Seconds()
	b.ReportMetric(float64(bytes.Load()-sent)*2/per, "link-B/s/router") // sent and received
	b.ReportMetric(float64(after.Gets-counts.Gets)/per, "reads/s/router")
	b.ReportMetric(float64(after.CASes-counts.CASes)/per, "writes/s/router")
	b.ReportMetric(float64(after.Conflicts-counts.Conflicts)/per, "conflicts/s/router")
	b.ReportMetric(float64(after.WatchesOpened-counts.WatchesOpened)/per, "watch-opens/s/router")
	b.ReportMetric(float64(after.WatchesWaiting)/float64(routers), "waiting-watches/router")
	b.ReportMetric((cpuTime()-cpu).Seconds()/per*100, "cpu-%/router")
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapInuse)/float64(routers)/(1<<20), "heap-MB/router")
}

// ask calls one router at a rate until stop.
func ask(b *testing.B, f *Fleet, r *router.Router, index, rate int, keyed bool, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var open conc.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		open.Go(func() { askOnce(b, f, r, fmt.Sprintf("%d-%d", index, n), f.Accounts[n%len(f.Accounts)].Key, keyed) })
	}
}

func askOnce(b *testing.B, f *Fleet, r *router.Router, key, credential string, keyed bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.CallerAddress() + "/v1/chat/completions")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+credential)
	if keyed {
		request.Header.Set("Idempotency-Key", key)
	}
	request.SetBodyString(fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`, Model, answerTokens, key))
	if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
		b.Errorf("request %s: %v, status %d: %s", key, err, response.StatusCode(), response.Body())
	}
}

// cpuTime is what this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
