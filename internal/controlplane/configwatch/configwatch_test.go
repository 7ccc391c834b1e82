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

// leader is a member that answers askings with what it is told to.
func leader(t *testing.T, docs *map[string]configstore.View) *quorum.Client {
	t.Helper()
	index := uint64(0)
	f := msgpackrpc.NewCallServer("words", &metrics.Counters{}, func(context.Context, msgpackrpc.Call) func() msgpackrpc.CallResult {
		index++
		b, err := json.Marshal(quorum.ConfigSyncReply{Terms: lease.Terms{TTL: time.Hour, Drift: 0.05}, Index: index, Wall: time.Now().UnixMilli(), Docs: *docs})
		return func() msgpackrpc.CallResult {
			if err != nil {
				return msgpackrpc.CallResult{Error: quorum.CodeRefused}
			}
			return msgpackrpc.CallResult{Body: b}
		}
	})
	ln, err := listener.Listen("words", "127.0.0.1:0", 8, func() time.Duration { return time.Minute }, f.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	c := &quorum.Client{Group: "test", Addrs: []string{ln.Addr().String()}}
	t.Cleanup(func() { c.Close(); ln.Close() })
	return c
}

// One that is unconfirmed, as one that was cut off while the others turned, begins nothing exclusive before it acts on what it is told
// is in force, and has had its map taken up; nor does one that can't act on it. The same holds of parts.
func TestActsBeforeItGoesOn(t *testing.T) {
	parts := map[string]configstore.Part{"a": {Version: 2, Digest: configstore.PartDigest("{}"), Text: "{}"}}
	for name, force := range map[string]*configstore.Revision{
		"a text": {ID: configstore.NewID(2, []byte("{}")), Format: 1, Text: "{}"},
		"parts":  {ID: configstore.ID{Version: 2, Digest: configstore.PartsDigest(parts)}, Format: 2, InParts: true, Parts: parts},
	} {
		docs := map[string]configstore.View{"d": {Active: force}}
		var f *Watcher
		var at []string // why nothing began, at each step
		var refuse error
		see := func() error {
			at = append(at, f.StopReasonFor("class", "tenant"))
			return refuse
		}
		f = New(Config{Name: "p", Group: leader(t, &docs), Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
			OnConfirmed: func(time.Time) { _ = see() },
			Documents: map[string]Document{"d": {Format: 2, Check: func(string) error { return nil }, Apply: func(string) error { return see() },
				CheckParts: func(map[string]string, bool) error { return nil },
				ApplyParts: func(configstore.ID, map[string]string, bool) error { return see() }}}})
		refuse = errors.New("not now")
		if !f.sync(t.Context()) || f.StopReason() != configstore.StopUnconfirmed {
			t.Errorf("%s: it goes on and does not act on it: %q", name, f.StopReason())
		}
		if name == "a text" {
			continue // it is not handed out once more
		}
		refuse, at = nil, nil
		if !f.sync(t.Context()) || f.StopReason() != "" {
			t.Errorf("%s: it does not go on: %q", name, f.StopReason())
		}
		if len(at) != 2 || at[0] != configstore.StopUnconfirmed || at[1] != configstore.StopUnconfirmed {
			t.Errorf("%s: while it took it up it was held by %q", name, at)
		}
	}
}

// One that has stopped as a change turns is held by that until it acts on the new; and nobody is told that what he goes by is the newest
// by an answer of which parts are missing here.
func TestPausedUntilItActs(t *testing.T) {
	old := map[string]configstore.Part{"a": {Version: 1, Digest: configstore.PartDigest("{}"), Text: "{}"}}
	next := map[string]configstore.Part{"a": {Version: 2, Digest: configstore.PartDigest(`{"b":1}`), Text: `{"b":1}`}}
	entry := func(version int, parts map[string]configstore.Part) *configstore.Revision {
		return &configstore.Revision{ID: configstore.ID{Version: version, Digest: configstore.PartsDigest(parts)}, Format: 2, InParts: true, Parts: parts}
	}
	known := func(version int, parts map[string]configstore.Part) *configstore.Revision { // as one is told of it that has it
		e := entry(version, parts)
		e.Parts = nil
		return e
	}
	docs := map[string]configstore.View{"d": {Active: entry(1, old)}}
	var f *Watcher
	var held []string
	told := 0
	f = New(Config{Name: "p", Group: leader(t, &docs), Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{}, OnConfirmed: func(time.Time) { told++ },
		Documents: map[string]Document{"d": {Format: 2, CheckParts: func(map[string]string, bool) error { return nil },
			ApplyParts: func(configstore.ID, map[string]string, bool) error {
				held = append(held, f.StopReasonFor("class", "tenant"))
				return nil
			}}}})
	step := func(v configstore.View, stops string) {
		t.Helper()
		docs = map[string]configstore.View{"d": v}
		if !f.sync(t.Context()) || f.StopReasonFor("class", "tenant") != stops {
			t.Fatalf("held by %q, want %q", f.StopReasonFor("class", "tenant"), stops)
		}
	}
	step(configstore.View{Active: entry(1, old)}, "")
	step(configstore.View{Active: known(1, old), Proposed: entry(2, next), Stage: configstore.StageQuiescing}, configstore.StopQuiescing)
	step(configstore.View{Active: known(2, next)}, "")
	if len(held) != 2 || held[1] != configstore.StopQuiescing || told != 3 {
		t.Errorf("as it took it up it was held by %q; told %d times", held, told)
	}
	third := map[string]configstore.Part{"a": {Version: 3, Digest: configstore.PartDigest(`{"b":3}`)}}
	docs = map[string]configstore.View{"d": {Active: entry(3, third), Since: 2}}
	if !f.sync(t.Context()) || told != 3 {
		t.Errorf("told that it goes by the newest, and it lacks a part: %d", told)
	}
}
