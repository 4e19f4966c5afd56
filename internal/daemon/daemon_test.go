package daemon

import (
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The process is told to reload before its program has begun to run. It lives, and the
// signal waits for whoever watches the settings.
func TestHangupBeforeTheProgramRuns(t *testing.T) {
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	qt.Assert(t, <-hangups, qt.Equals, os.Signal(syscall.SIGHUP))
}
