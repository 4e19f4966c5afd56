// Command chicory-platform runs the stand-in platform: the key-value service,
// the VM list and the weight store, with faults that are set at run time. It is
// for tests and measurements; what it holds goes with the process. It prints its
// URL on standard output and ends with 0 on SIGTERM or SIGINT, else with 1.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/platform/standin"
	"chicorytiller.example/chicorytiller/internal/platform/vmlist"
	"chicorytiller.example/chicorytiller/internal/version"
)

// options are the command line's flags.
type options struct {
	listen          string
	vmFile          string
	vmListLag       time.Duration
	writesPerSecond float64
	readsPerSecond  float64
	delay           time.Duration
	weightBytes     int
	weightRate      float64
}

func main() {
	o := parse(os.Args[1:])
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "chicory-platform:", err)
		os.Exit(1)
	}
}

func parse(args []string) options {
	var o options
	app := kingpin.New("chicory-platform", "Stand-in for the platform: key-value service, VM list and weight store.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	app.Flag("listen", "IP number and port to listen on; port 0 takes a free one.").
		Default("127.0.0.1:0").StringVar(&o.listen)
	app.Flag("vm-list", "JSON file with the VM list at the start, as GET /v1/vms gives it.").
		ExistingFileVar(&o.vmFile)
	app.Flag("vm-list-lag", "Time until a change of the VM list is shown.").
		Default("0s").DurationVar(&o.vmListLag)
	app.Flag("writes-per-second", "Limit on writes to the key-value service; 0: none.").
		Default("0").Float64Var(&o.writesPerSecond)
	app.Flag("reads-per-second", "Limit on reads of the key-value service; 0: none.").
		Default("0").Float64Var(&o.readsPerSecond)
	app.Flag("delay", "Time that each call to the key-value service takes.").
		Default("0s").DurationVar(&o.delay)
	app.Flag("weight-bytes", "Size of each blob of the weight store.").
		Default(fmt.Sprint(standin.DefaultWeightBytes)).IntVar(&o.weightBytes)
	app.Flag("weight-bytes-per-second", "Limit of the weight store; 0: none.").
		Default("0").Float64Var(&o.weightRate)
	kingpin.MustParse(app.Parse(args))
	return o
}

// run serves until SIGTERM or SIGINT.
func run(o options) error {
	config, err := configOf(o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := standin.New(config)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	fmt.Println("http://" + listener.Addr().String())
	served := make(chan error, 1)
	var tasks conc.WaitGroup
	tasks.Go(func() { served <- server.Serve(listener) })
	defer tasks.Wait()

	select {
	case err := <-served:
		return errors.WithMessage(err, "serve")
	case <-signals:
		return errors.WithMessage(server.Close(), "close")
	}
}

func configOf(o options) (standin.Config, error) {
	store := memkv.New(nil)
	store.SetFaults(memkv.Faults{
		Delay:           o.delay,
		WritesPerSecond: o.writesPerSecond,
		ReadsPerSecond:  o.readsPerSecond,
	})
	config := standin.Config{
		Store:                store,
		VMListLag:            o.vmListLag,
		WeightBytes:          o.weightBytes,
		WeightBytesPerSecond: o.weightRate,
	}
	if o.vmFile == "" {
		return config, nil
	}
	body, err := os.ReadFile(o.vmFile)
	if err != nil {
		return standin.Config{}, errors.Wrap(err, "VM list")
	}
	config.VMs, err = vmlist.Decode(body)
	return config, errors.WithMessagef(err, "VM list %s", o.vmFile)
}
