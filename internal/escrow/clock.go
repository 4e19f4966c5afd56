package escrow

import (
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SystemClock returns a function that reads this VM's clocks.
func SystemClock() (func() ClockReading, error) {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return nil, errors.Wrap(err, "boot id")
	}
	boot := strings.TrimSpace(string(id))
	return func() ClockReading {
		steady := unix.Timespec{}
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
			panic(err) // CLOCK_MONOTONIC exists on every Linux
		}
		return ClockReading{Boot: boot, Steady: time.Duration(steady.Nano()), Wall: time.Now()}
	}, nil
}
