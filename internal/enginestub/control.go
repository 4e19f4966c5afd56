package enginestub

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// recordLoad notes the load after a change.
func (e *scheduler) recordLoad(now time.Time) {
	e.load.record(now, backend.LoadReport{
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		OutstandingTk: id.Tokens(e.outstanding),
		Slots:         e.cfg.Slots,
		Leaving:       e.leaving,
		Models:        e.models,
	})
}

func (e *scheduler) loadReport() backend.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.recordLoad(now)
	return e.load.at(now)
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
	e.recordLoad(e.now())
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
