package daemon

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that ends because it is told to reload at its start.
func TestHangupBeforeTheProgramRuns(t *testing.T) {
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	qt.Assert(t, <-hangups, qt.Equals, os.Signal(syscall.SIGHUP))
}
