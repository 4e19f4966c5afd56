package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

const (
	// engineDeathEvery is the mean time between two deaths of engines, and deadShortest and
	// deadLongest bound how long one is gone.
	engineDeathEvery          = 5 * time.Second
	deadShortest, deadLongest = 50 * time.Millisecond, 2 * time.Second
)

// planEngineDeaths draws engines that are killed and start again at their address, also while they
// name a limit. It has random numbers of its own, so that a seed's other faults stay what they were.
func (f *fleet) planEngineDeaths(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(^seed, ^seed))
	var plan []fault
	for range int(duration / engineDeathEvery) {
		at := time.Duration(random.Int64N(int64(duration)))
		engine := f.engines[random.IntN(len(f.engines))]
		dead := deadShortest + time.Duration(random.Int64N(int64(deadLongest-deadShortest)))
		plan = append(plan, fault{at: at, name: fmt.Sprintf("%s killed", engine.name), do: func(ctx context.Context) {
			engine.down(ctx, dead, syscall.SIGKILL, true)
		}})
	}
	return plan
}

// evidenceOf reads what the processes of an engine did.
func (f *fleet) evidenceOf(engine int) (enginestub.ActivityLog, error) {
	file, err := os.Open(f.evidence[engine])
	if err != nil {
		return enginestub.ActivityLog{}, errors.Wrap(err, "evidence")
	}
	defer func() { _ = file.Close() }() // read to its end
	return enginestub.ReadActivityLog(file)
}

// engineRuns counts the runs that began at all engines, by request.
func (f *fleet) engineRuns() (map[string]int, error) {
	runs := make(map[string]int)
	for i := range f.engines {
		evidence, err := f.evidenceOf(i)
		if err != nil {
			return nil, err
		}
		for request, n := range evidence.Runs {
			runs[request] += n
		}
	}
	return runs, nil
}
