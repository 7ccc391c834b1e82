package silverpath

// Admission guards keep the server within the hard limits of its settings: memory, the number of runs that
// it survives, and the grace period after a drain notice. Each limit is applied at limitMargin of its
// value, whatever the adaptive concurrency limit admits. A request is checked twice. When it arrives, it is
// rejected if there is no memory to queue it. When it is to start, it stays queued if there is no memory or
// no slot for its run.
//
// Inputs: memory of all open requests and of the remembered keys (kilobytes), the number of started runs,
// the drain state, and the pools, if there are any.

// limitMargin is the usable fraction of a limit from the settings. The rest covers what the module does not
// see: the memory of the host itself, and actions that the host has not carried out yet.
const limitMargin = 0.9

// admissible reports whether a request may be queued: memory is free for the request and its key, the drain
// allows it to run, and its pool admits it.
func (s *Shedder) admissible(r *request) bool {
	return s.memoryKB+s.remembered.memoryKB+s.keyMemoryKB(r) <= limitMargin*s.settings.MemoryKB &&
		s.drainAllows(r) && (s.pools == nil || s.pools.Admits(r.class.Name))
}

// hasCapacity reports whether one more run stays within the limits on memory, on cores and of its pool.
// Every started run counts towards maxRuns, also one that waits for disk or for a call, because it returns
// to the cores without passing this check again.
func (s *Shedder) hasCapacity(r *request) bool {
	extraKB := 0.0
	if r.state == queued {
		extraKB = r.QueuedKB * (s.settings.RunFactor - 1)
		if float64(s.startedRuns()+1) > s.maxRuns() {
			return false
		}
	}
	return s.memoryKB+s.remembered.memoryKB+extraKB <= limitMargin*s.settings.MemoryKB &&
		float64(s.runsOnCores()) < s.runLimit() &&
		(s.pools == nil || s.pools.HasCapacity(s.now, r.class.Name))
}

// startRun starts a queued request or resumes a paused one if it is allowed to run and there is capacity.
// It is the only caller of Host.Run. A request of a class with an effect starts at most once: r.started is
// set before the host is called, so a run that comes back unfinished is not started again.
func (s *Shedder) startRun(r *request) {
	if r.state == queued && (r.started && r.class.Effect != Safe || !s.drainAllows(r)) || !s.hasCapacity(r) {
		return
	}
	r.started = true
	if r.class.Effect == NonIdempotent {
		s.remembered.add(keyEntry{id: r.ID, expiresAt: s.now + r.class.Deadline})
	}
	s.setState(r, running)
	s.host.Run(r.ID)
}
