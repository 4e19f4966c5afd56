package daemon

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that is killed by a SIGHUP right after its start.
func TestHangupBeforeMain(t *testing.T) {
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	qt.Assert(t, <-hangups, qt.Equals, os.Signal(syscall.SIGHUP))
}
