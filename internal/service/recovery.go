package service

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
	"silverpath/internal/policy/recovery"
)

// recoveryPollInterval is the interval between two checks of the prerequisites of full service. A longer interval delays the log
// line and the status that report a recovered process; the checks are cheap, since they only read memory.
const recoveryPollInterval = 20 * time.Millisecond

// recoveryTracker tracks the recovery of a process from its start to full service, for the log and the status.
type recoveryTracker struct {
	mu          sync.Mutex
	progress    *recovery.Progress
	startedAt   time.Time
	loggedState recovery.State
}

// trackServerRecovery tracks the recovery of a server that has a store, a heartbeat or documents of a group. Any other server waits
// only for its worker, which needs no tracking.
func (s *Service) trackServerRecovery() {
	if s.store == nil && s.heartbeat == nil && s.configWatch == nil {
		return
	}
	checks := map[recovery.Prerequisite]func() bool{
		recovery.WorkerUp: func() bool { return s.core.Phase() != lifecycle.Starting },
	}
	if s.store != nil {
		checks[recovery.StoreRead] = func() bool { v := s.store.View(); return v.Health != idempotency.Loading }
		checks[recovery.WindowOver] = func() bool { return s.store.View().Complete }
	} else if s.heartbeat != nil {
		checks[recovery.WindowOver] = func() bool { return s.unknownRunsRemaining() <= 0 }
	}
	if s.heartbeat != nil {
		checks[recovery.HeartbeatsDurable] = s.heartbeat.MayExecute
	}
	if s.configWatch != nil {
		checks[recovery.RulesConfirmed] = func() bool { return s.configWatch.StopReason() == "" }
	}
	tracker := s.trackRecovery(recovery.Server, checks)
	if s.heartbeat != nil && s.store == nil {
		tracker.progress.ExpectWait(0, recovery.WindowOver, max(0, s.unknownRunsRemaining()))
	}
}

// trackRouterRecovery tracks the recovery of a router: its cell map, the group's confirmation of its documents, and its quota of
// the cells.
func (s *Service) trackRouterRecovery() {
	s.trackRecovery(recovery.Router, map[recovery.Prerequisite]func() bool{
		recovery.MapKnown: func() bool { hasMap, _, _ := s.router.Readiness(); return hasMap },
		recovery.RulesConfirmed: func() bool {
			_, confirmed, _ := s.router.Readiness()
			return confirmed && (s.configWatch == nil || s.configWatch.StopReason() == "")
		},
		recovery.QuotasKnown: func() bool { _, _, hasQuota := s.router.Readiness(); return hasQuota },
	})
}

// trackRecovery starts to track the recovery of a role. The keys of checks are the prerequisites of this process; each function
// reports whether its prerequisite is met. The functions are called every recoveryPollInterval and must not block.
func (s *Service) trackRecovery(role recovery.Role, checks map[recovery.Prerequisite]func() bool) *recoveryTracker {
	var prerequisites []recovery.Prerequisite
	for prerequisite := range checks {
		prerequisites = append(prerequisites, prerequisite)
	}
	tracker := &recoveryTracker{startedAt: time.Now()}
	tracker.progress = recovery.NewProgress(0, role, prerequisites...)
	s.core.AddStatus("recovery", tracker.status)
	s.tasks = append(s.tasks, func(ctx context.Context) {
		t := time.NewTicker(recoveryPollInterval)
		defer t.Stop()
		for {
			s.updateRecovery(tracker, checks)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	return tracker
}

// updateRecovery records which prerequisites are met, and logs and counts the recovery state if it changed.
func (s *Service) updateRecovery(tracker *recoveryTracker, checks map[recovery.Prerequisite]func() bool) {
	met := map[recovery.Prerequisite]bool{}
	for prerequisite, check := range checks {
		met[prerequisite] = check()
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	elapsed := time.Since(tracker.startedAt)
	tracker.progress.Update(elapsed, met)
	snapshot := tracker.progress.Snapshot(elapsed)
	s.stats.Set(uint64(snapshot.State), "recovery", "state")
	s.stats.Set(uint64(len(snapshot.Waits)), "recovery", "waits")
	if snapshot.State == tracker.loggedState {
		return
	}
	tracker.loggedState = snapshot.State
	var waits []string
	for _, w := range snapshot.Waits {
		waits = append(waits, w.Prerequisite.String())
	}
	if len(waits) == 0 {
		waits = []string{"nothing"}
	}
	s.stats.Inc("recovery", "reached", snapshot.State.String())
	events.Log(s.log, "recovery.state", snapshot.State, elapsed.Round(time.Millisecond), strings.Join(waits, ", "))
}

// status returns the recovery as JSON, for the status of the service.
func (r *recoveryTracker) status() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := r.progress.Snapshot(time.Since(r.startedAt))
	var a fastjson.Arena
	o := a.NewObject()
	ms := func(d time.Duration) *fastjson.Value { return a.NewNumberFloat64(float64(d.Milliseconds())) }
	o.Set("state", a.NewString(snapshot.State.String()))
	o.Set("for_ms", ms(snapshot.Since))
	waits, steps := a.NewArray(), a.NewArray()
	for i, w := range snapshot.Waits {
		entry := a.NewObject()
		entry.Set("for", a.NewString(w.Prerequisite.String()))
		entry.Set("since_ms", ms(w.Waited))
		if w.MaxWait > 0 {
			entry.Set("at_most_ms", ms(w.MaxWait))
		}
		waits.SetArrayItem(i, entry)
	}
	for i, st := range snapshot.Steps {
		e := a.NewObject()
		e.Set("state", a.NewString(st.State.String()))
		e.Set("after_ms", ms(st.After))
		steps.SetArrayItem(i, e)
	}
	o.Set("waits", waits)
	o.Set("steps", steps)
	return o.MarshalTo(nil)
}
