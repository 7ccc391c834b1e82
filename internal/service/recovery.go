package service

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
	"silverpath/internal/policy/recovery"
	"silverpath/internal/storage/heartbeat"
)

// recoveryPollInterval is how often it is looked at what the return of service waits for.
const recoveryPollInterval = 20 * time.Millisecond

// openHeartbeat has the service leave signs of life, where an edge file says so. Sheets begin only while they last; and where no
// store keeps what ran, those that are not known fail until what an earlier process may have run can't come again.
func (s *Service) openHeartbeat() (err error) {
	set := s.cfg.Edge.Heartbeat
	if set == nil {
		return nil
	}
	if s.restartLink != nil {
		return errors.New("life: not beside another process of the service (LB_SOCKET_FD)")
	}
	if s.heartbeat, err = heartbeat.Open(set.File, s.cfg.Name, set.Valid, s.log, s.stats); err != nil {
		return fmt.Errorf("life.file: %w", err)
	}
	downtime, _ := s.heartbeat.Dark()
	s.stats.Set(uint64(downtime.Milliseconds()), "life", "dark_ms")
	s.core.SetUnknownRunsUntil(time.Now().Add(-downtime).UnixMilli())
	may := s.heartbeat.May
	if wrap := s.hooks.WrapHeartbeat; wrap != nil {
		may = wrap(may)
	}
	s.core.AddGate(func(time.Duration) idempotency.Verdict {
		switch {
		case s.store == nil && s.unknownRunsFor() > 0:
			return idempotency.Verdict{Do: idempotency.Fail, Why: idempotency.WhyBlind}
		case !may():
			return idempotency.Verdict{Do: idempotency.Refuse, Why: "no_sign_of_life", Wait: set.Valid / 2}
		}
		return idempotency.Verdict{}
	})
	s.tasks = append(s.tasks, s.heartbeat.Keep)
	return nil
}

// unknownRunsFor is for how long from now on a sheet may still come that an earlier process may have run, where nothing else knows.
func (s *Service) unknownRunsFor() time.Duration {
	downtime, _ := s.heartbeat.Dark()
	return s.core.LongestWindow() - downtime
}

// recoveryTracker is a process's path to full service, as it is told and seen.
type recoveryTracker struct {
	mu          sync.Mutex
	path        *recovery.Path
	startedAt   time.Time
	loggedState recovery.State
}

// trackServerRecovery follows what the return of service waits for, where the process keeps anything on a disk or acts on a group's rules.
func (s *Service) trackServerRecovery() {
	if s.store == nil && s.heartbeat == nil && s.configWatch == nil {
		return
	}
	checks := map[recovery.Need]func() bool{
		recovery.Worker: func() bool { return s.core.Phase() != lifecycle.Starting },
	}
	if s.store != nil {
		checks[recovery.Disk] = func() bool { v := s.store.View(); return v.Phase != idempotency.Loading }
		checks[recovery.Window] = func() bool { return s.store.View().Known }
	} else if s.heartbeat != nil {
		checks[recovery.Window] = func() bool { return s.unknownRunsFor() <= 0 }
	}
	if s.heartbeat != nil {
		checks[recovery.Signs] = s.heartbeat.May
	}
	if s.configWatch != nil {
		checks[recovery.Rules] = func() bool { return s.configWatch.StopReason() == "" }
	}
	r := s.trackRecovery(recovery.Server, checks)
	if s.heartbeat != nil && s.store == nil {
		r.path.Takes(0, recovery.Window, max(0, s.unknownRunsFor()))
	}
}

// trackRouterRecovery follows what a router's full service waits for.
func (s *Service) trackRouterRecovery() {
	s.trackRecovery(recovery.Router, map[recovery.Need]func() bool{
		recovery.Map: func() bool { mapped, _, _ := s.router.Readiness(); return mapped },
		recovery.Rules: func() bool {
			_, sure, _ := s.router.Readiness()
			return sure && (s.configWatch == nil || s.configWatch.StopReason() == "")
		},
		recovery.Shares: func() bool { _, _, shared := s.router.Readiness(); return shared },
	})
}

// trackRecovery looks after a path from now on, by what tells of each need that the process has a use for.
func (s *Service) trackRecovery(role recovery.Role, checks map[recovery.Need]func() bool) *recoveryTracker {
	var needs []recovery.Need
	for n := range checks {
		needs = append(needs, n)
	}
	r := &recoveryTracker{startedAt: time.Now()}
	r.path = recovery.NewPath(0, role, needs...)
	s.core.AddStatus("recovery", r.status)
	s.tasks = append(s.tasks, func(ctx context.Context) {
		t := time.NewTicker(recoveryPollInterval)
		defer t.Stop()
		for {
			s.updateRecovery(r, checks)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	return r
}

// updateRecovery tells the path which needs are met, and says where that gets it.
func (s *Service) updateRecovery(r *recoveryTracker, checks map[recovery.Need]func() bool) {
	met := map[recovery.Need]bool{}
	for n, check := range checks {
		met[n] = check()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.startedAt)
	r.path.Tell(now, met)
	v := r.path.View(now)
	s.stats.Set(uint64(v.State), "recovery", "state")
	s.stats.Set(uint64(len(v.Waits)), "recovery", "waits")
	if v.State == r.loggedState {
		return
	}
	r.loggedState = v.State
	var waits []string
	for _, w := range v.Waits {
		waits = append(waits, w.Need.String())
	}
	if len(waits) == 0 {
		waits = []string{"nothing"}
	}
	s.stats.Inc("recovery", "reached", v.State.String())
	events.Log(s.log, "recovery.state", v.State, now.Round(time.Millisecond), strings.Join(waits, ", "))
}

// status is the path as JSON.
func (r *recoveryTracker) status() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.path.View(time.Since(r.startedAt))
	var a fastjson.Arena
	o := a.NewObject()
	ms := func(d time.Duration) *fastjson.Value { return a.NewNumberFloat64(float64(d.Milliseconds())) }
	o.Set("state", a.NewString(v.State.String()))
	o.Set("for_ms", ms(v.For))
	waits, steps := a.NewArray(), a.NewArray()
	for i, w := range v.Waits {
		e := a.NewObject()
		e.Set("for", a.NewString(w.Need.String()))
		e.Set("since_ms", ms(w.For))
		if w.Most > 0 {
			e.Set("at_most_ms", ms(w.Most))
		}
		waits.SetArrayItem(i, e)
	}
	for i, st := range v.Steps {
		e := a.NewObject()
		e.Set("state", a.NewString(st.State.String()))
		e.Set("after_ms", ms(st.After))
		steps.SetArrayItem(i, e)
	}
	o.Set("waits", waits)
	o.Set("steps", steps)
	return o.MarshalTo(nil)
}
