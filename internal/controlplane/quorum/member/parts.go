package member

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
	"silverpath/internal/transport/msgpackrpc"
)

// This file is a member's part in documents in parts. docs/design/parts.md.

// handleConfigParts answers with parts of a version, or with its manifest. Who asks looks at their digests, by what he was told in an answer that
// a majority confirmed, so that this one needs no confirming.
func (m *Member) handleConfigParts(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	var ask configstore.PartsRequest
	if err := json.Unmarshal(w.Body, &ask); err != nil || len(ask.Names) > configstore.MaxParts {
		answer(refuse(quorum.CodeRefused, "at most %d parts are asked for at a time", configstore.MaxParts))
		return
	}
	if !m.leading {
		answer(m.notLeader())
		return
	}
	d := m.state.Config.Documents[ask.Doc]
	if d == nil {
		answer(refuse(quorum.CodeRefused, "no document %q", ask.Doc))
		return
	}
	id, all, ok := d.PartsAt(ask.Version)
	if !ok {
		answer(refuse(quorum.CodeRefused, "version %d of %s is not in force or under way in parts", ask.Version, ask.Doc))
		return
	}
	send := quorum.DocumentParts{ID: id, Parts: configstore.SelectParts(all, ask.Names)}
	if len(ask.Names) > 0 {
		m.stats.Inc("rules", "parts_sent")
	} else {
		m.stats.Inc("rules", "manifests_sent")
	}
	// What is sent is never changed: it is written beside the loop, so that many who ask don't hold up the rest.
	go func() {
		b, err := json.Marshal(send)
		if err != nil {
			answer(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		answer(msgpackrpc.CallResult{Body: b})
	}()
}

// unreadableDocument names a document of which a version is in force that a process can't read.
func unreadableDocument(b *configstore.Store, u configstore.Process) string {
	for _, name := range configstore.DocumentNames {
		reads, uses := u.Formats[name]
		if d := b.Documents[name]; uses && d != nil && d.Active != nil && d.Active.Format > reads {
			return name
		}
	}
	return ""
}

// differences are the fields in which a change differs from what is in force: of one in parts those of the parts that it changes.
func (m *Member) differences(c *configstore.Change, force *configstore.Revision) ([]configstore.Difference, error) {
	if len(c.Parts) == 0 && c.Draft == "" {
		old := ""
		if force != nil {
			old = force.Text
		}
		return configstore.Diff(c.Doc, old, c.Text)
	}
	d := m.state.Config.Documents[c.Doc]
	if d == nil {
		d = &configstore.Document{Name: c.Doc}
	}
	changed, err := d.DraftedParts(*c)
	if err != nil {
		return nil, err
	}
	if force == nil { // it differs from nothing, and excludes nothing
		for name, text := range changed {
			if !json.Valid([]byte(text)) {
				return nil, fmt.Errorf("part %s: %s: not JSON", name, c.Doc)
			}
		}
		return nil, nil
	}
	var old map[string]configstore.Part
	switch {
	case force.InParts:
		old = force.Parts
	default: // the first one in parts: against the text split in the same way
		of, err := settings.ParseCells([]byte(force.Text))
		if err != nil {
			return nil, err
		}
		old = map[string]configstore.Part{}
		for name, text := range settings.SplitCells(of) {
			old[name] = configstore.Part{Digest: configstore.PartDigest(text), Text: text}
		}
	}
	return configstore.DiffParts(c.Doc, old, changed)
}

// grantableMap is the map in force, of which only what changed is read.
type grantableMap struct {
	id        configstore.ID
	cellMap   *cells.Map
	refreshAt time.Time // when what there is to lend changes by the time in the map; zero: the ledger was not told
}

// update reads what has changed in the map that is in force. It reports whether there is one.
func (j *grantableMap) update(e *configstore.Revision) bool {
	if j.cellMap != nil && j.id == e.ID {
		return true
	}
	var of *cells.Map
	var err error
	if e.InParts {
		old, changed := j.cellMap, map[string]string{}
		for name, p := range e.Parts {
			if old == nil || p.Version > j.id.Version {
				changed[name] = p.Text
			}
		}
		if len(changed) == len(e.Parts) {
			old = nil
		}
		of, err = settings.JoinCells(old, changed)
	} else {
		of, err = settings.ParseCells([]byte(e.Text))
	}
	if err != nil {
		return false
	}
	*j = grantableMap{id: e.ID, cellMap: of}
	return true
}

// updateLedger tells the ledger what there is to lend, at a new map and as servers come and go and tenants move by the time in it.
func (m *Member) updateLedger(e *configstore.Revision) bool {
	if !m.grantable.update(e) {
		return false
	}
	if now := time.Now(); !now.Before(m.grantable.refreshAt) {
		m.quotaLedger.SetCapacity(quota.CapacityOf(m.grantable.cellMap, now))
		m.grantable.refreshAt = now.Add(ledgerRefresh)
		if next, ok := m.grantable.cellMap.NextChange(now); ok && next.Before(m.grantable.refreshAt) {
			m.grantable.refreshAt = next
		}
		m.stats.Inc("rules", "lent_anew")
	}
	return true
}

// ledgerRefresh is how long the ledger goes by what it was told at most: the wall clock may be set.
const ledgerRefresh = time.Minute

// Words of processes that come together are put into the log together.
const maxBatch = 256

// proposeConfig puts what a process says of itself into the log. Where a document is in parts, and so no member is of a build that can't read
// it, what comes while the disk is busy is one entry.
func (m *Member) proposeConfig(c configstore.Change, done func(r statemachine.Result, ok bool)) error {
	if !slices.ContainsFunc(configstore.DocumentNames, func(name string) bool {
		d := m.state.Config.Documents[name]
		return d != nil && d.Active != nil && d.Active.InParts
	}) {
		return m.propose(statemachine.Command{Config: &c}, done)
	}
	if len(m.configBatch) >= maxPending {
		return errTooManyPending
	}
	c.At = time.Now().UnixMilli()
	m.configBatch, m.configBatchDone = append(m.configBatch, c), append(m.configBatchDone, done)
	return nil
}

// flushBatches asks together what came together: one confirming of the lead for all that wait for it, and one entry for what was said.
func (m *Member) flushBatches() {
	for len(m.configBatch) > 0 {
		n := min(len(m.configBatch), maxBatch)
		words, done := slices.Clone(m.configBatch[:n]), slices.Clone(m.configBatchDone[:n])
		m.configBatch, m.configBatchDone = m.configBatch[n:], m.configBatchDone[n:]
		all := func(r statemachine.Result, ok bool) {
			for _, one := range done {
				one(r, ok)
			}
		}
		if err := m.propose(statemachine.Command{ConfigBatch: words}, all); err != nil {
			all(statemachine.Result{}, false)
			continue
		}
		m.stats.Add(uint64(n), "rules", "together")
	}
	if len(m.readWaiters) == 0 {
		return
	}
	asking := m.readWaiters
	m.readWaiters = nil
	m.readIndex(func(ok bool) {
		m.pendingReads -= len(asking)
		for _, done := range asking {
			done(ok)
		}
	})
}
