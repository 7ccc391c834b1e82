package member

import (
	"bytes"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bytes of a damaged or hostile member must not end this one. What is appended is read again; what is cut short anywhere is an error and
// no panic.
func FuzzParseMessages(f *testing.F) {
	var b []byte
	for i := range uint64(3) {
		b, _ = appendMessage(b, &pb.Message{Type: pb.MsgApp.Enum(), To: proto.Uint64(i), Entries: []*pb.Entry{{Data: bytes.Repeat([]byte("x"), int(40*i))}}})
	}
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	if list, err := parseMessages(b); err != nil || len(list) != 3 || list[2].GetTo() != 2 {
		f.Fatal(list, err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := parseMessages(b)
		if err != nil {
			return
		}
		var again []byte
		for _, m := range list {
			if again, err = appendMessage(again, m); err != nil {
				t.Fatal(err)
			}
		}
		if more, err := parseMessages(again); err != nil || len(more) != len(list) {
			t.Fatalf("%d of %d, %v", len(more), len(list), err)
		}
	})
}
