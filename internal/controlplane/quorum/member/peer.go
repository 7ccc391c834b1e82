package member

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// peer carries words to one other member. What can't be sent is dropped: the library sends it again where it matters.
type peer struct {
	statemachine.Member
	queue chan *pb.Message
	stop  context.CancelFunc
}

const (
	peerQueueLength = 512     // messages to a member
	requestOverhead = 4 << 10 // of a word, beside its messages
	// maxInlineSnapshot bounds a snapshot that goes in one word, which members of older builds take as well; a longer one goes in chunks.
	maxInlineSnapshot = msgpackrpc.MaxCallBody/2 - 64<<10
)

// appendMessage puts messages one after the other, each behind its length.
func appendMessage(b []byte, m *pb.Message) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b, err
}

func parseMessages(b []byte) ([]*pb.Message, error) {
	var list []*pb.Message
	for len(b) > 0 {
		if len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
			return nil, errors.New("messages cut short")
		}
		n := int(binary.BigEndian.Uint32(b))
		m := &pb.Message{}
		if err := proto.Unmarshal(b[4:4+n], m); err != nil {
			return nil, err
		}
		list, b = append(list, m), b[4+n:]
	}
	return list, nil
}

// sendLoop sends what is queued to a member, as many messages a word as there are.
func (m *Member) sendLoop(ctx context.Context, p *peer) {
	var conn *msgpackrpc.Conn
	var downUntil time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var first *pb.Message
		select {
		case <-ctx.Done():
			return
		case first = <-p.queue:
		}
		list := []*pb.Message{first}
		size := proto.Size(first)
		if first.GetType() == pb.MsgSnap && size > maxInlineSnapshot {
			m.background.Go(func() { m.sendSnapshotAsync(ctx, p, first) })
			continue
		}
		for more := true; more && size < msgpackrpc.MaxCallBody/2; {
			select {
			case x := <-p.queue:
				if x.GetType() == pb.MsgSnap && proto.Size(x) > maxInlineSnapshot {
					m.background.Go(func() { m.sendSnapshotAsync(ctx, p, x) })
					continue
				}
				list, size = append(list, x), size+proto.Size(x)
			default:
				more = false
			}
		}
		var body []byte
		var err error
		for _, x := range list {
			if body, err = appendMessage(body, x); err != nil {
				break
			}
		}
		if err == nil && len(body) > msgpackrpc.MaxCallBody-requestOverhead {
			err = errors.New("too long for a word")
			m.log.Error().Str("event", "group.word_too_long").Str("member", p.Name).Int("bytes", len(body)).Send()
		}
		if conn != nil {
			if _, usable := conn.Capacity(); !usable {
				conn.Close()
				conn = nil
			}
		}
		if err == nil && conn == nil {
			if time.Now().Before(downUntil) {
				err = errors.New("down")
			} else {
				dial, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
				conn, err = msgpackrpc.DialCalls(dial, p.Addr)
				cancel()
				if err != nil {
					downUntil = time.Now().Add(m.cfg.Tick)
				}
			}
		}
		var reply <-chan msgpackrpc.Reply
		if err == nil {
			reply, err = conn.Call(m.peerRequest("group.raft", body))
		}
		if err != nil {
			if !errors.Is(err, msgpackrpc.ErrFull) && conn != nil {
				conn.Close()
				conn = nil
			}
			m.stats.Inc("group", "unsent")
			m.enqueue(func() { m.unreachable(p.ID, list) })
			continue
		}
		m.stats.Add(uint64(len(list)), "group", "messages")
		used := conn
		go func() {
			var a msgpackrpc.Reply
			ok := false
			select {
			case a, ok = <-reply:
			case <-time.After(quorum.CallTimeout):
				// Something on the way is lost: what is open on it would fill it up, and nothing would go out any more.
				used.Close()
			case <-ctx.Done():
				return
			}
			m.enqueue(func() { m.messagesSent(p, list, ok && a.Error == "", a) })
		}()
	}
}

// peerRequest is a word with who says it.
func (m *Member) peerRequest(method string, body []byte) msgpackrpc.Call {
	who := m.identity.Load()
	return msgpackrpc.Call{Method: method, Body: body, Fields: map[string]string{
		"g": m.cfg.Group, "gi": who.Group, "id": strconv.FormatUint(who.ID, 10), "st": strconv.FormatUint(who.Starts, 10),
		"n": strconv.FormatUint(m.salt, 10),
	}}
}

// callPeer says one word to an address on a connection of its own.
func callPeer(ctx context.Context, addr string, w msgpackrpc.Call) (msgpackrpc.Reply, error) {
	dial, cancel := context.WithTimeout(ctx, quorum.DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dial, addr)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	defer conn.Close()
	reply, err := conn.Call(w)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	select {
	case a, ok := <-reply:
		if !ok {
			return a, errors.New("the connection ended without an answer")
		}
		return a, nil
	case <-time.After(quorum.CallTimeout):
		return msgpackrpc.Reply{}, errors.New("no answer")
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}
