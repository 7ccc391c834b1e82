package silverpath

// Answers that the module gives itself. A rejection promises that the request never ran, so that it may be
// sent again anywhere; a failure promises nothing. Each request is answered once: the flag answered is set
// before the host is asked, and all that would answer looks at it.

// reject answers a request that has never run. One that was started fails instead, whatever led here: a
// caller that is told that it never ran would send it again, and its effect would come twice.
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

// fail answers a request without assurance and stops its work where that can be done.
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

// preempt stops running work, where the host can. The run ends with RunEnded.
func (s *Shedder) preempt(r *request) {
	if s.settings.Preemption != PreemptNone {
		s.setState(r, preempting)
		s.host.Stop(r.ID)
	}
}
