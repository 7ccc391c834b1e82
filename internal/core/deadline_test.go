package core

import (
	"io"
	"log"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/metrics"
)

// stalledRunner is a runner that never ends a run and never lets the module tick.
type stalledRunner struct{ busyRunner }

func (r *stalledRunner) Probe() {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	r.core.tickPending = false
}

// Guards against requests that stay unanswered past their deadline while the module is delayed, for example because no CPU core is
// free. The core answers each of them shortly before its deadline, exactly once.
func TestAnsweredByTheDeadlineWhileTheModuleIsHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := &metrics.Counters{}
		c, err := New(Config{Name: "n1", MemoryMB: 64, Stats: counters, Log: log.New(io.Discard, "", 0),
			Settings: silverpath.Settings{Cores: 2, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{
				{Name: "lestvica", Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1}}}})
		if err != nil {
			t.Fatal(err)
		}
		r := &stalledRunner{busyRunner{core: c}}
		if err := c.Attach(r, nil); err != nil {
			t.Fatal(err)
		}
		c.RunnerReady()
		answers := make(chan Answer, 2)
		serveAsync(c, "a", "lestvica", func(a Answer) { answers <- a })
		time.Sleep(4*time.Second - answerMargin - time.Millisecond)
		synctest.Wait()
		if len(answers) > 0 {
			t.Errorf("answered before the deadline: %+v", <-answers)
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		select {
		case a := <-answers:
			if a.Outcome != Expired || counters.Get("backstop") != 1 || c.PendingAnswers() != 0 {
				t.Errorf("answer %+v, backstop counter %d, %d pending answers", a, counters.Get("backstop"), c.PendingAnswers())
			}
		default:
			t.Error("no answer at the deadline")
		}
		c.RunEnded("a", silverpath.Failed, 0, nil)
		time.Sleep(time.Minute)
		if len(answers) > 0 {
			t.Errorf("answered twice: %+v", <-answers)
		}
		c.Stop()
	})
}
