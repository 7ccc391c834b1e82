package member

import (
	"encoding/json"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// This file is a member's part in the configuration documents: what processes that act on them say of themselves, and the leader's time
// over them. What is decided is in package configstore.

// handleConfigSync registers a process, takes its report of itself, and tells it what is in force. Like a renewal it is answered once
// a majority has confirmed that this member led after the call came; only what is new of a process goes into the log.
func (m *Member) handleConfigSync(call msgpackrpc.Call, reply replyFunc) {
	var s quorum.ConfigSync
	if err := json.Unmarshal(call.Body, &s); err != nil || s.Process.Name == "" {
		reply(refuse(quorum.CodeRefused, "nobody says this"))
		return
	}
	if !m.leading || !m.caughtUp {
		reply(m.notLeader())
		return
	}
	if name := unreadableDocument(m.state.Config, s.Process); name != "" {
		reply(refuse(quorum.CodeRefused, "what is in force of %s is of format %d: this build reads %d", name, m.state.Config.Documents[name].Active.Format, s.Process.Formats[name]))
		return
	}
	if !m.configWatch.Observe(s.Process.Name, m.clock(), s.ActiveVersions, s.Load, s.StopReason) {
		reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}) // its end was proposed: after it, it registers anew
		return
	}
	grant := m.grantQuota(s)
	tell := func(ok bool) { m.replyConfigSync(s, grant, ok, reply) }
	err := m.recordUser(s.Process, tell, reply)
	if err != nil {
		reply(m.notLeader())
	}
}

// recordUser has the group agree on what is new of a process, if anything is, and then calls tell.
func (m *Member) recordUser(user configstore.Process, tell func(ok bool), reply replyFunc) error {
	if !m.state.Config.HasNews(user) {
		return m.confirmLeadership(tell)
	}
	c := configstore.Change{Op: configstore.OpReport, Process: &user}
	if m.state.Config.Processes[user.Name] == nil {
		c.Op = configstore.OpRegister
	}
	return m.proposeConfig(c, func(r statemachine.Result, ok bool) {
		if ok && r.Error != "" {
			reply(refuse(quorum.CodeRefused, "%s", r.Error))
			return
		}
		tell(ok)
	})
}

// replyConfigSync tells a process what is in force, as it is once the process is registered; ok is false where nobody here can say.
func (m *Member) replyConfigSync(s quorum.ConfigSync, grant *quota.Grant, ok bool, reply replyFunc) {
	u := m.state.Config.Processes[s.Process.Name]
	switch {
	case ok && u == nil && len(m.state.Config.Processes) >= configstore.MaxProcesses:
		reply(refuse(quorum.CodeRefused, "%d processes are registered already", configstore.MaxProcesses))
		return
	case !ok, u == nil, unreadableDocument(m.state.Config, s.Process) != "":
		reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
		return
	}
	b, err := json.Marshal(quorum.ConfigSyncReply{Terms: m.state.Terms, Index: m.applied, Wall: time.Now().UnixMilli(), Docs: documentViews(m.state.Config, u, s), Grant: grant})
	if err != nil {
		reply(refuse(quorum.CodeRefused, "%v", err))
		return
	}
	reply(msgpackrpc.CallResult{Body: b})
}

// documentViews are the documents as a process gets them.
func documentViews(store *configstore.Store, u *configstore.Process, s quorum.ConfigSync) map[string]configstore.View {
	all := map[string]configstore.View{}
	for name := range u.Formats {
		if d := store.Documents[name]; d != nil {
			all[name] = d.ViewFor(u, s.HasVersions[name], s.BaseVersions[name])
		}
	}
	return all
}

// unreadableDocument names a document of which a version is in force that a process can't read; empty: there is none.
func unreadableDocument(store *configstore.Store, u configstore.Process) string {
	for _, name := range configstore.DocumentNames {
		reads, uses := u.Formats[name]
		if d := store.Documents[name]; uses && d != nil && d.Active != nil && d.Active.Format > reads {
			return name
		}
	}
	return ""
}

// handleConfigRead replies with the documents, and with what processes have reported of themselves.
func (m *Member) handleConfigRead(reply replyFunc) {
	err := m.confirmLeadership(func(ok bool) {
		if !ok {
			reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		b, err := json.Marshal(quorum.ConfigView{Store: m.state.Config.Summary(), Reports: m.configWatch.Reports(m.clock()), Terms: m.state.Terms, Wall: time.Now().UnixMilli(), GrantedQuota: m.quotaLedger.LentRatios(m.clock())})
		if err != nil {
			reply(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		reply(msgpackrpc.CallResult{Body: b})
	})
	if err != nil {
		reply(m.notLeader())
	}
}

// proposeOverdueConfig proposes what is due by the leader's time: the next stage of a change, and the end of processes that have not
// reported.
func (m *Member) proposeOverdueConfig() {
	for _, c := range m.configWatch.Proposals(m.state.Config, m.clock()) {
		if err := m.propose(statemachine.Command{Config: &c}, nil); err != nil && c.Op == configstore.OpExpire {
			m.configWatch.Unregistered(c.Author)
		}
	}
}

// configApplied follows a change of a document that was applied, and logs it where this member leads.
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
	line := m.log.Info().Str("event", "config.changed").Str("op", string(c.Op)).Str("who", who)
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
