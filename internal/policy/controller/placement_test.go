package controller

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
)

// A holder is suspended between the intent and the publication of a version, until routers can no longer switch to it in time. The
// version must be withdrawn, so that it can't be published late, and the next plan gets the next version.
func TestPlanThatComesTooLateIsWithdrawn(t *testing.T) {
	placement := Placement{Codec: Codec{
		Format: func(m *cells.Map) []byte { b, _ := json.Marshal(m); return b },
		Parse:  func(b []byte) (m *cells.Map, err error) { return m, json.Unmarshal(b, &m) },
	}}
	m := &cells.Map{Version: 4, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s", Addr: "x", Cell: "a", Weight: 1}, {Name: "u", Addr: "y", Cell: "b", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	raw := placement.Codec.Format(m)
	j := &Journal{Duty: PlacementDuty, Document: string(raw)}
	submit(t, j, "m", KindMove, []byte(`{"tenant":"t","to":"b"}`))
	table := lease.NewTable(0)
	table.Duties[PlacementDuty] = &lease.Duty{Name: PlacementDuty, Epoch: 3, Holder: "o"}
	published, now, trace := PublishedMap{Map: m, Raw: raw, HighestVersion: 4}, time.UnixMilli(1e12), ""
	for !j.Items[0].State.Finished() {
		action := placement.Next(j, published, 3, now)
		switch action.Kind {
		case WriteJournal:
			action.Write.Duty, action.Write.Process, action.Write.Epoch, action.Write.Step = PlacementDuty, "o", 3, j.Step+1
			if err := j.Apply(action.Write, table); err != nil {
				t.Fatal(err)
			}
			if trace == "" {
				now = now.Add(time.Hour) // the holder is suspended after its intent
			}
			if action.Write.State == Queued {
				published.VersionEntry = nil
			}
			trace += string(action.Write.State) + " "
		case Withdraw:
			published.VersionEntry, published.HighestVersion = []byte("withdrawn"), action.Version
			trace += fmt.Sprint("withdraw ", action.Version, " ")
		case Publish:
			published.VersionEntry, published.HighestVersion = action.Raw, action.Version
			trace += fmt.Sprint("publish ", action.Version, " ")
		}
	}
	if want := "intent withdraw 5 queued intent publish 6 done "; trace != want {
		t.Errorf("actions %q, want %q", trace, want)
	}
}
