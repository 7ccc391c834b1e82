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

// This file carries a snapshot that is longer than a word. Its chunks come in their order on a connection of their own, so that
// heartbeats go on beside them; whatever goes wrong, the library is told that it failed, and sends it again.

const (
	snapshotPartBytes = 256 << 10
	// maxSnapshotBytes bounds what a member puts together: a document, its draft and what is under way of it, at their largest, and the rest.
	maxSnapshotBytes = 64 << 20
	// snapshotPartTimeout is how long the next chunk may take to come, before what there is of a snapshot is dropped.
	snapshotPartTimeout = 10 * time.Second
)

// SnapshotPartHook is asked before each chunk of a snapshot goes out, in test programs only: one that it says no to is lost.
var SnapshotPartHook func(n int) bool

// incomingSnapshot is a snapshot that comes in chunks. There is one at a time: only who leads sends any.
type incomingSnapshot struct {
	from, id   uint64
	received   []byte
	receivedAt time.Time
}

// sendSnapshotAsync sends a message in chunks.
func (m *Member) sendSnapshotAsync(ctx context.Context, p *peer, x *pb.Message) {
	err := m.sendSnapshot(ctx, p, x)
	m.enqueue(func() {
		if err != nil {
			m.stats.Inc("group", "snapshots_unsent")
			m.log.Warn().Str("event", "group.snapshot_unsent").Str("member", p.Name).Err(err).Send()
			m.unreachable(p.ID, []*pb.Message{x})
			return
		}
		m.stats.Inc("group", "snapshots_sent")
		m.messagesSent(p, []*pb.Message{x}, true, msgpackrpc.Reply{})
	})
}

func (m *Member) sendSnapshot(ctx context.Context, p *peer, x *pb.Message) error {
	b, err := proto.Marshal(x)
	if err != nil {
		return err
	}
	if len(b) > maxSnapshotBytes {
		return fmt.Errorf("%d bytes, of at most %d", len(b), maxSnapshotBytes)
	}
	dial, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dial, p.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	sum := xxhash.Sum64(b)
	for at, n := 0, 0; at < len(b); at, n = at+snapshotPartBytes, n+1 {
		w := m.peerRequest("group.chunk", b[at:min(at+snapshotPartBytes, len(b))])
		for key, v := range map[string]uint64{"s": sum, "o": uint64(at), "l": uint64(len(b))} {
			w.Fields[key] = strconv.FormatUint(v, 10)
		}
		if SnapshotPartHook != nil && !SnapshotPartHook(n) {
			continue // lost: the next one doesn't follow
		}
		reply, err := conn.Call(w)
		if err != nil {
			return err
		}
		select {
		case a, ok := <-reply:
			if !ok {
				return errors.New("the connection ended within it")
			}
			if a.Error != "" {
				return fmt.Errorf("%s %s", a.Error, a.Fields["why"])
			}
		case <-time.After(quorum.CallTimeout):
			return errors.New("no answer")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// handleSnapshotPart takes a piece of a snapshot, and the whole once the last has come.
func (m *Member) handleSnapshotPart(w msgpackrpc.Call, from uint64) msgpackrpc.CallResult {
	if !m.confirmed {
		return refuse(quorum.CodeRefused, "not yet one that may say anything")
	}
	number := func(key string) uint64 { n, _ := strconv.ParseUint(w.Fields[key], 10, 64); return n }
	id, at, long := number("s"), number("o"), number("l")
	if long == 0 || long > maxSnapshotBytes || uint64(len(w.Body)) > long {
		m.stats.Inc("malformed", Name)
		return refuse(quorum.CodeRefused, "a snapshot of %d bytes, of at most %d", long, maxSnapshotBytes)
	}
	if at == 0 {
		m.incoming = &incomingSnapshot{from: from, id: id, receivedAt: time.Now()}
	}
	c := m.incoming
	if c == nil || c.from != from || c.id != id || uint64(len(c.received)) != at || at+uint64(len(w.Body)) > long {
		m.incoming = nil
		return refuse(quorum.CodeRefused, "a chunk at %d that doesn't follow", at)
	}
	c.received, c.receivedAt = append(c.received, w.Body...), time.Now()
	if uint64(len(c.received)) < long {
		return msgpackrpc.CallResult{}
	}
	m.incoming = nil
	x := &pb.Message{}
	if xxhash.Sum64(c.received) != id {
		return refuse(quorum.CodeRefused, "a snapshot whose checksum is wrong")
	}
	if err := proto.Unmarshal(c.received, x); err != nil || x.GetType() != pb.MsgSnap {
		m.stats.Inc("malformed", Name)
		return refuse(quorum.CodeRefused, "no snapshot: %v", err)
	}
	m.stats.Inc("group", "snapshots_put_together")
	m.stepRaft(x, from)
	return msgpackrpc.CallResult{}
}

// dropStalledSnapshot gives up a snapshot whose next chunk does not come.
func (m *Member) dropStalledSnapshot() {
	if m.incoming != nil && time.Since(m.incoming.receivedAt) > snapshotPartTimeout {
		m.incoming = nil
	}
}
