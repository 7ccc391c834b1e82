package member

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// peer is the way to one other member. What can't be sent is dropped: the library sends it again where it matters.
type peer struct {
	statemachine.Member
	queue chan *pb.Message
	stop  context.CancelFunc
}

const (
	peerQueueLength = 512     // messages that wait for a member. Found by trial; raising it keeps more memory for one that is not there
	requestOverhead = 4 << 10 // bytes of a call beside its messages
	lengthBytes     = 4       // before each message of a call
	// maxInlineSnapshot bounds a snapshot that goes in one call, which members of older builds take as well; a longer one goes in parts.
	maxInlineSnapshot = msgpackrpc.MaxCallBody/2 - 64<<10
)

// updatePeers opens and ends the ways to other members, as the members have changed.
func (m *Member) updatePeers() {
	if m.ctx == nil {
		return // not running yet: Run calls it
	}
	self := m.identity.Load().ID
	for id, p := range m.peers {
		if q, ok := m.state.Members[id]; !ok || q.Addr != p.Addr {
			p.stop()
			delete(m.peers, id)
		}
	}
	for id, member := range m.state.Members {
		if id == self || m.peers[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		p := &peer{Member: member, queue: make(chan *pb.Message, peerQueueLength), stop: cancel}
		m.peers[id] = p
		m.background.Go(func() { m.sendLoop(ctx, p) })
	}
}

// send queues a message to the member that it is for.
func (m *Member) send(message *pb.Message) {
	p := m.peers[message.GetTo()]
	if p == nil {
		return
	}
	select {
	case p.queue <- message:
	default:
		m.stats.Inc("group", "dropped")
		m.reportUnreachable(message.GetTo(), []*pb.Message{message})
	}
}

// unreachable tells the library that messages to a member were not sent.
func (m *Member) reportUnreachable(id uint64, messages []*pb.Message) {
	if m.node == nil {
		return
	}
	m.node.ReportUnreachable(id)
	for _, message := range messages {
		if message.GetType() == pb.MsgSnap {
			m.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// handleSendResult is called with what became of a call with messages: whether the member took them, and its reply.
func (m *Member) handleSendResult(p *peer, messages []*pb.Message, ok bool, reply msgpackrpc.Reply) {
	if reply.Error == quorum.CodeSuperseded {
		m.abort(fmt.Errorf("member %s says: %s", p.Name, reply.Fields["why"]))
		return
	}
	for _, message := range messages {
		if message.GetType() == pb.MsgSnap && m.node != nil {
			status := raft.SnapshotFinish
			if !ok {
				status = raft.SnapshotFailure
			}
			m.node.ReportSnapshot(p.ID, status)
		}
	}
}

// appendMessage appends a message behind its length, in 4 bytes.
func appendMessage(b []byte, message *pb.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, lengthBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, message)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b, err
}

// parseMessages reads what appendMessage wrote, one message after the other.
func parseMessages(b []byte) ([]*pb.Message, error) {
	var messages []*pb.Message
	for len(b) > 0 {
		if len(b) < lengthBytes || uint64(len(b)-lengthBytes) < uint64(binary.BigEndian.Uint32(b)) {
			return nil, errors.New("messages cut short")
		}
		n := int(binary.BigEndian.Uint32(b))
		message := &pb.Message{}
		if err := proto.Unmarshal(b[lengthBytes:lengthBytes+n], message); err != nil {
			return nil, err
		}
		messages, b = append(messages, message), b[lengthBytes+n:]
	}
	return messages, nil
}

// peerLink is the connection to a member; it is its sendLoop's.
type peerLink struct {
	conn      *msgpackrpc.Conn // nil: none
	downUntil time.Time        // the member could not be reached: it is not dialled before
}

func (l *peerLink) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

var errPeerDown = errors.New("down")

// open opens the connection where there is none that can be used.
func (l *peerLink) open(ctx context.Context, addr string, pause time.Duration) error {
	if l.conn != nil {
		return nil
	}
	if time.Now().Before(l.downUntil) {
		return errPeerDown
	}
	dialCtx, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dialCtx, addr)
	if err != nil {
		l.downUntil = time.Now().Add(pause)
		return err
	}
	l.conn = conn
	return nil
}

// dropUnusable closes a connection that takes no more calls.
func (l *peerLink) dropUnusable() {
	if l.conn == nil {
		return
	}
	if _, usable := l.conn.Capacity(); !usable {
		l.close()
	}
}

// sendLoop sends what is queued to a member, as many messages a call as there are, until its context ends.
func (m *Member) sendLoop(ctx context.Context, p *peer) {
	var link peerLink
	defer link.close()
	for {
		var message *pb.Message
		select {
		case <-ctx.Done():
			return
		case message = <-p.queue:
		}
		messages := m.collectBatch(ctx, p, message)
		if len(messages) == 0 {
			continue
		}
		replies, err := m.sendMessages(ctx, p, &link, messages)
		if err != nil {
			if !errors.Is(err, msgpackrpc.ErrFull) {
				link.close()
			}
			m.stats.Inc("group", "unsent")
			m.enqueue(func() { m.reportUnreachable(p.ID, messages) })
			continue
		}
		m.stats.Add(uint64(len(messages)), "group", "messages")
		conn := link.conn
		go m.awaitReply(ctx, p, conn, replies, messages)
	}
}

// collect takes what is queued, up to what fits into a call. Long snapshots go their own way beside it.
func (m *Member) collectBatch(ctx context.Context, p *peer, first *pb.Message) []*pb.Message {
	if m.sendLongSnapshot(ctx, p, first) {
		return nil
	}
	messages, size := []*pb.Message{first}, proto.Size(first)
	for size < msgpackrpc.MaxCallBody/2 {
		select {
		case message := <-p.queue:
			if !m.sendLongSnapshot(ctx, p, message) {
				messages, size = append(messages, message), size+proto.Size(message)
			}
		default:
			return messages
		}
	}
	return messages
}

// sendLongSnapshot has a message go in parts if it is a snapshot that does not go in one call.
func (m *Member) sendLongSnapshot(ctx context.Context, p *peer, message *pb.Message) bool {
	if message.GetType() != pb.MsgSnap || proto.Size(message) <= maxInlineSnapshot {
		return false
	}
	m.background.Go(func() { m.sendSnapshotAsync(ctx, p, message) })
	return true
}

// sendMessages makes a call with messages over a link.
func (m *Member) sendMessages(ctx context.Context, p *peer, link *peerLink, messages []*pb.Message) (<-chan msgpackrpc.Reply, error) {
	var body []byte
	var err error
	for _, message := range messages {
		if body, err = appendMessage(body, message); err != nil {
			return nil, err
		}
	}
	if len(body) > msgpackrpc.MaxCallBody-requestOverhead {
		m.log.Error().Str("event", "group.call_too_long").Str("member", p.Name).Int("bytes", len(body)).Send()
		return nil, errors.New("too long for a word")
	}
	link.dropUnusable()
	if err := link.open(ctx, p.Addr, m.cfg.Tick); err != nil {
		return nil, err
	}
	return link.conn.Call(m.newPeerCall(quorum.MethodRaft, body))
}

// awaitReply waits for the reply to a call and tells the loop. It ends with the reply, CallTimeout or its context.
func (m *Member) awaitReply(ctx context.Context, p *peer, conn *msgpackrpc.Conn, replies <-chan msgpackrpc.Reply, messages []*pb.Message) {
	var reply msgpackrpc.Reply
	ok := false
	select {
	case reply, ok = <-replies:
	case <-time.After(quorum.CallTimeout):
		// Something on the way is lost. Calls that are never answered would fill the connection's places, and nothing would go out any
		// more: the next call has a new connection.
		conn.Close()
	case <-ctx.Done():
		return
	}
	m.enqueue(func() { m.handleSendResult(p, messages, ok && reply.Error == "", reply) })
}

// newPeerCall is a call to another member, with who makes it: the group, the disk, its start and the number of that.
func (m *Member) newPeerCall(method string, body []byte) msgpackrpc.Call {
	self := m.identity.Load()
	return msgpackrpc.Call{Method: method, Body: body, Fields: map[string]string{
		"g": m.cfg.Group, "gi": self.Group, "id": strconv.FormatUint(self.ID, 10), "st": strconv.FormatUint(self.Starts, 10),
		"n": strconv.FormatUint(m.startNonce, 10),
	}}
}

// callPeer makes one call to an address on a connection of its own.
func callPeer(ctx context.Context, addr string, call msgpackrpc.Call) (msgpackrpc.Reply, error) {
	dialCtx, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dialCtx, addr)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	defer conn.Close()
	replies, err := conn.Call(call)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	select {
	case r, ok := <-replies:
		if !ok {
			return r, errors.New("the connection ended without an answer")
		}
		return r, nil
	case <-time.After(quorum.CallTimeout):
		return msgpackrpc.Reply{}, errors.New("no answer")
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}
