package silverpath

// Answers that the module gives itself. A rejection guarantees that the request never ran, so the caller
// may send it again to any server; a failure guarantees nothing. Each request is answered once: the flag
// answered is set before the host is called, and every path that answers checks it.

// reject rejects a request that has never run. A request that was started fails instead: after a rejection
// the caller would send it again, and its effect could occur twice.
func (s *Shedder) reject(r *request, reason rejectionReason) {
	if r.started || r.answered {
		s.fail(r)
		return
	}
	s.lastRejection, s.everRejected = s.now, true
	s.rejections++
	s.rejectedBy[reason]++
	r.answered = true
	s.forgetKey(r)
	after, final := s.retryAdvice(r)
	s.host.Reject(r.ID, after, final)
	s.release(r)
}

// fail answers a request with a failure and stops its work if the host can stop it.
func (s *Shedder) fail(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if !r.started {
		s.forgetKey(r)
	}
	s.host.Fail(r.ID)
	switch r.state {
	case queued, paused, joined:
		s.release(r)
	case running:
		s.preempt(r)
	}
}

// preempt asks the host to stop a running request, if the settings allow preemption. The host reports the
// end of the run through RunEnded.
func (s *Shedder) preempt(r *request) {
	if s.settings.Preemption != PreemptNone {
		s.setState(r, preempting)
		s.host.Stop(r.ID)
	}
}
