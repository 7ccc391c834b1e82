package recovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// A heartbeat is stored as JSON with these names in this order, and its checksum covers the text. A build that writes another text rejects
// the heartbeat of the previous build.
func TestHeartbeatOnTheDisk(t *testing.T) {
	text, err := json.Marshal(Heartbeat{Name: "n1", Machine: "m1", Boot: "b1", SinceBoot: time.Hour, Validity: 400 * time.Millisecond})
	if want := `{"Name":"n1","Machine":"m1","Boot":"b1","Up":3600000000000,"Valid":400000000}`; err != nil || string(text) != want {
		t.Errorf("heartbeat as JSON: got %s, error %v; want %s", text, err, want)
	}
}

// Operators' tools read these names.
func TestNamesOfEvidenceAndTrust(t *testing.T) {
	for got, want := range map[string]string{
		fmt.Sprint(NoEvidence, SameBoot, Rebooted):        "nothing process machine",
		fmt.Sprint(Trusted, AfterConfirmation, Discarded): "trusted once confirmed never",
	} {
		if got != want {
			t.Errorf("names: got %s, want %s", got, want)
		}
	}
}
