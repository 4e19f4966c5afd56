// Command chicory-platform stands in for the platform's store: the same calls, kept in
// memory, with outages on demand.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

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

func run(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	store := memstore.New(nil)
	mux := http.NewServeMux()
	mux.Handle("/", platform.StoreHandler(store))
	mux.HandleFunc("POST /stand-in/down", func(http.ResponseWriter, *http.Request) { store.SetDown(true) })
	mux.HandleFunc("POST /stand-in/up", func(http.ResponseWriter, *http.Request) { store.SetDown(false) })
	mux.HandleFunc("POST /stand-in/compact", func(http.ResponseWriter, *http.Request) { store.Compact() })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return server.Serve(listener)
}
