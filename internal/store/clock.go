package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// BoottimeNow returns the time of CLOCK_BOOTTIME. Unlike time.Now's monotonic clock it
// advances while the VM is suspended, and it is never set. With the monotonic clock, a router
// that was suspended for three seconds would consider its data three seconds younger than it
// is and pass it to other routers as fresh. The returned times may only be compared with each
// other.
func BoottimeNow() time.Time {
	now := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // all supported Linux versions have this clock
	}
	return time.Unix(now.Unix())
}
