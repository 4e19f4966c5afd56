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
	// meanEngineKillInterval is the mean time between two kills of engines. minEngineDowntime
	// and maxEngineDowntime bound the time until a killed engine is started again.
	meanEngineKillInterval               = 5 * time.Second
	minEngineDowntime, maxEngineDowntime = 50 * time.Millisecond, 2 * time.Second
)

// planEngineKills draws faults that kill an engine and start it again at its address, also
// while it reports a rate limit. It has its own random generator, so that it doesn't change
// the other faults of a seed.
func (f *fleet) planEngineKills(seed uint64, duration time.Duration) []fault {
	rng := rand.New(rand.NewPCG(^seed, ^seed))
	var faults []fault
	for range int(duration / meanEngineKillInterval) {
		offset := time.Duration(rng.Int64N(int64(duration)))
		engine := f.engines[rng.IntN(len(f.engines))]
		downtime := minEngineDowntime + time.Duration(rng.Int64N(int64(maxEngineDowntime-minEngineDowntime)))
		faults = append(faults, fault{offset: offset, name: fmt.Sprintf("%s killed", engine.name), run: func(ctx context.Context) {
			engine.restart(ctx, downtime, syscall.SIGKILL, true)
		}})
	}
	return faults
}

// activityLog reads the activity log of an engine, which covers all its processes.
func (f *fleet) activityLog(engine int) (enginestub.ActivityLog, error) {
	file, err := os.Open(f.activityLogs[engine])
	if err != nil {
		return enginestub.ActivityLog{}, errors.Wrap(err, "evidence")
	}
	defer func() { _ = file.Close() }() // read to EOF
	return enginestub.ReadActivityLog(file)
}

// engineRuns returns the number of runs that all engines started for each request.
func (f *fleet) engineRuns() (map[string]int, error) {
	runs := make(map[string]int)
	for i := range f.engines {
		activity, err := f.activityLog(i)
		if err != nil {
			return nil, err
		}
		for request, n := range activity.Runs {
			runs[request] += n
		}
	}
	return runs, nil
}
