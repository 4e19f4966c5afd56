// Command chicory-soak injects random faults into a fleet of the real programs, one seed
// after the other. Its exit status is 1 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"chicorytiller.example/chicorytiller/internal/soak"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/version"
	"chicorytiller.example/chicorytiller/platform"
)

func main() {
	app := kingpin.New("chicory-soak", "Plays random faults on the real programs and checks the promises.")
	app.Version(version.Version)
	o := soak.Options{Out: os.Stdout, OpenStore: func(address string) store.Store { return platform.NewStore(address) }}
	app.Flag("programs", "Directory of the built programs.").Default("bin").StringVar(&o.ProgramDir)
	app.Flag("seed", "First seed.").Default("1").Uint64Var(&o.Seed)
	seeds := app.Flag("seeds", "How many seeds, one after the other.").Default("1").Int()
	app.Flag("duration", "Time of load and faults of each seed.").Default("15s").DurationVar(&o.Duration)
	app.Flag("rate", "Requests a second.").Default("40").Float64Var(&o.Rate)
	app.Flag("restores", "Make the store return from copies, and so lose writes.").BoolVar(&o.Restores)
	dir := app.Flag("dir", "Directory for settings and logs, which are kept for broken seeds.").Default(os.TempDir()).String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(o.Validate(), "settings")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(runSeeds(ctx, o, *seeds, *dir))
}

// runSeeds runs the seeds in order and returns the exit status.
func runSeeds(ctx context.Context, o soak.Options, seeds int, dir string) int {
	exitStatus := 0
	for end := o.Seed + uint64(seeds); o.Seed < end && ctx.Err() == nil; o.Seed++ {
		if !runSeed(ctx, o, dir) {
			exitStatus = 1
		}
	}
	return exitStatus
}

// runSeed runs one seed and reports whether all guarantees held. It deletes the seed's
// directory if they did.
func runSeed(ctx context.Context, o soak.Options, dir string) bool {
	o.Dir = filepath.Join(dir, fmt.Sprintf("soak-%d-%d", os.Getpid(), o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Println(err)
		return false
	}
	fmt.Printf("seed %d\n", o.Seed)
	violations, err := soak.Run(ctx, o)
	if err != nil {
		violations = append(violations, err.Error())
	}
	for _, violation := range violations {
		fmt.Println("BROKEN:", violation)
	}
	if len(violations) > 0 {
		fmt.Println("logs:", o.Dir)
		return false
	}
	_ = os.RemoveAll(o.Dir) // logs of a passed seed are not needed
	fmt.Printf("seed %d kept all promises\n", o.Seed)
	return true
}
