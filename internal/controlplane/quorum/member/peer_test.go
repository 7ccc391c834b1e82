package member

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Corrupt or hostile input from another member must not crash this one: a truncated message is an error, not a panic. Messages that parse
// also parse again after they are encoded.
func FuzzParseMessages(f *testing.F) {
	var b []byte
	for i := range uint64(3) {
		b, _ = appendMessage(b, &pb.Message{Type: pb.MsgApp.Enum(), To: proto.Uint64(i), Entries: []*pb.Entry{{Data: bytes.Repeat([]byte("x"), int(40*i))}}})
	}
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	if messages, err := parseMessages(b); err != nil || len(messages) != 3 || messages[2].GetTo() != 2 {
		f.Fatal(messages, err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := parseMessages(b)
		if err != nil {
			return
		}
		var encoded []byte
		for _, m := range list {
			if encoded, err = appendMessage(encoded, m); err != nil {
				t.Fatal(err)
			}
		}
		if reparsed, err := parseMessages(encoded); err != nil || len(reparsed) != len(list) {
			t.Fatalf("%d of %d messages parsed after encoding, error %v", len(reparsed), len(list), err)
		}
	})
}
