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

// This file transfers snapshots that are too long for one call. The parts are sent in order on a separate connection, so that they do not
// delay heartbeats. After any error the library is notified that the snapshot failed, and sends it again.

const (
	// snapshotPartBytes is the length of a part. Each part is acknowledged, so a slow link has only one part in flight.
	snapshotPartBytes = 256 << 10
	// maxSnapshotBytes bounds the snapshot that a member assembles in memory: the largest document with its largest draft and proposed
	// version, and the rest of the state.
	maxSnapshotBytes = 64 << 20
	// snapshotPartTimeout is the time without a new part after which an incomplete snapshot is dropped. It is longer than the sender waits
	// for an acknowledgement, so that only the snapshot of a sender that has stopped is dropped.
	snapshotPartTimeout = 10 * time.Second
)

// SnapshotPartHook is called before part n of a snapshot is sent; only test programs set it. If it returns false, the part is not sent.
var SnapshotPartHook func(n int) bool

// incomingSnapshot is a snapshot that is arriving in parts. There is at most one, since only the leader sends snapshots.
type incomingSnapshot struct {
	from       uint64 // ID of the sender
	checksum   uint64 // of the complete message
	received   []byte
	receivedAt time.Time
}

// sendSnapshotAsync sends a snapshot in parts and passes the outcome to the event loop.
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

// sendSnapshot sends a snapshot in parts. It sends each part after the acknowledgement of the one before.
func (m *Member) sendSnapshot(ctx context.Context, p *peer, message *pb.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	if len(encoded) > maxSnapshotBytes {
		return fmt.Errorf("snapshot has %d bytes, the limit is %d", len(encoded), maxSnapshotBytes)
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
			continue // lost: the receiver rejects the next part, whose offset does not match
		}
		replies, err := conn.Call(call)
		if err != nil {
			return err
		}
		select {
		case r, ok := <-replies:
			if !ok {
				return errors.New("connection closed during the transfer")
			}
			if r.Error != "" {
				return fmt.Errorf("%s %s", r.Error, r.Fields["why"])
			}
		case <-time.After(quorum.CallTimeout):
			return errors.New("no acknowledgement of a part before the timeout")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handleSnapshotPart stores a part of a snapshot. After the last part it passes the complete message to the library. A part that does not
// continue the previous one is rejected and drops the snapshot.
func (m *Member) handleSnapshotPart(call msgpackrpc.Call, from uint64) msgpackrpc.CallResult {
	if !m.confirmed {
		return errorReply(quorum.CodeRefused, "not yet one that may say anything")
	}
	checksum, offset, length := uintField(call, "s"), uintField(call, "o"), uintField(call, "l")
	if length == 0 || length > maxSnapshotBytes || uint64(len(call.Body)) > length {
		m.stats.Inc("malformed", ListenerName)
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
		m.stats.Inc("malformed", ListenerName)
		return errorReply(quorum.CodeRefused, "no snapshot: %v", err)
	}
	m.stats.Inc("group", "snapshots_put_together")
	m.stepRaft(message, from)
	return msgpackrpc.CallResult{}
}

// dropStalledSnapshot drops an incomplete snapshot if no part has arrived for snapshotPartTimeout.
func (m *Member) dropStalledSnapshot() {
	if m.incoming != nil && time.Since(m.incoming.receivedAt) > snapshotPartTimeout {
		m.incoming = nil
	}
}
