package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
)

// A holder is stopped between the intent and the publishing of a version, until routers can't follow it in time any more. Its
// place is withdrawn, and the next plan takes the place after it.
func TestPlanThatComesTooLateIsWithdrawn(t *testing.T) {
	k := Placement{Codec: Codec{
		Format: func(m *cells.Map) []byte { b, _ := json.Marshal(m); return b },
		Parse:  func(b []byte) (m *cells.Map, err error) { return m, json.Unmarshal(b, &m) },
	}}
	m := &cells.Map{Version: 4, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s", Addr: "x", Cell: "a", Weight: 1}, {Name: "u", Addr: "y", Cell: "b", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	raw := k.Codec.Format(m)
	j := &Journal{Duty: PlacementDuty, Document: string(raw)}
	submit(t, j, "m", KindMove, []byte(`{"tenant":"t","to":"b"}`))
	tab := lease.NewTable(0)
	tab.Duties[PlacementDuty] = &lease.Duty{Name: PlacementDuty, Epoch: 3, Holder: "o"}
	h, now, did := PublishedMap{Map: m, Raw: raw, HighestVersion: 4}, time.UnixMilli(1e12), ""
	for !j.Items[0].State.Finished() {
		a := k.Next(j, h, 3, now)
		switch a.Kind {
		case WriteJournal:
			a.Write.Duty, a.Write.Process, a.Write.Epoch, a.Write.Step = PlacementDuty, "o", 3, j.Step+1
			if err := j.Apply(a.Write, tab); err != nil {
				t.Fatal(err)
			}
			if did == "" {
				now = now.Add(time.Hour) // it was stopped after its intent
			}
			if a.Write.State == Queued {
				h.Occupant = nil
			}
			did += string(a.Write.State) + " "
		case Withdraw:
			h.Occupant, h.HighestVersion = []byte("withdrawn"), a.Version
			did += fmt.Sprint("withdraw ", a.Version, " ")
		case Publish:
			h.Occupant, h.HighestVersion = a.Raw, a.Version
			did += fmt.Sprint("publish ", a.Version, " ")
		}
	}
	if want := "intent withdraw 5 queued intent publish 6 done "; did != want {
		t.Errorf("%q, want %q", did, want)
	}
}
