package member

import (
	"encoding/json"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/msgpackrpc"
)

// handleConfigParts answers with parts of a version, or with its manifest. Who asks looks at their digests, by what he was told in an answer that
// a majority confirmed, so that this one needs no confirming.
func (m *Member) handleConfigParts(call msgpackrpc.Call, reply replyFunc) {
	var ask configstore.PartsRequest
	if err := json.Unmarshal(call.Body, &ask); err != nil || len(ask.Names) > configstore.MaxParts {
		reply(refuse(quorum.CodeRefused, "at most %d parts are asked for at a time", configstore.MaxParts))
		return
	}
	if !m.leading {
		reply(m.notLeader())
		return
	}
	d := m.state.Config.Documents[ask.Doc]
	if d == nil {
		reply(refuse(quorum.CodeRefused, "no document %q", ask.Doc))
		return
	}
	id, all, ok := d.PartsAt(ask.Version)
	if !ok {
		reply(refuse(quorum.CodeRefused, "version %d of %s is not in force or under way in parts", ask.Version, ask.Doc))
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
			reply(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		reply(msgpackrpc.CallResult{Body: b})
	}()
}
