package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the drill.
const (
	copyAge  = 5 * time.Second
	awayTime = time.Second
)

// restoredStore: all routers are killed while the store is away for a moment and comes back from a copy some
// seconds old. A client account must not get more tokens than it has paid for.
func restoredStore(dir string, trouble bool) bool {
	s := newStore()
	go s.expireLoop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s.handler()) }()
	domains := []string{"a", "b", "c"}
	for i, domain := range domains {
		startBackend(s, fmt.Sprintf("i-%02d", i+1), "model", domain)
	}
	alpha := account{Name: "alpha", Keys: []string{"key-of-alpha"}, Priority: 1, Prepaid: prepaid}
	writeConfig(s, 3, alpha)
	routers := newRouters(dir, l.Addr().String(), domains...)
	startAll := func() {
		for _, r := range routers {
			r.start()
		}
		awaitReady(routers)
		note("platform: all routers are ready")
	}
	killAll := func() {
		for _, r := range routers {
			r.kill()
		}
	}
	cleanup = append(cleanup, killAll)
	startAll()
	time.Sleep(3 * time.Second)

	kept, keptAt := s.copied(), time.Now()
	note("platform: a copy of the store is made")
	delivered := useTokens(routers, alpha.Keys[0], prepaid*9/10)
	note("alpha has got %d of %d tokens", delivered, prepaid)
	time.Sleep(time.Until(keptAt.Add(copyAge - awayTime)))
	if trouble {
		s.setAway(true)
		note("platform: the store is away")
	}
	killAll()
	note("platform: SIGKILL to all routers")
	time.Sleep(awayTime)
	if trouble {
		s.restore(kept)
		writeConfig(s, 3, alpha)
		s.setAway(false)
		note("platform: the store is back from a copy that is %.1f s old", time.Since(keptAt).Seconds())
	}
	startAll()
	time.Sleep(6 * time.Second)

	refused := 0
	for i := 0; refused < 60 && delivered <= 2*prepaid; i++ {
		status, tokens := draft(routers[i%len(routers)].front, alpha.Keys[0])
		delivered += tokens
		if status == http.StatusOK {
			refused = 0
			continue
		}
		refused++
		time.Sleep(200 * time.Millisecond)
	}
	note("alpha has got %d tokens; it had paid for %d", delivered, prepaid)
	return delivered <= prepaid
}

// useTokens sends requests, some at a time, until about so many tokens were delivered.
func useTokens(routers []*router, key string, tokens int64) int64 {
	var mu sync.Mutex
	var clients sync.WaitGroup
	delivered, end := int64(0), time.Now().Add(copyAge-2*awayTime)
	for i := range 6 {
		clients.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				mu.Lock()
				enough := delivered+6*requestMax > tokens
				mu.Unlock()
				if enough {
					return
				}
				_, got := draft(routers[n%len(routers)].front, key)
				mu.Lock()
				delivered += got
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return delivered
}
