// Command chicory-platform stands in for the platform's store: the same calls, kept in
// memory, with outages on demand.
package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
	"chicorytiller.example/chicorytiller/internal/version"
	"chicorytiller.example/chicorytiller/platform"
)

// headerTimeout bounds callers that send nothing.
const headerTimeout = 10 * time.Second

func main() {
	app := kingpin.New("chicory-platform", "A stand-in for the platform's store, in memory.")
	app.Version(version.Version)
	listen := app.Flag("listen", "IP:port to listen on; it is printed.").Default("127.0.0.1:0").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*listen); err != nil {
		slog.Error("chicory-platform stops", "error", err)
		os.Exit(1)
	}
}

// lostShare is the part of the writes whose answers are lost on demand.
const lostShare = 0.4

// someLost loses the answers of some writes: a third of these are done, a third are
// done later, a third never.
func someLost(store.Txn) memstore.Outcome {
	if rand.Float64() >= lostShare {
		return memstore.Answered
	}
	return []memstore.Outcome{memstore.ResponseLost, memstore.Delayed, memstore.Dropped}[rand.IntN(3)]
}

func allAnswered(store.Txn) memstore.Outcome {
	return memstore.Answered
}

func run(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	kept := memstore.New(nil)
	mux := http.NewServeMux()
	mux.Handle("/", platform.StoreHandler(kept))
	mux.HandleFunc("POST /stand-in/down", func(http.ResponseWriter, *http.Request) { kept.SetDown(true) })
	mux.HandleFunc("POST /stand-in/up", func(http.ResponseWriter, *http.Request) { kept.SetDown(false) })
	mux.HandleFunc("POST /stand-in/compact", func(http.ResponseWriter, *http.Request) { kept.Compact() })
	mux.HandleFunc("POST /stand-in/lose", func(http.ResponseWriter, *http.Request) { kept.SetOutcome(someLost) })
	mux.HandleFunc("POST /stand-in/answer", func(http.ResponseWriter, *http.Request) {
		kept.SetOutcome(allAnswered)
		kept.ApplyDelayed()
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}
