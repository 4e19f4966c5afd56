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

// process is one program that the soak started. It may be started anew after its end.
type process struct {
	name string
	path string
	args []string
	log  string // file of its standard output and error

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended
	began time.Time
	// restarting: a fault has ended it and starts it again.
	restarting bool
	// asked: its end was asked for by a signal.
	asked bool
	// faults are ends that nobody asked for, and planned ends that failed.
	faults []string
}

// start runs the program. With announced, it returns the first line of its output: the
// address that stand-ins print.
func (p *process) start(announced bool) (string, error) {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return "", errors.Wrap(err, p.name)
	}
	cmd := exec.Command(p.path, p.args...)
	// A soak that is killed can't end what it started. Its routers would go on, and join the
	// fleet of a later soak whose store gets the port of their own: two routers of one VM.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = file
	cmd.Stdout = file
	var out io.ReadCloser
	if announced {
		cmd.Stdout = nil
		if out, err = cmd.StdoutPipe(); err != nil {
			return "", errors.Wrap(err, p.name)
		}
	}
	if err := cmd.Start(); err != nil {
		return "", errors.Wrap(err, p.name)
	}
	p.mu.Lock()
	p.cmd, p.ended, p.began, p.asked = cmd, make(chan struct{}), time.Now(), false
	ended := p.ended
	p.mu.Unlock()
	line := ""
	if announced {
		line, err = bufio.NewReader(out).ReadString('\n')
	}
	go func() { // ends with the process
		defer close(ended)
		p.noteEnd(cmd.Wait())
		_ = file.Close() // all is written
	}()
	return line, errors.Wrap(err, p.name)
}

// noteEnd judges an end: a planned one has status 0, a killed one has none, and one that
// nobody asked for is a fault.
func (p *process) noteEnd(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	killed := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
	switch {
	case !p.asked:
		p.faults = append(p.faults, p.name+" ended by itself: "+errorText(err))
	case err != nil && !killed:
		p.faults = append(p.faults, p.name+" failed at its planned stop: "+errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return "status 0"
	}
	return err.Error()
}

// signal sends a signal; stop says that it asks for the end.
func (p *process) signal(s syscall.Signal, stop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || stop
	_ = p.cmd.Process.Signal(s) // it may have ended: noteEnd tells why
}

func (p *process) startedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.began
}

// down ends the process by a signal and starts it again some time later. One that is down already
// gets the signal all the same: series of signals overlap.
func (p *process) down(ctx context.Context, gone time.Duration, s syscall.Signal, announced bool) {
	p.signal(s, true)
	if !p.claim() {
		return // another fault starts it again
	}
	defer p.release()
	p.wait()
	sleep(ctx, gone)
	if _, err := p.start(announced); err != nil {
		p.fail(err)
	}
}

// claim makes the caller the one who starts the process again.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := !p.restarting
	p.restarting = true
	return free
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarting = false
}

func (p *process) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, err.Error())
}

// wait returns when the process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// kill ends the process, also a paused one, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.wait()
}

func (p *process) takeFaults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// logFile is where a process writes.
func logFile(dir, name string) string {
	return filepath.Join(dir, name+".log")
}
