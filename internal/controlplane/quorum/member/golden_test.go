package member

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// Members of a group are upgraded one at a time, so a member's disk may have been written by an earlier build, and its peers may still run
// one. These tests use disks and messages that an earlier build wrote.

// A build that cannot read an earlier build's disk, or reads it differently, would lose the state of the group in an upgrade. The member
// must keep its identity, become leader again, as the only member, and reply as the earlier build would have: with the duties and
// journals, the documents with the change in progress, and the document versions that a process is to apply. Each disk has a snapshot and later entries. One has
// unsplit documents, the other a map in parts.
func TestDiskOfAnEarlierBuild(t *testing.T) {
	for _, kind := range []string{"whole", "parts"} {
		t.Run(kind, func(t *testing.T) {
			dir := t.TempDir()
			database, err := os.ReadFile("testdata/" + kind + ".db")
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, "group.db"), database, 0o600); err != nil {
				t.Fatal(err)
			}
			addr, stopMember := startMember(t, dir, "q0", "test")
			send := dialMember(t, addr)
			leads := false
			for deadline := time.Now().Add(30 * time.Second); !leads; time.Sleep(10 * time.Millisecond) {
				leads = strings.Contains(send("group.read", "", "g", "test", "duty", ""), `[1, 0, nil,`)
				if time.Now().After(deadline) {
					t.Fatal("the member did not become leader within 30s")
				}
			}
			var answers strings.Builder
			for _, request := range [][]string{
				{"group.status", ""},
				{"group.read", "", "duty", "*"},
				{"group.read", "", "duty", "keeper"},
				{"rules.sync", `{"user":{"name":"r1#1","reads":{"map":2,"routing":1},"holds":{},"stopped":{}},"has":{},"acts":{"map":1},"worth":{"asked":10,"served":9}}`},
				{"rules.sync", `{"user":{"name":"r1#1","reads":{"map":2,"routing":1},"holds":{},"stopped":{}},"has":{"map":[1],"routing":[1]},"bases":{"map":1},"acts":{"map":1,"routing":1},"worth":{"asked":10,"served":9}}`},
				{"rules.parts", `{"doc":"map","version":1}`},
				{"rules.parts", `{"doc":"map","version":1,"names":["head","top"]}`},
				{"rules.parts", `{"doc":"map","version":2,"names":["top"]}`},
				{"rules.parts", `{"doc":"map","version":9}`},
				{"rules.parts", `{"doc":"none","version":1}`},
				{"rules.read", ""},
				{"group.renew", `{"ask":{"op":"renew","duty":"keeper","who":"a#1","epoch":4294967297}}`},
				{"group.renew", `{"ask":{"op":"renew","duty":"keeper","who":"a#1","epoch":4294967296}}`},
				{"group.renew", `{"ask":{"op":"renew","duty":"none","who":"a#1","epoch":4294967296}}`},
				{"group.renew", `{}`},
				{"group.do", `{"ask":{"op":"acquire","duty":"keeper","who":"b#2"}}`},
				{"group.do", `{"ask":{"op":"release","duty":"keeper","who":"b#2","epoch":4294967297}}`},
				{"group.do", `{"ask":{"op":"expire","duty":"keeper","epoch":4294967297}}`},
				{"group.do", `{"ask":{"op":"hand","duty":"keeper","who":"b#2"}}`},
				{"group.do", `{"write":{"duty":"keeper","who":"a#1","epoch":4294967297,"step":3,"item":"move-1","state":"done","note":"version 2","doc":"{\"version\":2}"}}`},
				{"group.do", `{"wish":{"duty":"keeper","id":"move-1","wish":"abort"}}`},
				{"group.do", `{"submit":{"duty":"conductor","id":"r","kind":"roll","args":{"cell_most":1}}}`},
				{"group.do", `{"rule":{"op":"advance","doc":"routing","version":2}}`},
				{"group.do", `{"rule":{"op":"put","doc":"cook","text":"{}"}}`},
				{"group.do", `{"rule":{"op":"put","doc":"routing","version":7,"text":"{}"}}`},
				{"group.do", `{"rule":{"op":"takeback","doc":"map","version":1}}`},
				{"group.do", `{"rule":{"op":"hold","doc":"routing","version":2,"why":"lunch"}}`},
				{"group.do", `{"rule":{"op":"put","doc":"map","version":1,"text":"{}"}}`},
				{"group.do", `{`},
				{"group.add", `{}`},
				{"group.found", `{"group":"test","members":[],"terms":{"ttl":1,"drift":0.1}}`},
				{"group.join", `{"id":"other"}`},
				{"group.raft", ""},
				{"group.cook", ""},
			} {
				fields := append([]string{"g", "test"}, request[2:]...)
				fmt.Fprintf(&answers, "%s %s %s\n%s\n", request[0], strings.Join(fields, " "), request[1], send(request[0], request[1], fields...))
			}
			fmt.Fprintf(&answers, "of another group\n%s\n", send("group.status", "", "g", "other"))
			compareGolden(t, maskVolatile(answers.String()), kind+".answers")
			stopMember()

			// The disk after this run has the keys and formats that the earlier build reads.
			db, err := bbolt.Open(filepath.Join(dir, "group.db"), 0o600, &bbolt.Options{Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := db.Close(); err != nil {
					t.Error(err)
				}
			}()
			var contents strings.Builder
			err = db.View(func(tx *bbolt.Tx) error {
				return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
					fmt.Fprintf(&contents, "%s:", name)
					keys := 0
					err := bucket.ForEach(func(k, v []byte) error {
						if keys++; string(name) == "meta" {
							fmt.Fprintf(&contents, " %s", k)
							if v[0] == '{' || len(v) < 3 {
								fmt.Fprintf(&contents, "=%s", v)
							}
						} else if len(k) != 8 {
							t.Errorf("key %x of the log has not 8 bytes", k)
						}
						return nil
					})
					if string(name) == "log" && keys == 0 {
						t.Error("the log has no entries")
					}
					contents.WriteByte('\n')
					return err
				})
			})
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, contents.String(), kind+".keys")
		})
	}
}

// A change to the messages between members would split a group while it is upgraded. The test plays the second member of a group and checks
// the vouch, mark and raft messages that the real member sends, and its replies to such messages.
func TestMessagesBetweenMembersOfAnEarlierBuild(t *testing.T) {
	addr, _ := startMember(t, t.TempDir(), "q0", "test")
	send := dialMember(t, addr)
	var status quorum.Status
	refreshStatus := func() {
		t.Helper()
		text := send("group.status", "", "g", "test")
		text = text[strings.Index(text, "{"):]
		if err := json.NewDecoder(strings.NewReader(text)).Decode(&status); err != nil {
			t.Fatalf("failed to decode status %s: %v", text, err)
		}
	}
	refreshStatus()
	fakePeer := newRecorder(t, func(method string, n int) string { return "" })
	bootstrap := fmt.Sprintf(`{"group":"test","members":[{"id":%d,"name":"q0","addr":"%s"},{"id":7,"name":"q1","addr":"%s"}],"terms":{"ttl":60000000000,"drift":0.05}}`,
		parseID(t, status.ID), addr, fakePeer.addr)
	if got := send("group.found", bootstrap, "g", "test"); got != `[1, 0, nil, [bin"", {}]]` {
		t.Fatal(got)
	}
	refreshStatus()
	for deadline := time.Now().Add(30 * time.Second); !fakePeer.hasAll("group.vouch", "group.raft", "group.mark"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no vouch, raft and mark calls within 30s; received:\n", fakePeer.allText())
		}
	}
	self := parseID(t, status.ID)
	mask := func(s string) string {
		s = strings.ReplaceAll(s, status.GroupID, "GROUP")
		s = strings.ReplaceAll(s, fmt.Sprint(self), "SELF")
		return regexp.MustCompile(`"n":"\d+"`).ReplaceAllString(s, `"n":"NONCE"`)
	}
	for _, c := range []struct{ method, want string }{
		{"group.vouch", `[0, ID, "group.vouch", [{"c":"1","g":"test","gi":"GROUP","id":"SELF","n":"NONCE","st":"1","t":"1"}, bin""]]`},
		{"group.mark", `[0, ID, "group.mark", [{"c":"1","g":"test","gi":"GROUP","id":"SELF","n":"NONCE","st":"1","t":"1"}, bin""]]`},
	} {
		if got := mask(fakePeer.firstText(c.method)); got != c.want {
			t.Errorf("%s\n got %s\nwant %s", c.method, got, c.want)
		}
	}
	// Before an election the member sends a pre-vote request (type 17) for term 2, with entry 1 of term 1 as its last.
	message := fakePeer.firstBody("group.raft")
	want := "\x08\x11\x10\x07\x18" + string(binary.AppendUvarint(nil, self)) + "\x20\x02\x28\x01\x30\x01"
	if len(message) < 4 || int(binary.BigEndian.Uint32(message)) != len(message)-4 && len(message) < 4+len(want) || !strings.HasPrefix(string(message[4:]), want) {
		t.Errorf("group.raft %x, want its length and %x", message, want)
	}
	// The replies to the other member: a mark is recorded; an older disk and copies of a disk are rejected.
	peerFields := []string{"g", "test", "gi", status.GroupID, "id", "7", "n", "5"}
	for _, c := range []struct {
		method, body string
		fields       []string
		want         string
	}{
		{"group.vouch", "", append(slices.Clone(peerFields), "st", "2", "t", "3", "c", "9"), `[1, 0, nil, [bin"", {}]]`},
		{"group.mark", "", append(slices.Clone(peerFields), "st", "2", "t", "4", "c", "10"), `[1, 0, nil, [bin"", {}]]`},
		{"group.vouch", "", append(slices.Clone(peerFields), "st", "2", "t", "3", "c", "9"), `[1, 0, ["Superseded", {"why":"the disk is older than its words: term 4 was said before, the disk has 3"}], nil]`},
		{"group.vouch", "", append(slices.Clone(peerFields), "st", "2", "t", "4", "c", "9"), `[1, 0, ["Superseded", {"why":"the disk is older than its words: entry 10 was said to be known before, the disk knows 9"}], nil]`},
		{"group.mark", "", append(slices.Clone(peerFields), "st", "1", "t", "4", "c", "10"), `[1, 0, ["Superseded", {"why":"start 1 of this disk, and start 2 of it was seen elsewhere"}], nil]`},
		{"group.mark", "", []string{"g", "test", "gi", status.GroupID, "id", fmt.Sprint(self)}, `[1, 0, ["Superseded", {"why":"two processes run on copies of one disk"}], nil]`},
		{"group.mark", "", []string{"g", "test", "gi", "x", "id", "7"}, `[1, 0, ["Stranger", {"why":"this is group \"GROUP\", not \"x\""}], nil]`},
		{"group.raft", "\x00\x00\x00", append(slices.Clone(peerFields), "st", "2"), `[1, 0, ["No", {"why":"messages cut short"}], nil]`},
		{"group.raft", "\x00\x00\x00\x04\x08\x08\x10\x01", append(slices.Clone(peerFields), "st", "2"), `[1, 0, nil, [bin"", {}]]`},
		{"group.chunk", "abc", append(slices.Clone(peerFields), "st", "2", "s", "1", "o", "0", "l", "99999999"), `[1, 0, ["No", {"why":"a snapshot of 99999999 bytes, of at most 67108864"}], nil]`},
		{"group.chunk", "abc", append(slices.Clone(peerFields), "st", "2", "s", "1", "o", "0", "l", "6"), `[1, 0, nil, [bin"", {}]]`},
		{"group.chunk", "abc", append(slices.Clone(peerFields), "st", "2", "s", "1", "o", "5", "l", "6"), `[1, 0, ["No", {"why":"a chunk at 5 that doesn't follow"}], nil]`},
		{"group.chunk", "abc", append(slices.Clone(peerFields), "st", "2", "s", "1", "o", "0", "l", "3"), `[1, 0, ["No", {"why":"a snapshot whose checksum is wrong"}], nil]`},
		{"group.do", `{"ask":{"op":"acquire","duty":"keeper","who":"a"}}`, []string{"g", "test"}, `[1, 0, ["NotLeader", {"why":"member q0 does not lead"}], nil]`},
		{"group.read", "", []string{"g", "test"}, `[1, 0, ["NotLeader", {"why":"member q0 does not lead"}], nil]`},
	} {
		if got := mask(send(c.method, c.body, c.fields...)); got != c.want {
			t.Errorf("%s\n got %s\nwant %s", c.method, got, c.want)
		}
	}
}

// Routers, servers, owners and commands may be newer than the members that they call, so the client's requests must keep the form that
// members of earlier builds parse.
func TestRequestsOfAnEarlierBuild(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	statusCalls := 0
	fakeMember := newRecorder(t, func(method string, n int) string {
		switch method {
		case "group.status":
			statusCalls++
			return `{"name":"q0","id":"00000000000000ff","group":"test","group_id":"` + map[bool]string{true: "", false: "g1"}[statusCalls < 4] + `","state":"leader","members":[{"id":255,"name":"q0","addr":"ADDR"}]}`
		case "group.add":
			return []string{`"changed"`, `"catching up"`, `"voter"`}[min(n, 2)]
		case "group.read":
			return `{"terms":{"ttl":3000000000,"drift":0.05},"table":{"generation":1,"duties":{"keeper":{"name":"keeper","epoch":4294967297,"holder":"a#1"}}},"wall":1}`
		}
		return "{}"
	})
	client := &quorum.Client{Group: "test", Addrs: []string{fakeMember.addr}}
	t.Cleanup(client.Close)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	_, err := client.Do(ctx, statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: "keeper", Process: "a#1"}})
	must(err)
	_, err = client.Do(ctx, statemachine.Command{Lease: &lease.Request{Op: lease.Renew, Duty: "keeper", Process: "a#1", Epoch: 4294967297}})
	must(err)
	view, err := client.Read(ctx, "*")
	must(err)
	if view.Terms.TTL != 3*time.Second || view.Table.CheckHolder("keeper", "a#1", 4294967297) != nil || view.Wall != 1 {
		t.Errorf("Read returned %+v", view)
	}
	_, err = client.Sync(ctx, quorum.ConfigSync{Process: configstore.Process{Name: "r1#1", Formats: map[string]int{"map": 2}, Prepared: map[string]int{"map": 3}, Quiesced: map[string]int{"map": 4},
		Refusals: map[string]configstore.Refusal{"map": {Version: 5, Reason: "w"}}}, HasVersions: map[string][]int{"map": {1, 2}}, BaseVersions: map[string]int{"map": 1}, ActiveVersions: map[string]int{"map": 1},
		Load: configstore.Goodput{Offered: 2, Served: 1}, StopReason: "s", Quota: &quota.Request{MaxRouters: 3, Applied: 4, Rates: []quota.Allocation{{Cell: "c", Tenant: "t", Rate: 1.5}}, Demand: []quota.Allocation{}}})
	must(err)
	_, err = client.Config(ctx)
	must(err)
	_, err = client.Parts(ctx, configstore.PartsRequest{Doc: "map", Version: 2, Names: []string{"top"}})
	must(err)
	bootstrap, err := client.CreateGroup(ctx, lease.Terms{TTL: 3 * time.Second, Drift: 0.05})
	must(err)
	if bootstrap.Members[0].Addr = "127.0.0.1:1"; bootstrap.ID() != "c569c19268c18732" {
		t.Errorf("ID of a group with the same first members changed to %s", bootstrap.ID())
	}
	must(client.Add(ctx, fakeMember.addr))
	must(client.Remove(ctx, "q0"))
	compareGolden(t, strings.ReplaceAll(fakeMember.allText(), fakeMember.addr, "ADDR"), "requests")
	for _, c := range []struct{ method, want string }{
		{"rules.read", "\x94\x00\x05\xaarules.read\x92\x81\xa1g\xa4test\xc4\x00"},
		{"group.status", "\x94\x00\x07\xacgroup.status\x92\x81\xa1g\xa4test\xc4\x00"},
	} {
		if got := fakeMember.firstMessage(c.method); got != c.want {
			t.Errorf("%s\n got %x\nwant %x", c.method, got, c.want)
		}
	}
	// Error codes of a member, as the errors that the client returns.
	for reply, want := range map[string]string{
		"\x92\xa2No\x81\xa3why\xa1x\xc0":        "refused: x",
		"\x92\xa8Stranger\x81\xa3why\xa1y\xc0":  "refused: y",
		"\x92\xa4Lost\x80\xc0":                  "the group is unavailable: Lost ",
		"\x92\xa9NotLeader\x81\xa3why\xa1z\xc0": "the group is unavailable: NotLeader z",
	} {
		fakeMember := newRecorder(t, func(string, int) string { return "raw:" + reply })
		client := &quorum.Client{Group: "test", Addrs: []string{fakeMember.addr}}
		t.Cleanup(client.Close)
		var err error
		for range 10 { // repeated, as Read returns a different error if the context ends while a reply is in flight
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err = client.Read(ctx, "")
			cancel()
			if err != nil && err.Error() == want {
				break
			}
		}
		if err == nil || err.Error() != want {
			t.Errorf("Read returned error %v, want %s", err, want)
		}
	}
}

// startMember runs a member on the disk in dir, on a free port. stop ends it and waits for it.
func startMember(t *testing.T, dir, name, groupName string) (addr string, stop func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	counters := &metrics.Counters{}
	m, err := Open(Config{Name: name, Group: groupName, Addr: addr, Dir: dir, Tick: 20 * time.Millisecond, Log: zerolog.Nop(), Stats: counters})
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	server := msgpackrpc.NewCallServer(ListenerName, counters, m.HandleCall)
	callListener, err := listener.Listen(ListenerName, addr, maxConnections, func() time.Duration { return time.Minute }, server.Serve, log.New(io.Discard, "", 0), counters)
	if err != nil {
		t.Fatal(err)
	}
	go callListener.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := m.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	var once sync.Once
	stop = func() {
		once.Do(func() {
			callListener.Close()
			cancel()
			running.Wait()
		})
	}
	t.Cleanup(stop)
	return addr, stop
}

// dialMember connects to a member. The returned function sends one request, which it encodes itself, and returns the reply as text.
func dialMember(t *testing.T, addr string) func(method, body string, fields ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reader := bufio.NewReader(conn)
	return func(method, body string, fields ...string) string {
		t.Helper()
		b := []byte("\x94\x00\x00")
		b = append(append(b, 0xd9, byte(len(method))), method...)
		b = append(b, 0x92, 0x80|byte(len(fields)/2))
		for _, f := range fields {
			b = append(append(b, 0xd9, byte(len(f))), f...)
		}
		b = append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body))), body...)
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := conn.Write(b); err != nil {
			t.Fatal(err)
		}
		raw, err := msgpackrpc.ReadMessage(reader, 4<<20)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := messageText(raw)
		return text
	}
}

// recorder is a stand-in for a member. It records the requests and replies with the body that respond returns for the method and for the
// number of earlier requests of that method.
type recorder struct {
	addr     string
	mu       sync.Mutex
	messages [][]byte
}

func newRecorder(t *testing.T, respond func(method string, n int) string) *recorder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rec := &recorder{addr: ln.Addr().String()}
	var running sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	calls := map[string]int{}
	running.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			running.Go(func() {
				reader := bufio.NewReader(conn)
				for {
					raw, err := msgpackrpc.ReadMessage(reader, 4<<20)
					if err != nil {
						return
					}
					id, method := idAndMethod(raw)
					mu.Lock()
					body := strings.ReplaceAll(respond(method, calls[method]), "ADDR", rec.addr)
					calls[method]++
					mu.Unlock()
					rec.mu.Lock()
					rec.messages = append(rec.messages, raw)
					rec.mu.Unlock()
					b := append([]byte("\x94\x01"), id...)
					if reply, ok := strings.CutPrefix(body, "raw:"); ok {
						b = append(b, reply...)
					} else {
						b = append(b, "\xc0\x92\xc6"...)
						b = append(append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...), 0x80)
					}
					conn.Write(b)
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		running.Wait()
	})
	return rec
}

// idAndMethod returns the encoded ID of a request, and its method.
func idAndMethod(raw []byte) (id []byte, method string) {
	_, rest := valueText(raw[2:])
	id = raw[2 : len(raw)-len(rest)]
	method, _ = valueText(rest)
	return id, strings.Trim(method, `"`)
}

func (r *recorder) received() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.messages)
}

func (r *recorder) firstMessage(method string) string {
	for _, raw := range r.received() {
		if _, m := idAndMethod(raw); m == method {
			return string(raw)
		}
	}
	return ""
}

func (r *recorder) hasAll(methods ...string) bool {
	return !slices.ContainsFunc(methods, func(m string) bool { return r.firstMessage(m) == "" })
}

func (r *recorder) firstText(method string) string {
	text, _ := messageText([]byte(r.firstMessage(method)))
	return regexp.MustCompile(`^\[0, \d+,`).ReplaceAllString(text, "[0, ID,")
}

func (r *recorder) allText() string {
	var b strings.Builder
	for _, raw := range r.received() {
		text, _ := messageText(raw)
		fmt.Fprintln(&b, text)
	}
	return b.String()
}

// firstBody returns the body of the first request of a method.
func (r *recorder) firstBody(method string) []byte {
	raw := []byte(r.firstMessage(method))
	_, rest := valueText(raw[bytes.Index(raw, []byte(method))+len(method)+1:]) // skips the fields
	switch rest[0] {
	case 0xc4:
		return rest[2 : 2+int(rest[1])]
	case 0xc5:
		return rest[3 : 3+int(binary.BigEndian.Uint16(rest[1:]))]
	}
	return nil
}

// messageText formats a MessagePack value as text. It sorts the fields of maps by name, since their order on the wire varies.
func messageText(b []byte) (string, []byte) { return valueText(b) }

func valueText(b []byte) (string, []byte) {
	tag, b := b[0], b[1:]
	size := func(n int) int {
		v := 0
		for _, c := range b[:n] {
			v = v<<8 | int(c)
		}
		b = b[n:]
		return v
	}
	text := func(n int) string { s := string(b[:n]); b = b[n:]; return s }
	switch {
	case tag < 0x80:
		return fmt.Sprint(tag), b
	case tag < 0x90:
		var pairs []string
		for range int(tag & 0x0f) {
			var k, v string
			k, b = valueText(b)
			v, b = valueText(b)
			pairs = append(pairs, k+":"+v)
		}
		slices.Sort(pairs)
		return "{" + strings.Join(pairs, ",") + "}", b
	case tag < 0xa0:
		var list []string
		for range int(tag & 0x0f) {
			var v string
			v, b = valueText(b)
			list = append(list, v)
		}
		return "[" + strings.Join(list, ", ") + "]", b
	case tag < 0xc0:
		return fmt.Sprintf("%q", text(int(tag&0x1f))), b
	case tag == 0xc0:
		return "nil", b
	case tag >= 0xc4 && tag <= 0xc6:
		return `bin"` + text(size(1<<(tag-0xc4))) + `"`, b
	case tag >= 0xcc && tag <= 0xcf:
		return fmt.Sprint(uint64(size(1 << (tag - 0xcc)))), b
	case tag >= 0xd9 && tag <= 0xdb:
		return fmt.Sprintf("%q", text(size(1<<(tag-0xd9)))), b
	}
	return fmt.Sprintf("?%x", tag), b
}

// maskVolatile replaces the values that differ between runs, which are times and the number of disk writes, with 0.
func maskVolatile(s string) string {
	return regexp.MustCompile(`"(wall|ago_ms|syncs)":\d{2,}|"(syncs|ago_ms)":\d`).ReplaceAllStringFunc(s, func(m string) string {
		return m[:strings.Index(m, ":")] + ":0"
	})
}

func parseID(t *testing.T, hex string) uint64 {
	t.Helper()
	var id uint64
	if _, err := fmt.Sscanf(hex, "%x", &id); err != nil {
		t.Fatal(err)
	}
	return id
}

func compareGolden(t *testing.T, got, name string) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs from line %d on\n got %s\nwant %s", name, i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], "\n"), strings.Join(wantLines[min(i, len(wantLines)):min(i+1, len(wantLines))], "\n"))
		}
	}
}
