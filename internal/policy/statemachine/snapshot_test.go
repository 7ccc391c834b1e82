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

// largeMap is a map of the size that the group is built for, in parts: 930 servers in 32, 21,000 tenants in 256. A tenant has moved
// once, as it is after a year of changes.
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

// A snapshot that grew with the processes that follow the map would not get through to a member that is behind. One of the largest
// fleet, with 1,400 processes, has each part once, is within what members send each other,
// and comes out as it went in.
func TestSnapshotOfALargeFleetHasEachPartOnce(t *testing.T) {
	s, parts := New(1), largeMap()
	do := func(c configstore.Change) Result {
		t.Helper()
		r := s.Apply(Command{Config: &c})
		if r.Error != "" {
			t.Fatal(r.Error)
		}
		return r
	}
	size := 0
	for name, text := range parts {
		size += len(name) + configstore.EncodedSize(text)
	}
	for _, one := range configstore.Batches(parts) {
		do(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "first", Parts: one})
	}
	do(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "first", Digest: configstore.TextsDigest(parts)})
	do(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed})
	var words []configstore.Change
	for i := range 1400 {
		words = append(words, configstore.Change{Op: configstore.OpRegister, Process: &configstore.Process{Name: fmt.Sprintf("router-%04d#0a1b2c3d", i),
			Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1}}})
	}
	if r := s.Apply(Command{ConfigBatch: words}); r.Error != "" || len(s.Config.Processes) != 1400 {
		t.Fatal(r.Error, len(s.Config.Processes))
	}
	changed := map[string]string{"tenants-007": `{"tenants":[]}`}
	parts["tenants-007"] = changed["tenants-007"]
	do(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: 1, Parts: changed, Digest: configstore.TextsDigest(parts)})
	began := time.Now()
	b, err := s.Snapshot()
	wrote := time.Since(began)
	if err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	out, err := Restore(b)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("parts %d bytes as JSON, snapshot %d bytes, written in %v, read in %v", size, len(b), wrote, time.Since(began))
	if most := size + 400*1400; len(b) > most {
		t.Errorf("%d bytes, over the parts once and 400 for each process: %d", len(b), most)
	}
	again, err := out.Snapshot()
	if err != nil || !bytes.Equal(b, again) {
		t.Error("it comes out as another one", err)
	}
	d := out.Config.Documents[configstore.DocMap]
	if _, all, ok := d.PartsAt(2); !ok || configstore.PartsDigest(all) != configstore.TextsDigest(parts) || len(d.Proposed.Parts) != 1 || d.Draft != nil {
		t.Errorf("%d parts under way, draft %v", len(d.Proposed.Parts), d.Draft != nil)
	}
}

// A member whose program is replaced has a snapshot from before there were documents in parts. It is read: its texts, its trial and its history are what they were.
func TestSnapshotFromBeforeThereWerePartsIsRead(t *testing.T) {
	old := `{"terms":{},"members":{},"table":{"generation":1,"duties":{}},"journals":{},"rules":{"docs":{"routing":{"name":"routing","top":3,
		"force":{"id":{"version":2,"digest":5},"format":1,"text":"{\"retries\":0.1}","since":7},
		"next":{"id":{"version":3,"digest":6},"format":1,"text":"{}","try":{"part":0.5,"for_ms":9,"worse":0.1},"parts":["r1#1"]},"stage":"trial",
		"history":[{"id":{"version":1,"digest":4},"format":1,"text":"{\"retries\":0.2}","since":3,"ended":"replaced by version 2"}]}},
		"users":{"r1#1":{"name":"r1#1","reads":{"routing":1},"holds":{"routing":3},"stopped":{}}}}}`
	s, err := Restore(append(fmt.Appendf(nil, "%08x", crc32.ChecksumIEEE([]byte(old))), old...))
	if err != nil {
		t.Fatal(err)
	}
	d := s.Config.Documents["routing"]
	if d.Active.Text != `{"retries":0.1}` || d.Active.InParts || len(d.Proposed.Canaries) != 1 || d.Proposed.Canaries[0] != "r1#1" || d.History[0].Text == "" {
		t.Errorf("%+v", d)
	}
	r := s.Apply(Command{Config: &configstore.Change{Op: configstore.OpAdvance, Doc: "routing", Version: 3, Stage: configstore.StageCanary}})
	if r.Error != "" || d.Active.ID.Version != 3 {
		t.Error(r.Error)
	}
}

// A bit of a snapshot is lost on a disk or on the way: a member that took it would answer otherwise than the others. One that is damaged
// anywhere, or cut short, is refused.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	b, err := New(1).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		damaged := bytes.Clone(b)
		damaged[i] ^= 1
		if _, err := Restore(damaged); err == nil {
			t.Errorf("a damaged byte %d is not noticed", i)
		}
		if _, err := Restore(b[:i]); err == nil {
			t.Errorf("cut at byte %d it is read", i)
		}
	}
	if _, err := Restore(b); err != nil {
		t.Error(err)
	}
}
