package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// BoottimeNow reads a clock that, unlike time.Now's steady one, goes on while the VM is
// suspended, and that nobody sets. A router that was suspended for three seconds would
// else take what it knows for three seconds younger, and tell it to others as new.
// The times are good only for comparison with each other.
func BoottimeNow() time.Time {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // this clock exists on every Linux
	}
	return time.Unix(now.Unix())
}
