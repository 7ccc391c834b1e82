package member

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/transport/msgpackrpc"
)

// This file sends a snapshot that is longer than a call. Its parts go in their order on a connection of their own, so that heartbeats go on
// beside them. Whatever goes wrong, the library is told that the snapshot failed, and sends it again.

const (
	// snapshotPartBytes are in one part: each is acknowledged, so that a slow link has few bytes under way.
	snapshotPartBytes = 256 << 10
	// maxSnapshotBytes bounds what a member puts together in memory: a document, its draft and what is under way of it, at their
	// largest, and the rest of the state.
	maxSnapshotBytes = 64 << 20
	// snapshotPartTimeout is how long the next part may take to arrive before what there is of a snapshot is dropped: longer than the
	// sender waits for an acknowledgement, so that only a sender that is gone is given up.
	snapshotPartTimeout = 10 * time.Second
)

// SnapshotPartHook is called before each part of a snapshot goes out, in test programs only: one that it returns false for is lost.
var SnapshotPartHook func(n int) bool

// incomingSnapshot is a snapshot that arrives in parts. There is one at a time: only the leader sends any.
type incomingSnapshot struct {
	from       uint64 // member
	checksum   uint64 // of the complete message
	received   []byte
	receivedAt time.Time
}

// sendSnapshotAsync sends a snapshot in parts and tells the loop what became of it.
func (m *Member) sendSnapshotAsync(ctx context.Context, p *peer, message *pb.Message) {
	err := m.sendSnapshot(ctx, p, message)
	m.enqueue(func() {
		if err != nil {
			m.stats.Inc("group", "snapshots_unsent")
			m.log.Warn().Str("event", "group.snapshot_unsent").Str("member", p.Name).Err(err).Send()
			m.reportUnreachable(p.ID, []*pb.Message{message})
			return
		}
		m.stats.Inc("group", "snapshots_sent")
		m.handleSendResult(p, []*pb.Message{message}, true, msgpackrpc.Reply{})
	})
}

// sendSnapshot sends a snapshot in parts, each once the one before is acknowledged.
func (m *Member) sendSnapshot(ctx context.Context, p *peer, message *pb.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	if len(encoded) > maxSnapshotBytes {
		return fmt.Errorf("%d bytes, of at most %d", len(encoded), maxSnapshotBytes)
	}
	dialCtx, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dialCtx, p.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	checksum := xxhash.Sum64(encoded)
	for offset, part := 0, 0; offset < len(encoded); offset, part = offset+snapshotPartBytes, part+1 {
		call := m.newPeerCall(quorum.MethodSnapshotPart, encoded[offset:min(offset+snapshotPartBytes, len(encoded))])
		for key, v := range map[string]uint64{"s": checksum, "o": uint64(offset), "l": uint64(len(encoded))} {
			call.Fields[key] = strconv.FormatUint(v, 10)
		}
		if SnapshotPartHook != nil && !SnapshotPartHook(part) {
			continue // lost: the next part does not follow
		}
		replies, err := conn.Call(call)
		if err != nil {
			return err
		}
		select {
		case r, ok := <-replies:
			if !ok {
				return errors.New("the connection ended within it")
			}
			if r.Error != "" {
				return fmt.Errorf("%s %s", r.Error, r.Fields["why"])
			}
		case <-time.After(quorum.CallTimeout):
			return errors.New("no answer")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handleSnapshotPart takes a part of a snapshot, and hands the message to the library once the last part is here. A part that does not
// follow the one before drops the snapshot.
func (m *Member) handleSnapshotPart(call msgpackrpc.Call, from uint64) msgpackrpc.CallResult {
	if !m.confirmed {
		return errorReply(quorum.CodeRefused, "not yet one that may say anything")
	}
	checksum, offset, length := uintField(call, "s"), uintField(call, "o"), uintField(call, "l")
	if length == 0 || length > maxSnapshotBytes || uint64(len(call.Body)) > length {
		m.stats.Inc("malformed", Name)
		return errorReply(quorum.CodeRefused, "a snapshot of %d bytes, of at most %d", length, maxSnapshotBytes)
	}
	if offset == 0 {
		m.incoming = &incomingSnapshot{from: from, checksum: checksum, receivedAt: time.Now()}
	}
	incoming := m.incoming
	if incoming == nil || incoming.from != from || incoming.checksum != checksum || uint64(len(incoming.received)) != offset || offset+uint64(len(call.Body)) > length {
		m.incoming = nil
		return errorReply(quorum.CodeRefused, "a chunk at %d that doesn't follow", offset)
	}
	incoming.received, incoming.receivedAt = append(incoming.received, call.Body...), time.Now()
	if uint64(len(incoming.received)) < length {
		return msgpackrpc.CallResult{}
	}
	m.incoming = nil
	message := &pb.Message{}
	if xxhash.Sum64(incoming.received) != checksum {
		return errorReply(quorum.CodeRefused, "a snapshot whose checksum is wrong")
	}
	if err := proto.Unmarshal(incoming.received, message); err != nil || message.GetType() != pb.MsgSnap {
		m.stats.Inc("malformed", Name)
		return errorReply(quorum.CodeRefused, "no snapshot: %v", err)
	}
	m.stats.Inc("group", "snapshots_put_together")
	m.stepRaft(message, from)
	return msgpackrpc.CallResult{}
}

// dropStalledSnapshot gives up a snapshot whose next part does not arrive.
func (m *Member) dropStalledSnapshot() {
	if m.incoming != nil && time.Since(m.incoming.receivedAt) > snapshotPartTimeout {
		m.incoming = nil
	}
}
