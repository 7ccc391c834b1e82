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

// peer sends messages to one other member. Messages that cannot be sent are dropped: the library repeats those that matter.
type peer struct {
	statemachine.Member
	queue chan *pb.Message
	stop  context.CancelFunc
}

const (
	peerQueueLength = 512     // messages; a longer queue costs more memory while a member is unreachable
	requestOverhead = 4 << 10 // bytes of a call in addition to its messages
	lengthBytes     = 4       // length prefix of each message in a call
	// maxInlineSnapshot is the size in bytes up to which a snapshot is sent in one call, which members of older builds accept too. A
	// longer one is sent in parts.
	maxInlineSnapshot = msgpackrpc.MaxCallBody/2 - 64<<10
)

// updatePeers starts and stops the send loops of other members after the members of the group have changed.
func (m *Member) updatePeers() {
	if m.ctx == nil {
		return // not running yet: Run calls updatePeers again
	}
	self := m.identity.Load().ID
	for id, p := range m.peers {
		if member, ok := m.state.Members[id]; !ok || member.Addr != p.Addr {
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

// send queues a message for its receiver. If the queue is full, the message is dropped and the library is notified.
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

// reportUnreachable notifies the library that messages to a member were not sent.
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

// handleSendResult handles the outcome of a call with messages. It reports the outcome of a snapshot to the library, and ends this member
// if the receiver has seen a newer state or a later start of its disk.
func (m *Member) handleSendResult(p *peer, messages []*pb.Message, ok bool, reply msgpackrpc.Reply) {
	if reply.Error == quorum.CodeSuperseded {
		m.abort(fmt.Errorf("member %s rejected this disk: %s", p.Name, reply.Fields["why"]))
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

// appendMessage appends a message with its length before it, in lengthBytes bytes.
func appendMessage(b []byte, message *pb.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, lengthBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, message)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b, err
}

// parseMessages parses a sequence of messages that appendMessage wrote. It returns an error if the sequence is truncated or malformed.
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

// peerLink is the connection to a member. Only the member's sendLoop uses it.
type peerLink struct {
	conn      *msgpackrpc.Conn // nil: not connected
	downUntil time.Time        // no dial before this time, since the last one failed
}

func (l *peerLink) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

var errPeerDown = errors.New("last dial failed, next dial is not due yet")

// open dials the member if there is no connection. After a failed dial it returns errPeerDown without dialing for the length of pause.
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

// dropUnusable closes the connection if it accepts no more calls.
func (l *peerLink) dropUnusable() {
	if l.conn == nil {
		return
	}
	if _, usable := l.conn.Capacity(); !usable {
		l.close()
	}
}

// sendLoop sends the queued messages of a member, as many per call as are queued and fit, until its context ends.
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

// collectBatch takes messages from the queue, up to the size of a call. Long snapshots are sent separately.
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

// sendLongSnapshot starts to send a message in parts if it is a snapshot that is too long for one call. It reports whether it did.
func (m *Member) sendLongSnapshot(ctx context.Context, p *peer, message *pb.Message) bool {
	if message.GetType() != pb.MsgSnap || proto.Size(message) <= maxInlineSnapshot {
		return false
	}
	m.background.Go(func() { m.sendSnapshotAsync(ctx, p, message) })
	return true
}

// sendMessages sends messages in one call over a link, which it opens if necessary. It returns the channel of the reply.
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
		return nil, errors.New("messages exceed the size of a call")
	}
	link.dropUnusable()
	if err := link.open(ctx, p.Addr, m.cfg.Tick); err != nil {
		return nil, err
	}
	return link.conn.Call(m.newPeerCall(quorum.MethodRaft, body))
}

// awaitReply waits for the reply to a call and passes the outcome to the event loop. It gives up after CallTimeout, or when its context
// ends.
func (m *Member) awaitReply(ctx context.Context, p *peer, conn *msgpackrpc.Conn, replies <-chan msgpackrpc.Reply, messages []*pb.Message) {
	var reply msgpackrpc.Reply
	ok := false
	select {
	case reply, ok = <-replies:
	case <-time.After(quorum.CallTimeout):
		// The call or its reply is lost. Unanswered calls would use up the connection's limit of concurrent calls and block all
		// sending, so the connection is closed and the next call opens a new one.
		conn.Close()
	case <-ctx.Done():
		return
	}
	m.enqueue(func() { m.handleSendResult(p, messages, ok && reply.Error == "", reply) })
}

// newPeerCall returns a call to another member. Its fields identify the sender: the group's name and ID, the member's ID, the number of
// the start and the start's nonce.
func (m *Member) newPeerCall(method string, body []byte) msgpackrpc.Call {
	self := m.identity.Load()
	return msgpackrpc.Call{Method: method, Body: body, Fields: map[string]string{
		"g": m.cfg.Group, "gi": self.Group, "id": strconv.FormatUint(self.ID, 10), "st": strconv.FormatUint(self.Starts, 10),
		"n": strconv.FormatUint(m.startNonce, 10),
	}}
}

// callPeer makes one call to an address on a new connection and returns the reply.
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
			return r, errors.New("connection closed before the reply arrived")
		}
		return r, nil
	case <-time.After(quorum.CallTimeout):
		return msgpackrpc.Reply{}, errors.New("no reply before the timeout")
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}
