// Command chicory-platform is a stub of the platform's store. It serves the same API from
// memory and simulates outages, compactions, lost responses and lost writes on demand.
package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
	"chicorytiller.example/chicorytiller/internal/version"
	"chicorytiller.example/chicorytiller/platform"
)

// headerTimeout limits how long a connection may take to send a request header.
const headerTimeout = 10 * time.Second

func main() {
	app := kingpin.New("chicory-platform", "A stand-in for the platform's store, in memory.")
	app.Version(version.Version)
	listen := app.Flag("listen", "IP:port to listen on; it is printed.").Default("127.0.0.1:0").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*listen); err != nil {
		slog.Error("chicory-platform failed", "error", err)
		os.Exit(1)
	}
}

// lostResponseShare is the share of writes that loseSomeResponses leaves unanswered.
const lostResponseShare = 0.4

// loseSomeResponses leaves some writes unanswered. Of these, a third are applied at once, a
// third are delayed until POST /stand-in/answer, and a third are dropped.
func loseSomeResponses(store.Txn) memstore.Outcome {
	if rand.Float64() >= lostResponseShare {
		return memstore.Answered
	}
	return []memstore.Outcome{memstore.ResponseLost, memstore.Delayed, memstore.Dropped}[rand.IntN(3)]
}

func answerAll(store.Txn) memstore.Outcome {
	return memstore.Answered
}

func run(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	memStore := memstore.New(nil)
	mux := http.NewServeMux()
	mux.Handle("/", platform.StoreHandler(memStore))
	mux.HandleFunc("POST /stand-in/down", func(http.ResponseWriter, *http.Request) { memStore.SetDown(true) })
	mux.HandleFunc("POST /stand-in/up", func(http.ResponseWriter, *http.Request) { memStore.SetDown(false) })
	mux.HandleFunc("POST /stand-in/compact", func(http.ResponseWriter, *http.Request) { memStore.Compact() })
	mux.HandleFunc("POST /stand-in/lose", func(http.ResponseWriter, *http.Request) { memStore.SetOutcome(loseSomeResponses) })
	mux.HandleFunc("POST /stand-in/answer", func(http.ResponseWriter, *http.Request) {
		memStore.SetOutcome(answerAll)
		memStore.ApplyDelayed()
	})
	copied := atomic.Pointer[memstore.Copy]{}
	keepCopy := func() {
		present := memStore.Copy()
		copied.Store(&present)
	}
	keepCopy()
	mux.HandleFunc("POST /stand-in/copy", func(http.ResponseWriter, *http.Request) { keepCopy() })
	mux.HandleFunc("POST /stand-in/restore", func(w http.ResponseWriter, _ *http.Request) {
		if err := restore(memStore, *copied.Load()); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}
