package enginestub

// load returns the value of the load header.
func (s *scheduler) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	report := loadReport{running: len(s.running), waiting: len(s.waiting), slots: s.cfg.Slots}
	return report.header(s.clock.pace, s.now(), s.reports)
}

func (s *scheduler) runReport() RunReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.report()
}

func (s *scheduler) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *scheduler) setPaused(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = paused
	s.wakeUp()
}

func (s *scheduler) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0 && len(s.waiting) == 0
}

// crashLocked simulates a killed process in the middle of a step. It closes the connections
// before it ends the sequences so that no stream ends normally. s.mu must be held.
func (s *scheduler) crashLocked() {
	s.onCrash()
	s.stopLocked()
}

// stop ends the loop and all sequences.
func (s *scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

// stopLocked is stop with s.mu held.
func (s *scheduler) stopLocked() {
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.quit)
	for _, seq := range s.byAttempt {
		seq.progress.set(seq.run.Tokens, true)
	}
}
