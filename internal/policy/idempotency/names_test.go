package idempotency

import (
	"fmt"
	"testing"
)

// Operators' tools, counters and responses use the names of states, actions, health and reasons, and the store file has the numbers of
// states. A renamed constant must change none of them.
func TestNamesOfStatesAndReasons(t *testing.T) {
	for got, want := range map[string]string{
		fmt.Sprint(Unknown, Intended, Running, Completed, Failed, Moved, Expired):                              "unknown promised running done failed moved expired",
		fmt.Sprintf("%d %d %d %d %d", Intended, Running, Completed, Failed, Moved):                             "1 2 3 4 5",
		fmt.Sprint(Execute, Join, Replay, Fail, Reject):                                                        "begin join answer fail refuse",
		fmt.Sprint(Loading, Open, Failing, Closed):                                                             "loading open failing closed",
		fmt.Sprint(ReasonLoading, " ", ReasonIncomplete, " ", ReasonFull, " ", ReasonFailing, " ", ReasonSlow): "store_loading store_blind store_full store_failing store_slow",
	} {
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
