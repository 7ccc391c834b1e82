package configwatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"testing"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// startLeader starts a group member that answers each poll with the given documents, and returns a client of it.
func startLeader(t *testing.T, docs *map[string]configstore.View) *quorum.Client {
	t.Helper()
	index := uint64(0)
	callServer := msgpackrpc.NewCallServer("words", &metrics.Counters{}, func(context.Context, msgpackrpc.Call) func() msgpackrpc.CallResult {
		index++
		b, err := json.Marshal(quorum.ConfigSyncReply{Terms: lease.Terms{TTL: time.Hour, Drift: 0.05}, Index: index, Wall: time.Now().UnixMilli(), Docs: *docs})
		return func() msgpackrpc.CallResult {
			if err != nil {
				return msgpackrpc.CallResult{Error: quorum.CodeRefused}
			}
			return msgpackrpc.CallResult{Body: b}
		}
	})
	ln, err := listener.Listen("words", "127.0.0.1:0", 8, func() time.Duration { return time.Minute }, callServer.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	c := &quorum.Client{Group: "test", Addrs: []string{ln.Addr().String()}}
	t.Cleanup(func() { c.Close(); ln.Close() })
	return c
}

// A process was cut off while the others changed to a new version. If it became confirmed before it acts on the active
// version, it could begin exclusive work under the old one. It must stay unconfirmed until the active version is applied and
// OnConfirmed has been called, and also if it can't apply the version. This holds for documents as text and in parts.
func TestActsBeforeItGoesOn(t *testing.T) {
	parts := map[string]configstore.Part{"a": {Version: 2, Digest: configstore.PartDigest("{}"), Text: "{}"}}
	for name, active := range map[string]*configstore.Revision{
		"a text": {ID: configstore.NewID(2, []byte("{}")), Format: 1, Text: "{}"},
		"parts":  {ID: configstore.ID{Version: 2, Digest: configstore.PartsDigest(parts)}, Format: 2, InParts: true, Parts: parts},
	} {
		docs := map[string]configstore.View{"d": {Active: active}}
		var f *Watcher
		var reasons []string // the stop reason at each callback
		var applyErr error
		recordReason := func() error {
			reasons = append(reasons, f.StopReasonFor("class", "tenant"))
			return applyErr
		}
		f = New(Config{Name: "p", Group: startLeader(t, &docs), Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
			OnConfirmed: func(time.Time) { _ = recordReason() },
			Documents: map[string]Document{"d": {Format: 2, Check: func(string) error { return nil }, Apply: func(string) error { return recordReason() },
				CheckParts: func(map[string]string, bool) error { return nil },
				ApplyParts: func(configstore.ID, map[string]string, bool) error { return recordReason() }}}})
		applyErr = errors.New("not now")
		if !f.sync(t.Context()) || f.StopReason() != configstore.StopUnconfirmed {
			t.Errorf("%s: confirmed although the active version was not applied: %q", name, f.StopReason())
		}
		if name == "a text" {
			continue // a document in one text is not applied again after it failed
		}
		applyErr, reasons = nil, nil
		if !f.sync(t.Context()) || f.StopReason() != "" {
			t.Errorf("%s: not confirmed after the active version was applied: %q", name, f.StopReason())
		}
		if len(reasons) != 2 || reasons[0] != configstore.StopUnconfirmed || reasons[1] != configstore.StopUnconfirmed {
			t.Errorf("%s: stop reasons while the version was applied: %q", name, reasons)
		}
	}
}

// A process that has paused for a quiescing change must stay paused until it has applied the new version, else it could begin
// work under the old one. An answer that names a version with missing parts must not call OnConfirmed, because the process
// still acts on an older version.
func TestPausedUntilItActs(t *testing.T) {
	old := map[string]configstore.Part{"a": {Version: 1, Digest: configstore.PartDigest("{}"), Text: "{}"}}
	next := map[string]configstore.Part{"a": {Version: 2, Digest: configstore.PartDigest(`{"b":1}`), Text: `{"b":1}`}}
	revision := func(version int, parts map[string]configstore.Part) *configstore.Revision {
		return &configstore.Revision{ID: configstore.ID{Version: version, Digest: configstore.PartsDigest(parts)}, Format: 2, InParts: true, Parts: parts}
	}
	manifest := func(version int, parts map[string]configstore.Part) *configstore.Revision { // as the group describes it to a process that has the parts
		r := revision(version, parts)
		r.Parts = nil
		return r
	}
	docs := map[string]configstore.View{"d": {Active: revision(1, old)}}
	var f *Watcher
	var reasons []string
	confirmations := 0
	f = New(Config{Name: "p", Group: startLeader(t, &docs), Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{}, OnConfirmed: func(time.Time) { confirmations++ },
		Documents: map[string]Document{"d": {Format: 2, CheckParts: func(map[string]string, bool) error { return nil },
			ApplyParts: func(configstore.ID, map[string]string, bool) error {
				reasons = append(reasons, f.StopReasonFor("class", "tenant"))
				return nil
			}}}})
	syncWith := func(v configstore.View, wantReason string) {
		t.Helper()
		docs = map[string]configstore.View{"d": v}
		if !f.sync(t.Context()) || f.StopReasonFor("class", "tenant") != wantReason {
			t.Fatalf("stop reason %q, want %q", f.StopReasonFor("class", "tenant"), wantReason)
		}
	}
	syncWith(configstore.View{Active: revision(1, old)}, "")
	syncWith(configstore.View{Active: manifest(1, old), Proposed: revision(2, next), Stage: configstore.StageQuiescing}, configstore.StopQuiescing)
	syncWith(configstore.View{Active: manifest(2, next)}, "")
	if len(reasons) != 2 || reasons[1] != configstore.StopQuiescing || confirmations != 3 {
		t.Errorf("stop reasons while the version was applied: %q; confirmed %d times", reasons, confirmations)
	}
	third := map[string]configstore.Part{"a": {Version: 3, Digest: configstore.PartDigest(`{"b":3}`)}}
	docs = map[string]configstore.View{"d": {Active: revision(3, third), Since: 2}}
	if !f.sync(t.Context()) || confirmations != 3 {
		t.Errorf("confirmed although a part of the active version is missing: %d times", confirmations)
	}
}
