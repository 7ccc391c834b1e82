package core

import (
	"fmt"
	"io"
	"log"
	"testing"
	"time"

	"silverpath"
)

// echoRunner ends each run at once, with the request's body as its result.
type echoRunner struct{ core *Core }

func (r *echoRunner) Run(id, _ string, body []byte) {
	r.core.RunEnded(id, silverpath.OK, time.Millisecond, body)
}
func (r *echoRunner) Resume(string, []byte) {}
func (r *echoRunner) Probe()                {}

// BenchmarkServe measures one request from arrival to answer, with a runner that takes no time. Every idempotent request has a new
// key.
func BenchmarkServe(b *testing.B) {
	for _, class := range []silverpath.Class{
		{Name: "safe", Objective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{Name: "idempotent", Objective: time.Second, Deadline: 4 * time.Second, Weight: 1, Effect: silverpath.Idempotent,
			IdempotencyWindow: 10 * time.Second},
	} {
		b.Run(class.Name, func(b *testing.B) {
			c, err := New(Config{MemoryMB: 4000, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
				Cores: 8, MemoryKB: 1e9, MaxRunsPerCore: 8, Classes: []silverpath.Class{class}}})
			if err != nil {
				b.Fatal(err)
			}
			if err := c.Attach(&echoRunner{c}, nil); err != nil {
				b.Fatal(err)
			}
			c.RunnerReady()
			served := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now, id := time.Now(), fmt.Sprint(i)
				c.Serve(Request{Front: "test", ID: id, Class: class.Name, Key: id, MemoryKB: 1, ReceivedAt: now,
					Deadline: now.Add(3 * time.Second), Body: []byte("x")}, func(a Answer) {
					if a.Outcome == Served {
						served++
					}
				})
			}
			if served != b.N {
				b.Errorf("%d of %d requests served", served, b.N)
			}
			c.Stop()
		})
	}
}
