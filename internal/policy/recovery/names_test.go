package recovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// A heartbeat stands on the disk in JSON, by these names and in this order, as its checksum is of that text: a build that wrote
// it otherwise would not believe the one before it.
func TestHeartbeatOnTheDisk(t *testing.T) {
	text, err := json.Marshal(Heartbeat{Name: "n1", Machine: "m1", Boot: "b1", SinceBoot: time.Hour, Validity: 400 * time.Millisecond})
	if want := `{"Name":"n1","Machine":"m1","Boot":"b1","Up":3600000000000,"Valid":400000000}`; err != nil || string(text) != want {
		t.Errorf("%s, %v, want %s", text, err, want)
	}
}

// Names stand in output that operators' tools read.
func TestNamesOfEvidenceAndTrust(t *testing.T) {
	for got, want := range map[string]string{
		fmt.Sprint(NoEvidence, SameBoot, Rebooted):        "nothing process machine",
		fmt.Sprint(Trusted, AfterConfirmation, Discarded): "trusted once confirmed never",
	} {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}
