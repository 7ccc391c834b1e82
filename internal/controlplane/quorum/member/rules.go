package member

import (
	"encoding/json"
	"slices"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// This file is a member's part in the rules: words of the processes that act on documents, and the leader's time over them.

// handleConfigSync registers a process, takes what it says of itself, and tells it what is in force. Like a renewal it is answered once a
// majority has said that this member led after the word came; only news goes into the log.
func (m *Member) handleConfigSync(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	var s quorum.ConfigSync
	if err := json.Unmarshal(w.Body, &s); err != nil || s.User.Name == "" {
		answer(refuse(quorum.CodeRefused, "nobody says this"))
		return
	}
	if !m.leading || !m.caughtUp {
		answer(m.notLeader())
		return
	}
	if name := unreadableDocument(m.state.Config, s.User); name != "" {
		answer(refuse(quorum.CodeRefused, "what is in force of %s is of format %d: this build reads %d", name, m.state.Config.Documents[name].Active.Format, s.User.Formats[name]))
		return
	}
	if !m.configWatch.Observe(s.User.Name, m.clock(), s.ActiveVersions, s.Load, s.StopReason) {
		answer(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}) // its end is on its way: then it registers anew
		return
	}
	grant := m.grantQuota(s)
	tell := func(ok bool) {
		u := m.state.Config.Processes[s.User.Name]
		switch {
		case ok && u == nil && len(m.state.Config.Processes) >= configstore.MaxProcesses:
			answer(refuse(quorum.CodeRefused, "%d processes are registered already", configstore.MaxProcesses))
			return
		case !ok, u == nil, unreadableDocument(m.state.Config, s.User) != "":
			answer(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		b, err := json.Marshal(quorum.ConfigSyncReply{Terms: m.state.Terms, Index: m.applied, Wall: time.Now().UnixMilli(), Docs: documentViews(m.state.Config, u, s), Grant: grant})
		if err != nil {
			answer(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		answer(msgpackrpc.CallResult{Body: b})
	}
	var err error
	if m.state.Config.HasNews(s.User) {
		c := configstore.Change{Op: configstore.OpReport, Process: &s.User}
		if m.state.Config.Processes[s.User.Name] == nil {
			c.Op = configstore.OpRegister
		}
		err = m.proposeConfig(c, func(r statemachine.Result, ok bool) {
			if ok && r.Error != "" {
				answer(refuse(quorum.CodeRefused, "%s", r.Error))
				return
			}
			tell(ok)
		})
	} else {
		err = m.confirmLeadership(tell)
	}
	if err != nil {
		answer(m.notLeader())
	}
}

// grantQuota is what a router is given of the cells that it shares with others. It counts as given from here on, whether or not the answer
// ever comes there.
func (m *Member) grantQuota(s quorum.ConfigSync) *quota.Grant {
	d := m.state.Config.Documents[configstore.DocMap]
	if s.Quota == nil || d == nil || d.Active == nil {
		return nil
	}
	if !m.updateLedger(d.Active) {
		return nil
	}
	g, ok := m.quotaLedger.Lend(m.clock(), s.User.Name, *s.Quota)
	if !ok {
		m.stats.Inc("rules", "no_share")
		return nil
	}
	return &g
}

// documentViews are the documents as a process is told of them.
func documentViews(b *configstore.Store, u *configstore.Process, s quorum.ConfigSync) map[string]configstore.View {
	all := map[string]configstore.View{}
	for name := range u.Formats {
		if d := b.Documents[name]; d != nil {
			all[name] = d.ViewFor(u, s.HasVersions[name], s.BaseVersions[name])
		}
	}
	return all
}

// handleConfigRead answers with the documents, and what was heard of those that use them.
func (m *Member) handleConfigRead(answer func(msgpackrpc.CallResult)) {
	err := m.confirmLeadership(func(ok bool) {
		if !ok {
			answer(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		b, err := json.Marshal(quorum.ConfigView{Book: m.state.Config.Summary(), Heard: m.configWatch.Reports(m.clock()), Terms: m.state.Terms, Wall: time.Now().UnixMilli(), GrantedQuota: m.quotaLedger.LentRatios(m.clock())})
		if err != nil {
			answer(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		answer(msgpackrpc.CallResult{Body: b})
	})
	if err != nil {
		answer(m.notLeader())
	}
}

// checkChange names why a change of the rules can't be asked for from outside, and completes it.
func (m *Member) checkChange(c *configstore.Change) string {
	switch c.Op {
	case configstore.OpPropose, configstore.OpLoadDraft, configstore.OpWithdraw, configstore.OpRevert, configstore.OpHold, configstore.OpRelease:
	default:
		return "only the group's leader may"
	}
	if !slices.Contains(configstore.DocumentNames, c.Doc) {
		return "no such document: " + c.Doc
	}
	if c.Author == configstore.MonitorAuthor {
		return "only the group's leader may"
	}
	if c.Doc == configstore.DocMap && (c.Op == configstore.OpRevert || c.Rollout != nil) {
		return "a map is neither watched nor taken back, as its versions follow each other in time: move the tenant again, or abort"
	}
	if (len(c.Parts) > 0 || c.Draft != "") && c.Doc != configstore.DocMap {
		return "only a map is in parts"
	}
	if c.Op != configstore.OpPropose {
		return ""
	}
	var force *configstore.Revision
	version := 0
	if d := m.state.Config.Documents[c.Doc]; d != nil && d.Active != nil {
		force, version = d.Active, d.Active.ID.Version
	}
	if c.Version != version {
		return configstore.ErrStaleBase.Error() // what it differs in would be seen against another one
	}
	if force != nil && force.InParts && c.Text != "" {
		return c.Doc + " is in parts: a whole text can't be put on it, silverpath rules put splits it"
	}
	list, err := m.differences(c, force)
	if err != nil {
		return err.Error()
	}
	if at := configstore.FirstDependent(list); c.Rollout != nil && c.Rollout.CanaryRatio > 0 && force != nil && at != "" {
		return "a part of the fleet can't act on it first: it differs in " + at
	}
	c.Exclusive, c.Scope = force != nil && configstore.HasExclusive(list), nil
	if c.Exclusive {
		c.Scope = configstore.ScopeOf(c.Doc, list)
	}
	return ""
}

// proposeOverdueConfig proposes what the leader's time has come for.
func (m *Member) proposeOverdueConfig() {
	for _, c := range m.configWatch.Proposals(m.state.Config, m.clock()) {
		if err := m.propose(statemachine.Command{Config: &c}, nil); err != nil && c.Op == configstore.OpExpire {
			m.configWatch.Unregistered(c.Author)
		}
	}
}

// configApplied follows what was applied.
func (m *Member) configApplied(c configstore.Change, r statemachine.Result) {
	if c.Op == configstore.OpExpire {
		m.configWatch.Unregistered(c.Author)
	}
	if !m.leading || c.Op == configstore.OpReport {
		return
	}
	who := c.Author
	if c.Process != nil {
		who = c.Process.Name
	}
	m.stats.Inc("rules", string(c.Op))
	line := m.log.Info().Str("event", "rules.changed").Str("op", string(c.Op)).Str("who", who)
	if c.Doc != "" {
		line = line.Str("doc", c.Doc).Int("version", r.Version)
	}
	if c.Reason != "" {
		line = line.Str("why", c.Reason)
	}
	if r.Error != "" {
		line = line.Str("refused", r.Error)
	}
	line.Send()
}
