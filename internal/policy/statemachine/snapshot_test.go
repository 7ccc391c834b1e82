package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"testing"
	"time"

	"silverpath/internal/policy/configstore"
)

// largeMap returns the parts of a map of the largest supported size: 930 servers in 32 parts and 21,000 tenants in 256 parts. Each
// tenant has moved once, as after a year of changes.
func largeMap() map[string]string {
	type m = map[string]any
	lists := map[string][]m{}
	for i := range 930 {
		name := fmt.Sprintf("servers-%02d", i%32)
		lists[name] = append(lists[name], m{"name": fmt.Sprintf("server-%04d", i), "addr": fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), "mgmt": fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			"cell": fmt.Sprintf("cell-%02d", i%31), "weight": 1, "from_ms": 1790000000000})
	}
	for i := range 21000 {
		name := fmt.Sprintf("tenants-%03d", i%256)
		lists[name] = append(lists[name], m{"name": fmt.Sprintf("tenant-%05d", i), "rate": 12.5, "homes": []m{
			{"cell": fmt.Sprintf("cell-%02d", i%31), "shard": 4, "from_ms": 1790000000000}, {"cell": fmt.Sprintf("cell-%02d", (i+1)%31), "shard": 4, "from_ms": 1790000100000}}})
	}
	parts := map[string]string{"top": `{"version":1,"epoch":7}`, "head": `{"window_ms":600000,"skew_ms":250,"lease_ms":3000,"patience_ms":60000}`}
	for name, list := range lists {
		key := "tenants"
		if name[0] == 's' {
			key = "servers"
		}
		text, _ := json.Marshal(m{key: list})
		parts[name] = string(text)
	}
	return parts
}

// A snapshot with a copy of the map for each process would be too large to send to a member that lags behind. For the largest supported
// map and 1,400 processes, the snapshot must contain each part once, stay within a bound, and restore to the same state.
func TestSnapshotOfALargeFleetHasEachPartOnce(t *testing.T) {
	s, parts := New(1), largeMap()
	apply := func(c configstore.Change) Result {
		t.Helper()
		r := s.Apply(Command{Config: &c})
		if r.Error != "" {
			t.Fatal(r.Error)
		}
		return r
	}
	partsSize := 0
	for name, text := range parts {
		partsSize += len(name) + configstore.EncodedSize(text)
	}
	for _, batch := range configstore.Batches(parts) {
		apply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "first", Parts: batch})
	}
	apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "first", Digest: configstore.TextsDigest(parts)})
	apply(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed})
	var registrations []configstore.Change
	for i := range 1400 {
		registrations = append(registrations, configstore.Change{Op: configstore.OpRegister, Process: &configstore.Process{Name: fmt.Sprintf("router-%04d#0a1b2c3d", i),
			Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1}}})
	}
	if r := s.Apply(Command{ConfigBatch: registrations}); r.Error != "" || len(s.Config.Processes) != 1400 {
		t.Fatal(r.Error, len(s.Config.Processes))
	}
	changed := map[string]string{"tenants-007": `{"tenants":[]}`}
	parts["tenants-007"] = changed["tenants-007"]
	apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: 1, Parts: changed, Digest: configstore.TextsDigest(parts)})
	started := time.Now()
	snapshot, err := s.Snapshot()
	encodeTime := time.Since(started)
	if err != nil {
		t.Fatal(err)
	}
	started = time.Now()
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("parts %d bytes as JSON, snapshot %d bytes, written in %v, read in %v", partsSize, len(snapshot), encodeTime, time.Since(started))
	if maxSize := partsSize + 400*1400; len(snapshot) > maxSize {
		t.Errorf("snapshot of %d bytes, want at most %d: the parts once, and 400 bytes for each process", len(snapshot), maxSize)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(snapshot, again) {
		t.Error("the snapshot of the restored state differs, or failed:", err)
	}
	document := restored.Config.Documents[configstore.DocMap]
	if _, all, ok := document.PartsAt(2); !ok || configstore.PartsDigest(all) != configstore.TextsDigest(parts) || len(document.Proposed.Parts) != 1 || document.Draft != nil {
		t.Errorf("parts of version 2 differ, or %d proposed parts, want 1, or a draft left: %v", len(document.Proposed.Parts), document.Draft != nil)
	}
}

// An upgraded member can have a snapshot from before documents had parts. Restoring it must keep the texts, the canary stage and the
// history of its documents.
func TestSnapshotFromBeforeThereWerePartsIsRead(t *testing.T) {
	legacy := `{"terms":{},"members":{},"table":{"generation":1,"duties":{}},"journals":{},"rules":{"docs":{"routing":{"name":"routing","top":3,
		"force":{"id":{"version":2,"digest":5},"format":1,"text":"{\"retries\":0.1}","since":7},
		"next":{"id":{"version":3,"digest":6},"format":1,"text":"{}","try":{"part":0.5,"for_ms":9,"worse":0.1},"parts":["r1#1"]},"stage":"trial",
		"history":[{"id":{"version":1,"digest":4},"format":1,"text":"{\"retries\":0.2}","since":3,"ended":"replaced by version 2"}]}},
		"users":{"r1#1":{"name":"r1#1","reads":{"routing":1},"holds":{"routing":3},"stopped":{}}}}}`
	s, err := Restore(append(fmt.Appendf(nil, "%08x", crc32.ChecksumIEEE([]byte(legacy))), legacy...))
	if err != nil {
		t.Fatal(err)
	}
	document := s.Config.Documents["routing"]
	if document.Active.Text != `{"retries":0.1}` || document.Active.InParts || len(document.Proposed.Canaries) != 1 || document.Proposed.Canaries[0] != "r1#1" || document.History[0].Text == "" {
		t.Errorf("%+v", document)
	}
	r := s.Apply(Command{Config: &configstore.Change{Op: configstore.OpAdvance, Doc: "routing", Version: 3, Stage: configstore.StageCanary}})
	if r.Error != "" || document.Active.ID.Version != 3 {
		t.Error(r.Error)
	}
}

// A disk or the network flips a bit of a snapshot, and a member that restored it would diverge from the others. A snapshot that is
// damaged at any byte, or truncated, must be rejected.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	snapshot, err := New(1).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range snapshot {
		damaged := bytes.Clone(snapshot)
		damaged[i] ^= 1
		if _, err := Restore(damaged); err == nil {
			t.Errorf("a snapshot with a damaged byte %d was restored", i)
		}
		if _, err := Restore(snapshot[:i]); err == nil {
			t.Errorf("a snapshot truncated at byte %d was restored", i)
		}
	}
	if _, err := Restore(snapshot); err != nil {
		t.Error(err)
	}
}
