package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// starterEnv makes the test binary start a program and wait, in the place of its tests.
const starterEnv = "SOAK_TEST_STARTER"

// Guards against routers that outlive a soak and join the fleet of a later one.
func TestProcessesEndWithSoak(t *testing.T) {
	if os.Getenv(starterEnv) != "" {
		p := &process{name: "sleeper", path: "/bin/sleep", args: []string{"60"}, log: t.TempDir() + "/log"}
		_, err := p.start(false)
		qt.Assert(t, err, qt.IsNil)
		fmt.Println("started", p.cmd.Process.Pid)
		select {} // until it is killed
	}
	starter := exec.Command(os.Args[0], "-test.run", "^TestProcessesEndWithSoak$")
	starter.Env = append(os.Environ(), starterEnv+"=1")
	out, err := starter.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, starter.Start(), qt.IsNil)
	pid := 0
	for lines := bufio.NewScanner(out); pid == 0 && lines.Scan(); {
		_, _ = fmt.Sscanf(lines.Text(), "started %d", &pid) // other lines are the test binary's
	}
	qt.Assert(t, pid, qt.Not(qt.Equals), 0)
	qt.Assert(t, starter.Process.Kill(), qt.IsNil)
	_ = starter.Wait() // killed, as asked
	for running(pid) {
		time.Sleep(5 * time.Millisecond) // the test's own timeout bounds it
	}
}

// running says whether a process lives; one that has ended may not have been waited for yet.
func running(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(stat), ") Z ")
}
