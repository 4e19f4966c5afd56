package enginestub

import "fmt"

// load is "running,waiting,slots".
func (e *scheduler) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(e.running), len(e.waiting), e.cfg.Slots)
}

func (e *scheduler) runReport() RunReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs.report()
}

func (e *scheduler) setLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *scheduler) setPaused(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
	e.wakeUp()
}

func (e *scheduler) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) == 0 && len(e.waiting) == 0
}

// crash ends everything in the middle of a step, as a killed process would: the
// connections first, so that no stream gets an orderly end.
func (e *scheduler) crash() {
	e.onCrash()
	e.halt()
}

// stop ends the loop and all streams.
func (e *scheduler) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.halt()
}

func (e *scheduler) halt() {
	if e.stopped {
		return
	}
	e.stopped = true
	close(e.quit)
	for _, s := range e.byAttempt {
		s.progress.set(s.run.Tokens, true)
	}
}
