package idempotency

import (
	"fmt"
	"testing"
)

// Names of states, phases and reasons stand in output that operators' tools read, in counters and in answers: they are held as they
// were, and the numbers of states are what stands on the disk.
func TestNamesOfStatesAndReasons(t *testing.T) {
	for got, want := range map[string]string{
		fmt.Sprint(Unknown, Intended, Running, Completed, Failed, Moved, Expired):                              "unknown promised running done failed moved expired",
		fmt.Sprintf("%d %d %d %d %d", Intended, Running, Completed, Failed, Moved):                             "1 2 3 4 5",
		fmt.Sprint(Execute, Join, Replay, Fail, Reject):                                                        "begin join answer fail refuse",
		fmt.Sprint(Loading, Open, Failing, Closed):                                                             "loading open failing closed",
		fmt.Sprint(ReasonLoading, " ", ReasonIncomplete, " ", ReasonFull, " ", ReasonFailing, " ", ReasonSlow): "store_loading store_blind store_full store_failing store_slow",
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
