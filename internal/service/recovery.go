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

// lookEvery is how often it is looked at what the return of service waits for.
const lookEvery = 20 * time.Millisecond

// openLife has the service leave signs of life, where an edge file says so. Sheets begin only while they last; and where no
// store keeps what ran, those that are not known fail until what an earlier process may have run can't come again.
func (s *Service) openLife() (err error) {
	set := s.cfg.Edge.Life
	if set == nil {
		return nil
	}
	if s.pair != nil {
		return errors.New("life: not beside another process of the service (LB_SOCKET_FD)")
	}
	if s.life, err = heartbeat.Open(set.File, s.cfg.Name, set.Valid, s.log, s.stats); err != nil {
		return fmt.Errorf("life.file: %w", err)
	}
	dark, _ := s.life.Dark()
	s.stats.Set(uint64(dark.Milliseconds()), "life", "dark_ms")
	s.core.SetUnknownRunsUntil(time.Now().Add(-dark).UnixMilli())
	may := s.life.May
	if wrap := s.parts.Signs; wrap != nil {
		may = wrap(may)
	}
	s.core.AddGate(func(time.Duration) idempotency.Verdict {
		switch {
		case s.store == nil && s.blind() > 0:
			return idempotency.Verdict{Do: idempotency.Fail, Why: idempotency.WhyBlind}
		case !may():
			return idempotency.Verdict{Do: idempotency.Refuse, Why: "no_sign_of_life", Wait: set.Valid / 2}
		}
		return idempotency.Verdict{}
	})
	s.keep = append(s.keep, s.life.Keep)
	return nil
}

// blind is for how long from now on a sheet may still come that an earlier process may have run, where nothing else knows.
func (s *Service) blind() time.Duration {
	dark, _ := s.life.Dark()
	return s.core.LongestWindow() - dark
}

// returning is a process's path to full service, as it is told and seen.
type returning struct {
	mu    sync.Mutex
	path  *recovery.Path
	began time.Time
	said  recovery.State
}

// recover follows what the return of service waits for, where the process keeps anything on a disk or acts on a group's rules.
func (s *Service) recover() {
	if s.store == nil && s.life == nil && s.follow == nil {
		return
	}
	asks := map[recovery.Need]func() bool{
		recovery.Worker: func() bool { return s.core.Phase() != lifecycle.Starting },
	}
	if s.store != nil {
		asks[recovery.Disk] = func() bool { v := s.store.View(); return v.Phase != idempotency.Loading }
		asks[recovery.Window] = func() bool { return s.store.View().Known }
	} else if s.life != nil {
		asks[recovery.Window] = func() bool { return s.blind() <= 0 }
	}
	if s.life != nil {
		asks[recovery.Signs] = s.life.May
	}
	if s.follow != nil {
		asks[recovery.Rules] = func() bool { return s.follow.StopReason() == "" }
	}
	r := s.returns(recovery.Server, asks)
	if s.life != nil && s.store == nil {
		r.path.Takes(0, recovery.Window, max(0, s.blind()))
	}
}

// recoverRouter follows what a router's full service waits for.
func (s *Service) recoverRouter() {
	s.returns(recovery.Router, map[recovery.Need]func() bool{
		recovery.Map: func() bool { mapped, _, _ := s.fleet.Readiness(); return mapped },
		recovery.Rules: func() bool {
			_, sure, _ := s.fleet.Readiness()
			return sure && (s.follow == nil || s.follow.StopReason() == "")
		},
		recovery.Shares: func() bool { _, _, shared := s.fleet.Readiness(); return shared },
	})
}

// returns looks after a path from now on, by what tells of each need that the process has a use for.
func (s *Service) returns(role recovery.Role, asks map[recovery.Need]func() bool) *returning {
	var uses []recovery.Need
	for n := range asks {
		uses = append(uses, n)
	}
	r := &returning{began: time.Now()}
	r.path = recovery.NewPath(0, role, uses...)
	s.core.AddStatus("recovery", r.status)
	s.keep = append(s.keep, func(ctx context.Context) {
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			s.look(r, asks)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	return r
}

// look tells the path which needs are met, and says where that gets it.
func (s *Service) look(r *returning, asks map[recovery.Need]func() bool) {
	met := map[recovery.Need]bool{}
	for n, ask := range asks {
		met[n] = ask()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.began)
	r.path.Tell(now, met)
	v := r.path.View(now)
	s.stats.Set(uint64(v.State), "recovery", "state")
	s.stats.Set(uint64(len(v.Waits)), "recovery", "waits")
	if v.State == r.said {
		return
	}
	r.said = v.State
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
func (r *returning) status() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.path.View(time.Since(r.began))
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
