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

// heldUp is a runner that never ends a run, and with which the module never ticks.
type heldUp struct{ busyRunner }

func (r *heldUp) Probe() {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	r.core.tickPending = false
}

// A machine without a core to spare held the module up, and callers stopped waiting before their answer came. While the module
// doesn't tick, the core answers each request by its deadline, once.
func TestAnsweredByTheDeadlineWhileTheModuleIsHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := &metrics.Counters{}
		c, err := New(Config{Name: "n1", MemoryMB: 64, Stats: counters, Log: log.New(io.Discard, "", 0),
			Settings: silverpath.Settings{Cores: 2, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{
				{Name: "lestvica", Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1}}}})
		if err != nil {
			t.Fatal(err)
		}
		r := &heldUp{busyRunner{core: c}}
		if err := c.Attach(r, nil); err != nil {
			t.Fatal(err)
		}
		c.RunnerReady()
		answers := make(chan Answer, 2)
		ask(c, "a", "lestvica", func(a Answer) { answers <- a })
		time.Sleep(4*time.Second - answerMargin - time.Millisecond)
		synctest.Wait()
		if len(answers) > 0 {
			t.Errorf("answered before: %+v", <-answers)
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		select {
		case a := <-answers:
			if a.Outcome != Expired || counters.Get("backstop") != 1 || c.PendingAnswers() != 0 {
				t.Errorf("%+v, %d by the backstop, %d owed", a, counters.Get("backstop"), c.PendingAnswers())
			}
		default:
			t.Error("no answer by the due time")
		}
		c.RunEnded("a", silverpath.Failed, 0, nil)
		time.Sleep(time.Minute)
		if len(answers) > 0 {
			t.Errorf("answered twice: %+v", <-answers)
		}
		c.Stop()
	})
}
