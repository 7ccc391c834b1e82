package member

import (
	"encoding/json"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/msgpackrpc"
)

// handleConfigParts replies with parts of a version, or with its manifest. The process checks the digests against those in a reply that a
// majority confirmed, so this reply needs no confirmation.
func (m *Member) handleConfigParts(call msgpackrpc.Call, reply replyFunc) {
	var request configstore.PartsRequest
	if err := json.Unmarshal(call.Body, &request); err != nil || len(request.Names) > configstore.MaxParts {
		reply(errorReply(quorum.CodeRefused, "at most %d parts are asked for at a time", configstore.MaxParts))
		return
	}
	if !m.leading {
		reply(m.notLeader())
		return
	}
	document := m.state.Config.Documents[request.Doc]
	if document == nil {
		reply(errorReply(quorum.CodeRefused, "no document %q", request.Doc))
		return
	}
	id, parts, ok := document.PartsAt(request.Version)
	if !ok {
		reply(errorReply(quorum.CodeRefused, "version %d of %s is not in force or under way in parts", request.Version, request.Doc))
		return
	}
	response := quorum.DocumentParts{ID: id, Parts: configstore.SelectParts(parts, request.Names)}
	if len(request.Names) > 0 {
		m.stats.Inc("rules", "parts_sent")
	} else {
		m.stats.Inc("rules", "manifests_sent")
	}
	// The parts are immutable, so another goroutine can encode them: many such requests do not delay the event loop.
	go func() {
		b, err := json.Marshal(response)
		if err != nil {
			reply(errorReply(quorum.CodeRefused, "%v", err))
			return
		}
		reply(msgpackrpc.CallResult{Body: b})
	}()
}
