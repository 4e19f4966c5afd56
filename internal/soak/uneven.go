package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chicorytiller.example/chicorytiller/internal/enginestub"
)

// Behavior of engines in runs with uneven engines.
const (
	unevenNonsenseShare = 0.1
	unevenSlowBodyShare = 0.3
	unevenCacheTokens   = 1000
	// unevenPromptTokenTime makes it cost some 30 ms to read a preempted request again.
	unevenPromptTokenTime = 100 * time.Microsecond
	// meanMemoryExitInterval is the mean time between two ends of engines by memory.
	meanMemoryExitInterval = 4 * time.Second
	memoryExitTimeout      = time.Second
)

// unevenMemories are the memories of engines in tokens, for two to ten requests of average size.
// The largest request of a run has some 440 tokens.
var unevenMemories = []int{800, 1500, 3000}

// promptBytes is the size of prompts; those of uneven runs are read in more than one piece by
// engines that read slowly, and several of them fill an engine's memory.
const (
	promptBytes       = 200
	unevenPromptBytes = 1200
)

// unevenness says which engines of a run behave like uneven servers, and in what.
type unevenness struct {
	engines     []enginestub.Uneven // empty: the engines of the run are even
	memoryExits bool                // engines also end by memory
}

// planUnevenness draws the unevenness of a run; half of the runs have none. It has its own random
// generator, so that it doesn't change the faults of a seed.
func planUnevenness(seed uint64, engines int) unevenness {
	rng := rand.New(rand.NewPCG(seed, 2))
	if rng.IntN(2) == 0 {
		return unevenness{}
	}
	u := unevenness{memoryExits: rng.IntN(2) == 0, engines: make([]enginestub.Uneven, engines)}
	paced, slowBodies, limitedMemory := rng.IntN(4) > 0, rng.IntN(4) > 0, rng.IntN(4) > 0
	for i := range u.engines {
		engine := enginestub.Uneven{Seed: rng.Uint64(), Pace: paced}
		memory := unevenMemories[rng.IntN(len(unevenMemories))]
		if paced {
			engine.NonsenseShare = unevenNonsenseShare
		}
		if slowBodies {
			engine.SlowBodyShare = unevenSlowBodyShare
		}
		if limitedMemory {
			engine.MemoryTokens = memory
		}
		u.engines[i] = engine
	}
	return u
}

func (u unevenness) promptBytes() int {
	if len(u.engines) == 0 {
		return promptBytes
	}
	return unevenPromptBytes
}

// args returns the arguments with which an engine behaves like this.
func (u unevenness) args(engine int) []string {
	if len(u.engines) == 0 {
		return nil
	}
	e := u.engines[engine]
	args := []string{
		"--seed", strconv.FormatUint(e.Seed, 10),
		"--nonsense-share", fmt.Sprint(e.NonsenseShare),
		"--slow-body-share", fmt.Sprint(e.SlowBodyShare),
		"--memory", strconv.Itoa(e.MemoryTokens),
		"--cache-tokens", strconv.Itoa(unevenCacheTokens),
		"--prompt-token-time", unevenPromptTokenTime.String(),
	}
	if e.Pace {
		args = append(args, "--uneven-pace")
	}
	return args
}

// String implements fmt.Stringer.
func (u unevenness) String() string {
	if len(u.engines) == 0 {
		return "even engines"
	}
	var memories []string
	for _, e := range u.engines {
		memories = append(memories, strconv.Itoa(e.MemoryTokens))
	}
	first := u.engines[0]
	return fmt.Sprintf("uneven engines: pace %v, %.1f of the bodies read slowly, memory %s, ends by memory %v",
		first.Pace, first.SlowBodyShare, strings.Join(memories, "/"), u.memoryExits)
}

// planMemoryExits draws faults that end an engine as if its machine were out of memory and start
// it again. It has its own random generator, so that it doesn't change the other faults of a seed.
func (f *fleet) planMemoryExits(seed uint64, duration time.Duration) []fault {
	if !f.uneven.memoryExits {
		return nil
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	var faults []fault
	for range int(duration / meanMemoryExitInterval) {
		offset := time.Duration(rng.Int64N(int64(duration)))
		engine := rng.IntN(len(f.engines))
		downtime := minEngineDowntime + time.Duration(rng.Int64N(int64(maxEngineDowntime-minEngineDowntime)))
		faults = append(faults, fault{offset: offset, name: f.engines[engine].name + " out of memory", run: func(ctx context.Context) {
			f.exitOutOfMemory(ctx, engine, downtime)
		}})
	}
	return faults
}

// exitOutOfMemory makes an engine end by memory. An engine that can't be reached, as it is paused
// or about to start, is killed.
func (f *fleet) exitOutOfMemory(ctx context.Context, engine int, downtime time.Duration) {
	p := f.engines[engine]
	p.expectStop()
	client := http.Client{Timeout: memoryExitTimeout}
	response, err := client.Post("http://"+f.engineAddrs[engine]+enginestub.OutOfMemoryPath, "text/plain", nil)
	if err == nil {
		_ = response.Body.Close() // only the end of the engine matters
	}
	p.restart(ctx, downtime, syscall.SIGKILL, true)
}

// printUnevenEffects prints how often the engines preempted a run and ended by memory, which tells
// whether the run exercised it.
func (f *fleet) printUnevenEffects(out io.Writer) error {
	if len(f.uneven.engines) == 0 {
		return nil
	}
	preemptions, exits := 0, 0
	for i := range f.engines {
		activity, err := f.activityLog(i)
		if err != nil {
			return err
		}
		preemptions += activity.Preemptions
		exits += activity.MemoryExits
	}
	fmt.Fprintf(out, "engines preempted %d runs and ended %d times by memory\n", preemptions, exits)
	return nil
}
