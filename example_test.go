package silverpath_test

import (
	"fmt"
	"time"

	"silverpath"
)

// printer is a host that prints the actions. A server would start handlers and send answers here.
type printer struct{}

func (printer) Run(id string)                             { fmt.Println("run", id) }
func (printer) Reject(id string, _ time.Duration, _ bool) { fmt.Println("reject", id) }
func (printer) Fail(id string)                            { fmt.Println("fail", id) }
func (printer) Join(id string)                            { fmt.Println("join", id) }
func (printer) Stop(id string)                            { fmt.Println("stop", id) }
func (printer) Call(id string, timeout time.Duration)     { fmt.Println("call", id) }
func (printer) SkipCall(id string)                        { fmt.Println("skip", id) }
func (printer) RememberKey(id string, d time.Duration)    { fmt.Println("remember", id) }
func (printer) ForgetKey(id string)                       { fmt.Println("forget", id) }
func (printer) Health(good bool)                          { fmt.Println("health", good) }
func (printer) Signal(value float64)                      {}
func (printer) CloseIdle(after time.Duration)             {}
func (printer) Wake(after time.Duration)                  {} // starts a timer that calls Tick
func (printer) Log(text string)                           {}

// One core runs one request; the second waits in the queue until the first has ended.
func Example() {
	shedder, err := silverpath.New(0, silverpath.Settings{
		Cores: 1, MemoryKB: 64 << 10, RunFactor: 4, MaxRunsPerCore: 4, RunsWindow: 2 * time.Second,
		Classes: []silverpath.Class{{Name: "page", Objective: time.Second, Deadline: 3 * time.Second, Weight: 1}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	shedder.Arrive(0, silverpath.Request{ID: "a", Class: "page", QueuedKB: 20, ExpectedWork: 50 * time.Millisecond})
	shedder.Arrive(0, silverpath.Request{ID: "b", Class: "page", QueuedKB: 20, ExpectedWork: 50 * time.Millisecond})
	shedder.RunEnded(50*time.Millisecond, "a", silverpath.OK, 50*time.Millisecond)
	// Output:
	// health true
	// run a
	// run b
}
