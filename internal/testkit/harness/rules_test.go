package harness

import (
	"fmt"
	"testing"
	"time"
)

// Times of log lines are parsed correctly at any time of day, such as those with the digits 08 and 09.
func TestActsAtAnyTime(t *testing.T) {
	for at := time.Duration(0); at < 24*time.Hour; at += 59*time.Second + 7*time.Millisecond {
		day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(at)
		log := fmt.Sprintf("%s config: active: map 1.00000000000000aa\n%[1]s config: exclusive work goes on: was unconfirmed for 1s", day.Format("15:04:05.000000"))
		list := ParseActivePeriods("p", log, "map", at+time.Second)
		if len(list) != 1 || list[0].From != at || list[0].To != at+time.Second {
			t.Fatalf("log at %v: periods %+v, want one that lasts 1 s", at, list)
		}
	}
}
