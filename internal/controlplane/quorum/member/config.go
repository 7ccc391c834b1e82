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

// This file handles requests about configuration documents: reports of the processes that use them, and the steps that the leader proposes
// when they are due. The decisions are in package configstore.

// handleConfigSync registers a process, records its report and replies with the documents. As for a lease renewal, the reply waits until a
// majority has confirmed that this member still led after the call arrived. Only new information about the process is written to the log.
func (m *Member) handleConfigSync(call msgpackrpc.Call, reply replyFunc) {
	var request quorum.ConfigSync
	if err := json.Unmarshal(call.Body, &request); err != nil || request.Process.Name == "" {
		reply(errorReply(quorum.CodeRefused, "nobody says this"))
		return
	}
	if !m.leading || !m.caughtUp {
		reply(m.notLeader())
		return
	}
	if name := unreadableDocument(m.state.Config, request.Process); name != "" {
		reply(errorReply(quorum.CodeRefused, "what is in force of %s is of format %d: this build reads %d", name, m.state.Config.Documents[name].Active.Format, request.Process.Formats[name]))
		return
	}
	if !m.processMonitor.Observe(request.Process.Name, m.clock(), request.ActiveVersions, request.Load, request.StopReason) {
		reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}) // the leader has proposed its expiry: it registers again after that
		return
	}
	grant := m.grantQuota(request)
	respond := func(ok bool) { m.replyConfigSync(request, grant, ok, reply) }
	err := m.recordProcess(request.Process, respond, reply)
	if err != nil {
		reply(m.notLeader())
	}
}

// recordProcess proposes a process's report if it has new information, and confirms leadership otherwise. It calls respond after that, or
// reply with an error if the report was rejected.
func (m *Member) recordProcess(process configstore.Process, respond func(ok bool), reply replyFunc) error {
	if !m.state.Config.NeedsRecording(process) {
		return m.confirmLeadership(respond)
	}
	change := configstore.Change{Op: configstore.OpReport, Process: &process}
	if m.state.Config.Processes[process.Name] == nil {
		change.Op = configstore.OpRegister
	}
	return m.proposeReport(change, func(r statemachine.Result, ok bool) {
		if ok && r.Error != "" {
			reply(errorReply(quorum.CodeRefused, "%s", r.Error))
			return
		}
		respond(ok)
	})
}

// replyConfigSync replies to a process with the documents, once the process is registered. If ok is false, the outcome of the registration
// is unknown.
func (m *Member) replyConfigSync(request quorum.ConfigSync, grant *quota.Grant, ok bool, reply replyFunc) {
	process := m.state.Config.Processes[request.Process.Name]
	switch {
	case ok && process == nil && len(m.state.Config.Processes) >= configstore.MaxProcesses:
		reply(errorReply(quorum.CodeRefused, "%d processes are registered already", configstore.MaxProcesses))
		return
	case !ok, process == nil, unreadableDocument(m.state.Config, request.Process) != "":
		reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
		return
	}
	b, err := json.Marshal(quorum.ConfigSyncReply{Terms: m.state.Terms, Index: m.applied, Wall: time.Now().UnixMilli(), Docs: documentViews(m.state.Config, process, request), Grant: grant})
	if err != nil {
		reply(errorReply(quorum.CodeRefused, "%v", err))
		return
	}
	reply(msgpackrpc.CallResult{Body: b})
}

// documentViews returns each document that a process uses, reduced to what the process lacks.
func documentViews(store *configstore.Store, process *configstore.Process, request quorum.ConfigSync) map[string]configstore.View {
	views := map[string]configstore.View{}
	for name := range process.Formats {
		if d := store.Documents[name]; d != nil {
			views[name] = d.ViewFor(process, request.HasVersions[name], request.BaseVersions[name])
		}
	}
	return views
}

// unreadableDocument returns the name of a document whose active version has a format that the process does not support; empty: none.
func unreadableDocument(store *configstore.Store, process configstore.Process) string {
	for _, name := range configstore.DocumentNames {
		maxFormat, uses := process.Formats[name]
		if d := store.Documents[name]; uses && d != nil && d.Active != nil && d.Active.Format > maxFormat {
			return name
		}
	}
	return ""
}

// handleConfigRead replies with the documents and the latest reports of the processes.
func (m *Member) handleConfigRead(reply replyFunc) {
	err := m.confirmLeadership(func(ok bool) {
		if !ok {
			reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		b, err := json.Marshal(quorum.ConfigView{Store: m.state.Config.Summary(), Reports: m.processMonitor.Reports(m.clock()), Terms: m.state.Terms, Wall: time.Now().UnixMilli(), GrantedQuota: m.quotaLedger.GrantedRatios(m.clock())})
		if err != nil {
			reply(errorReply(quorum.CodeRefused, "%v", err))
			return
		}
		reply(msgpackrpc.CallResult{Body: b})
	})
	if err != nil {
		reply(m.notLeader())
	}
}

// proposeOverdueConfig proposes what is due by the leader's clock: the next stage of a change, and the expiry of processes that have
// stopped reporting.
func (m *Member) proposeOverdueConfig() {
	for _, change := range m.processMonitor.Proposals(m.state.Config, m.clock()) {
		if err := m.propose(statemachine.Command{Config: &change}, nil); err != nil && change.Op == configstore.OpExpire {
			m.processMonitor.Unregistered(change.Author)
		}
	}
}

// configApplied is called after a change of a document or a process was applied. A leader logs the change.
func (m *Member) configApplied(change configstore.Change, result statemachine.Result) {
	if change.Op == configstore.OpExpire {
		m.processMonitor.Unregistered(change.Author)
	}
	if !m.leading || change.Op == configstore.OpReport {
		return
	}
	who := change.Author
	if change.Process != nil {
		who = change.Process.Name
	}
	m.stats.Inc("rules", string(change.Op))
	line := m.log.Info().Str("event", "config.changed").Str("op", string(change.Op)).Str("who", who)
	if change.Doc != "" {
		line = line.Str("doc", change.Doc).Int("version", result.Version)
	}
	if change.Reason != "" {
		line = line.Str("why", change.Reason)
	}
	if result.Error != "" {
		line = line.Str("refused", result.Error)
	}
	line.Send()
}
