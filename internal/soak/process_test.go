package soak

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// parentEnv is the environment variable that makes the test binary start a program and wait
// instead of running the test.
const parentEnv = "SOAK_TEST_STARTER"

// Guards against routers that keep running after a soak was killed and join the fleet of a later one.
func TestProcessesEndWithSoak(t *testing.T) {
	if os.Getenv(parentEnv) != "" {
		p := &process{name: "sleeper", path: "/bin/sleep", args: []string{"60"}, logPath: t.TempDir() + "/log"}
		_, err := p.start(false)
		qt.Assert(t, err, qt.IsNil)
		fmt.Println("started", p.cmd.Process.Pid)
		select {} // until the test kills it
	}
	parent := exec.Command(os.Args[0], "-test.run", "^TestProcessesEndWithSoak$")
	parent.Env = append(os.Environ(), parentEnv+"=1")
	out, err := parent.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, parent.Start(), qt.IsNil)
	pid := 0
	for lines := bufio.NewScanner(out); pid == 0 && lines.Scan(); {
		_, _ = fmt.Sscanf(lines.Text(), "started %d", &pid) // other lines come from the testing package
	}
	qt.Assert(t, pid, qt.Not(qt.Equals), 0)
	qt.Assert(t, parent.Process.Kill(), qt.IsNil)
	_ = parent.Wait() // returns an error, since the process was killed
	for running(pid) {
		time.Sleep(5 * time.Millisecond) // bounded by the timeout of go test
	}
}

// Guards against a process that stays down, and a failure that is reported, if two faults end it and
// the second one does so while it starts.
func TestProcessEndedDuringItsStartIsStartedAgain(t *testing.T) {
	p := &process{name: "slow", path: "/bin/sh", args: []string{"-c", "sleep 0.2; echo ready; exec sleep 60"}, logPath: t.TempDir() + "/log"}
	_, err := p.start(true)
	qt.Assert(t, err, qt.IsNil)
	first := p.startedAt()
	var restart conc.WaitGroup
	restart.Go(func() { p.restart(context.Background(), 0, syscall.SIGKILL, true) })
	for p.startedAt().Equal(first) {
		time.Sleep(time.Millisecond) // bounded by the timeout of go test
	}
	p.restart(context.Background(), 0, syscall.SIGKILL, true)
	restart.Wait()
	qt.Check(t, p.allFailures(), qt.HasLen, 0)
	qt.Check(t, running(p.cmd.Process.Pid), qt.IsTrue)
	p.kill()
}

// running reports whether a process is running. A zombie doesn't count.
func running(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(stat), ") Z ")
}
