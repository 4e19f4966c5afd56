package soak

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is a program started by the soak. It can be started again after it has exited.
type process struct {
	name    string
	path    string
	args    []string
	logPath string // file for its standard output and error

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when cmd has exited
	startTime time.Time
	// restarting is set while a fault stops the process and starts it again.
	restarting bool
	// stopRequested is set once a signal that is meant to end the process was sent.
	stopRequested bool
	// failures are unexpected exits, failed graceful shutdowns and failed restarts.
	failures []string
}

// start starts the program. If readAddress is set, it returns the first line of the program's
// output, on which the stubs print their address.
func (p *process) start(readAddress bool) (string, error) {
	p.mu.Lock()
	p.stopRequested = false // also if there will be no process, so that endRestart records why
	p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", errors.Wrap(err, p.name)
	}
	cmd := exec.Command(p.path, p.args...)
	// The kernel kills the program if the soak is killed. Otherwise its routers would keep
	// running and join the fleet of a later soak whose store listens on the same port: two
	// routers of one VM.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = logFile
	cmd.Stdout = logFile
	var stdout io.ReadCloser
	if readAddress {
		cmd.Stdout = nil
		if stdout, err = cmd.StdoutPipe(); err != nil {
			return "", errors.Wrap(err, p.name)
		}
	}
	if err := cmd.Start(); err != nil {
		return "", errors.Wrap(err, p.name)
	}
	p.mu.Lock()
	p.cmd, p.done, p.startTime, p.stopRequested = cmd, make(chan struct{}), time.Now(), false
	done := p.done
	p.mu.Unlock()
	line := ""
	if readAddress {
		line, err = bufio.NewReader(stdout).ReadString('\n')
	}
	go func() { // returns when the process exits
		defer close(done)
		p.recordExit(cmd.Wait())
		_ = logFile.Close() // nothing is written any more
	}()
	return line, errors.Wrap(err, p.name)
}

// recordExit records an exit as a failure if it was not requested, or if the process exited
// with a status other than 0. A requested exit by a signal is not a failure.
func (p *process) recordExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var exitErr *exec.ExitError
	signaled := errors.As(err, &exitErr) && exitErr.Sys().(syscall.WaitStatus).Signaled()
	switch {
	case !p.stopRequested:
		p.failures = append(p.failures, p.name+" exited unexpectedly: "+exitText(err))
	case err != nil && !signaled:
		p.failures = append(p.failures, p.name+" failed on graceful shutdown: "+exitText(err))
	}
}

func exitText(err error) string {
	if err == nil {
		return "status 0"
	}
	return err.Error()
}

// signal sends a signal to the process; stop is set if the signal is meant to end it.
func (p *process) signal(sig syscall.Signal, stop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = p.stopRequested || stop
	_ = p.cmd.Process.Signal(sig) // the process may have exited: recordExit reports it
}

// expectStop notes that the process is about to end without a signal from the soak.
func (p *process) expectStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
}

func (p *process) startedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startTime
}

// restart ends the process by a signal and starts it again after downtime. It sends the signal
// even if another fault is restarting the process, so that signals can overlap.
func (p *process) restart(ctx context.Context, downtime time.Duration, sig syscall.Signal, readAddress bool) {
	p.signal(sig, true)
	if !p.beginRestart() {
		return // the other fault starts the process again
	}
	for {
		p.wait()
		sleep(ctx, downtime)
		_, err := p.start(readAddress)
		if p.endRestart(err) {
			return
		}
	}
}

// beginRestart reports whether the caller is to start the process again. It returns false if
// another fault does so already.
func (p *process) beginRestart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	claimed := !p.restarting
	p.restarting = true
	return claimed
}

// endRestart ends a restart whose start returned err, and records a failed start. It returns false
// if another fault has stopped the new process already and left it to this restart to start the
// process once more.
func (p *process) endRestart(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopRequested {
		return false
	}
	p.restarting = false
	if err != nil {
		p.failures = append(p.failures, err.Error())
	}
	return true
}

// wait waits until the process has exited.
func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// kill kills the process, even if it is paused, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.wait()
}

func (p *process) allFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}

// logPath returns the path of a process's log file.
func logPath(dir, name string) string {
	return filepath.Join(dir, name+".log")
}
