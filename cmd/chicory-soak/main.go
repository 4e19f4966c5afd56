// Command chicory-soak plays random faults on the real programs, one seed after the
// other, and ends with 1 if a promise was broken.
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
	o := soak.Options{Out: os.Stdout, Open: func(address string) store.Store { return platform.NewStore(address) }}
	app.Flag("programs", "Directory of the built programs.").Default("bin").StringVar(&o.Programs)
	app.Flag("seed", "First seed.").Default("1").Uint64Var(&o.Seed)
	seeds := app.Flag("seeds", "How many seeds, one after the other.").Default("1").Int()
	app.Flag("duration", "Time of load and faults of each seed.").Default("15s").DurationVar(&o.Duration)
	app.Flag("rate", "Requests a second.").Default("40").Float64Var(&o.Rate)
	dir := app.Flag("dir", "Directory for settings and logs, which are kept for broken seeds.").Default(os.TempDir()).String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(playAll(ctx, o, *seeds, *dir))
}

// playAll plays the seeds and returns the exit status.
func playAll(ctx context.Context, o soak.Options, seeds int, dir string) int {
	status := 0
	for last := o.Seed + uint64(seeds); o.Seed < last && ctx.Err() == nil; o.Seed++ {
		if !play(ctx, o, dir) {
			status = 1
		}
	}
	return status
}

// play plays one seed and says whether all promises were kept.
func play(ctx context.Context, o soak.Options, dir string) bool {
	o.Dir = filepath.Join(dir, fmt.Sprintf("soak-%d-%d", os.Getpid(), o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		fmt.Println(err)
		return false
	}
	fmt.Printf("seed %d\n", o.Seed)
	broken, err := soak.Run(ctx, o)
	if err != nil {
		broken = append(broken, err.Error())
	}
	for _, one := range broken {
		fmt.Println("BROKEN:", one)
	}
	if len(broken) > 0 {
		fmt.Println("logs:", o.Dir)
		return false
	}
	_ = os.RemoveAll(o.Dir) // only logs of what went well
	fmt.Printf("seed %d kept all promises\n", o.Seed)
	return true
}
