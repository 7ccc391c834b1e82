package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The files in testdata/wire hold what an earlier build sent and accepted on each of its wires. Guards
// against a renamed identifier that changes a message. The tests import no package of the program: they start
// it, act as every other party on loopback, and compare bytes. With SILVERPATH_WIRE_GOLDEN=write a test
// rewrites its file, for an intended change of a wire.

// transcript records the messages of one wire, one message a line: ">" marks those that the test sent, "<"
// those that the program sent. The masks replace parts that differ from run to run before a message is
// recorded.
type transcript struct {
	mu    sync.Mutex
	b     bytes.Buffer
	masks []mask
}

// mask replaces a part that differs from run to run in an escaped message.
type mask struct {
	pattern     *regexp.Regexp
	replacement string
}

// record appends a line with the sender and the message, after the masks are applied.
func (tr *transcript) record(sender string, message []byte) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	text := escape(message)
	for _, r := range tr.masks {
		text = r.pattern.ReplaceAllString(text, r.replacement)
	}
	fmt.Fprintf(&tr.b, "%s %s\n", sender, text)
}

// escape returns a message as text: printable ASCII except the backslash is unchanged, line ends become \r
// and \n, and all other bytes become \xNN.
func escape(message []byte) string {
	var text strings.Builder
	for _, c := range message {
		switch {
		case c == '\r':
			text.WriteString(`\r`)
		case c == '\n':
			text.WriteString(`\n`)
		case c < ' ' || c > '~' || c == '\\':
			fmt.Fprintf(&text, `\x%02x`, c)
		default:
			text.WriteByte(c)
		}
	}
	return text.String()
}

// await waits up to 30 s until a text is recorded.
func (tr *transcript) await(t *testing.T, text string) {
	t.Helper()
	for range 30000 {
		tr.mu.Lock()
		found := strings.Contains(tr.b.String(), text)
		tr.mu.Unlock()
		if found {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%s was not recorded within 30 s", text)
}

// compare fails the test if the transcript differs from a file of testdata/wire.
func (tr *transcript) compare(t *testing.T, name string) {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	compareWireFile(t, name, tr.b.Bytes())
}

// compareWireFile fails the test with each line in which got differs from a file of testdata/wire.
func compareWireFile(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "wire", name)
	if os.Getenv("SILVERPATH_WIRE_GOLDEN") == "write" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(string(got), "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		var wantLine, gotLine string
		if i < len(wantLines) {
			wantLine = wantLines[i]
		}
		if i < len(gotLines) {
			gotLine = gotLines[i]
		}
		if wantLine != gotLine {
			t.Errorf("%s, line %d:\n got  %s\n want %s", name, i+1, gotLine, wantLine)
		}
	}
}

// MessagePack of the public specification: enough to write requests and to find the end of a value.

func mpString(s string) []byte {
	if len(s) < 32 {
		return append([]byte{0xa0 | byte(len(s))}, s...)
	}
	return append([]byte{0xd9, byte(len(s))}, s...)
}

func mpMap(pairs ...string) []byte {
	b := []byte{0x80 | byte(len(pairs)/2)}
	for _, s := range pairs {
		b = append(b, mpString(s)...)
	}
	return b
}

// mpRequest returns the request [0, ID, METHOD, [FIELDS, BODY]].
func mpRequest(id byte, method, body string, pairs ...string) []byte {
	b := append([]byte{0x94, 0x00, id}, mpString(method)...)
	b = append(append(b, 0x92), mpMap(pairs...)...)
	return append(append(b, 0xc4, byte(len(body))), body...)
}

// mpValue reads one complete value and returns its bytes.
func mpValue(r *bufio.Reader) ([]byte, error) {
	var b []byte
	var read func() error
	more := func(n int) ([]byte, error) {
		part := make([]byte, n)
		_, err := io.ReadFull(r, part)
		b = append(b, part...)
		return part, err
	}
	sized := func(width int) (int, error) {
		p, err := more(width)
		if err != nil {
			return 0, err
		}
		var whole [8]byte
		copy(whole[8-width:], p)
		return int(binary.BigEndian.Uint64(whole[:])), nil
	}
	each := func(n int) (err error) {
		for i := 0; i < n && err == nil; i++ {
			err = read()
		}
		return err
	}
	read = func() error {
		head, err := more(1)
		if err != nil {
			return err
		}
		switch k := head[0]; {
		case k < 0x80, k >= 0xe0, k == 0xc0, k == 0xc2, k == 0xc3:
			return nil
		case k < 0x90:
			return each(2 * int(k&0x0f))
		case k < 0xa0:
			return each(int(k & 0x0f))
		case k < 0xc0:
			_, err = more(int(k & 0x1f))
			return err
		case k >= 0xcc && k <= 0xcf:
			_, err = more(1 << (k - 0xcc))
			return err
		case k >= 0xc4 && k <= 0xc6, k >= 0xd9 && k <= 0xdb:
			width := 1 << (k - 0xc4)
			if k >= 0xd9 {
				width = 1 << (k - 0xd9)
			}
			n, err := sized(width)
			if err != nil {
				return err
			}
			_, err = more(n)
			return err
		case k == 0xdc, k == 0xdd:
			n, err := sized(2 << (k - 0xdc))
			if err != nil {
				return err
			}
			return each(n)
		case k == 0xde, k == 0xdf:
			n, err := sized(2 << (k - 0xde))
			if err != nil {
				return err
			}
			return each(2 * n)
		default:
			return fmt.Errorf("unknown MessagePack type byte %#x", k)
		}
	}
	err := read()
	return b, err
}

// link is a connection of the test to the program, with its transcript.
type link struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
	*transcript
}

// dialWire connects to the program and records the messages in tr.
func dialWire(t *testing.T, addr string, tr *transcript) *link {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &link{t, conn, bufio.NewReader(conn), tr}
}

func (l *link) send(message []byte) {
	l.t.Helper()
	l.record(">", message)
	if _, err := l.Write(message); err != nil {
		l.t.Fatal(err)
	}
}

// readValue reads one MessagePack value.
func (l *link) readValue() []byte {
	l.t.Helper()
	b, err := mpValue(l.r)
	if err != nil {
		l.t.Fatalf("after %q: %v", b, err)
	}
	l.record("<", b)
	return b
}

// readAll reads to the end of the stream.
func (l *link) readAll() []byte {
	l.t.Helper()
	b, err := io.ReadAll(l.r)
	if err != nil {
		l.t.Fatal(err)
	}
	l.record("<", b)
	return b
}

// serveWire accepts connections, serves each in its own goroutine, and returns the address.
func serveWire(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// startInterpreter starts a stand-in interpreter and returns its address. It records all messages except
// repeated queries of the gauges. The body selects the outcome: "fail", "kill", "noop" and "error" end the
// run in that way, "ask ..." calls the vault, "hold" stays open, and any other body returns in capitals and
// ends the runs that are held.
func startInterpreter(t *testing.T, tr *transcript) string {
	var recordGauges sync.Once
	var held []string
	return serveWire(t, func(conn net.Conn) {
		n := 0
		write := func(format string, args ...any) {
			line := fmt.Appendf(nil, format+"\n", args...)
			conn.Write(line)
			if !bytes.Contains(line, []byte(`"ref":"tick"`)) {
				tr.record(">", line)
			}
		}
		encode := func(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }
		end := func(job, state, data string) {
			n++
			write(`{"type":"VALUE","n":%d,"job":"%s","state":"%s","took":1,"data":"%s"}`, n, job, state, encode(data))
		}
		for in := bufio.NewReader(conn); ; {
			line, err := in.ReadBytes('\n')
			if err != nil {
				return
			}
			var m struct{ Type, Ref, Job, Data string }
			if err := json.Unmarshal(line, &m); err != nil {
				tr.record("?", line)
				return
			}
			if m.Ref == "tick" {
				recordGauges.Do(func() { tr.record("<", line) })
				write(`{"type":"TOPS","ref":"tick","gauges":[0.25,1,0.125,2]}`)
				continue
			}
			tr.record("<", line)
			body, _ := base64.StdEncoding.DecodeString(m.Data)
			switch m.Type {
			case "CONNECT":
				write(`{"type":"BANNER","state":"LOADED","took":5}`)
			case "TOP":
				write(`{"type":"TOPS","ref":"%s","gauges":[0.25,1,0.125,2]}`, m.Ref)
			case "RESOLVE":
				end(m.Job, "PASS", "with "+string(body))
			case "APPLY":
				switch word, _, _ := strings.Cut(string(body), " "); word {
				case "hold":
					held = append(held, m.Job)
				case "ask":
					n++
					write(`{"type":"AWAIT","n":%d,"job":"%s","data":"%s"}`, n, m.Job, encode("please"))
				case "fail":
					end(m.Job, "FAIL", "")
				case "kill":
					end(m.Job, "KILLED", "")
				case "noop":
					end(m.Job, "NOOP", "")
				case "error":
					write(`{"type":"ERROR","job":"%s","state":"APPLY"}`, m.Job)
				default:
					for _, job := range held {
						end(job, "PASS", "held")
					}
					held = nil
					end(m.Job, "PASS", strings.ToUpper(string(body)))
				}
			}
		}
	})
}

// startVault starts a stand-in vault and returns its address. It records the calls and answers those of each
// request with its replies in order.
func startVault(t *testing.T, tr *transcript, replies map[string][]string) string {
	var mu sync.Mutex
	return serveWire(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			var call []byte
			length, ticket := 0, ""
			for {
				line, err := in.ReadBytes('\n')
				if err != nil {
					return
				}
				call = append(call, line...)
				if v, ok := strings.CutPrefix(string(line), "Content-Length: "); ok {
					length, _ = strconv.Atoi(strings.TrimSpace(v))
				}
				if v, ok := strings.CutPrefix(string(line), "X-Ticket: "); ok {
					ticket = strings.TrimSpace(v)
				}
				if string(line) == "\r\n" {
					break
				}
			}
			body := make([]byte, length)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			tr.record("<", append(call, body...))
			mu.Lock()
			reply := ""
			if left := replies[ticket]; len(left) > 0 {
				reply, replies[ticket] = left[0], left[1:]
			}
			mu.Unlock()
			tr.record(">", []byte(reply))
			io.WriteString(conn, reply)
		}
	})
}

// listenAnnounce opens the socket of a stand-in announce service.
func listenAnnounce(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// nextReport reads reports until one differs from before, and returns it.
func nextReport(t *testing.T, conn net.PacketConn, before string) string {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	for b := make([]byte, 200); ; {
		n, _, err := conn.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		if got := string(b[:n]); got != before {
			return got
		}
	}
}

// wireSettings are the settings of a configuration, with one class of each effect.
const wireSettings = `"settings":{"classes":[
 {"name":"lestvica","target":9000000,"deadline":10000000,"worth":1,"effect":"pure"},
 {"name":"krog","target":9000000,"deadline":10000000,"worth":2,"effect":"side_effect"},
 {"name":"oddaja","target":9000000,"deadline":10000000,"worth":3,"effect":"token","memory_span":20000000}],
 "tenants":[{"name":"kvizmojster","allowance_per_s":1000}],
 "family_info":{"below":"%s","callers":2,"cpus":4,"gauges":["core_use","on_cores","heap_share","links"],"key_kb":1,
 "memory_kb":65536,"run_factor":1,"calls_by_class":[true,true,true],"worth_without":[0,0,0],"dep_share":1,"dep_window":1000000},
 "rules":{"cold_from":1,"fall_multiple":8,"overload_for":3000000,"drain_grace":3000000},
 "limits":{"retry_after":true,"max_retry_after":1000000},"servers":1}`

// timestampMask replaces wall-clock times in milliseconds.
var timestampMask = mask{regexp.MustCompile(`1[7-9]\d{11}`), "<ms>"}

// retryAfterMask replaces the time in milliseconds after which a refused request may be retried.
var retryAfterMask = mask{regexp.MustCompile(`\\xa1w\\xa[1-4]\d+`), "<w>"}

// startWireServer starts a server with a configuration, to which it adds wireSettings with below, and an
// optional edge file.
func startWireServer(t *testing.T, config, below, edge string) *process {
	t.Helper()
	path := writeFile(t, "wire.json", fmt.Sprintf(`{"name":"n7","seed":"c0ffee","stop_ms":4000,"listen":"127.0.0.1:0",`+
		`"limits":{"memory_mb":64,"sockets":256},%s,`+wireSettings+`}`, config, below))
	args := []string{"serve", "--config", path}
	if edge != "" {
		args = append(args, "--edge", writeFile(t, "edge.json", edge))
	}
	return startServing(t, args...)
}

// awaitText waits for a text in the log of a process and returns what follows it.
func awaitText(t *testing.T, p *process, text string) string {
	t.Helper()
	addr, err := p.TextAfter(30*time.Second, text)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// requestFields returns the fields of a request sent now, with further fields appended.
func requestFields(id string, more ...string) []string {
	return append([]string{"i", id, "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "9000", "m", "1"}, more...)
}

// Records a server from start to exit on its wires to a balancer, an interpreter, a vault and the announce
// service. Guards against an identifier of the code that leaks into a message.
func TestWireOfServer(t *testing.T) {
	t.Parallel()
	balancer := &transcript{masks: []mask{timestampMask, retryAfterMask}}
	interpreter, below := &transcript{}, &transcript{masks: []mask{{regexp.MustCompile(`X-Max-Ms: \d+`), "X-Max-Ms: <ms>"}}}
	reports := listenAnnounce(t)
	okReply, failedReply := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhere", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	vault := startVault(t, below, map[string][]string{
		"b1": {okReply},
		"b2": {"HTTP/1.1 503 Service Unavailable\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 409 Conflict\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n", failedReply},
		"b3": {failedReply, okReply},
		"b4": {failedReply},
	})
	p := startWireServer(t, fmt.Sprintf(`"vm":%q,"vault":%q,"announce":%q`, startInterpreter(t, interpreter), vault, reports.LocalAddr()),
		"tier", `{"status":true}`)
	firstReport := nextReport(t, reports, "announce n7 false")
	announces := &transcript{}
	announces.record("<", []byte(firstReport))

	b := dialWire(t, p.addr, balancer)
	b.send([]byte("\x94\x00\x01\xa5probe\x91\x80"))
	b.readValue()
	calls := byte(2)
	call := func(class, body string, fields ...string) {
		t.Helper()
		b.send(mpRequest(calls, class, body, fields...))
		b.readValue()
		calls++
	}
	call("krog", "hello", requestFields("a1")...)
	call("lestvica", "hello", requestFields("a2", "t", "kvizmojster", "f", "3", "p", "0.5")...)
	call("oddaja", "sheet", requestFields("a3", "k", "key-1")...)
	call("oddaja", "sheet", requestFields("a4", "k", "key-1")...) // the repeated attempt gets the same result without a run
	call("oddaja", "other", requestFields("a5", "k", "key-1")...) // another request with the same key
	call("krog", "fail", requestFields("a6")...)
	call("krog", "kill", requestFields("a7")...)
	call("krog", "noop", requestFields("a8")...)
	call("krog", "error", requestFields("a9")...)
	call("krog", "ask once", requestFields("b1")...)
	call("krog", "ask twice", requestFields("b2")...)
	call("lestvica", "ask thrice", requestFields("b3")...)
	call("oddaja", "ask more", requestFields("b4", "k", "key-2")...)
	call("nothing", "hello", requestFields("b5")...)
	call("krog", "hello", "i", "b6", "s", "soon", "d", "9000", "m", "1")
	call("krog", "hello", "i", "b7", "s", strconv.FormatInt(time.Now().Add(-time.Minute).UnixMilli(), 10), "d", "9000", "m", "1")
	call("krog", "hello", "s", "1", "d", "9000", "m", "1")
	call("krog", "hello", "i", "b8", "s", "1", "d", "-1", "m", "1")
	call("krog", "hello", "i", "b9", "s", "1", "d", "1", "m", "0")

	held := mpRequest(0x7e, "krog", "hold", requestFields("h1")...)
	b.send(held)
	interpreter.await(t, `"job":"h1"`)
	b.send([]byte("\x93\x02\xa6giveUp\x91\x7e")) // the caller gives up: no answer

	bad := dialWire(t, p.addr, balancer)
	bad.send([]byte("GET / HTTP/1.1\r\n\r\n"))
	bad.readAll()

	_ = p.Signal(syscall.SIGTERM)
	if _, err := p.Await(30*time.Second, 0, "phase draining"); err != nil {
		t.Fatal(err)
	}
	b.send([]byte("\x94\x00\x70\xa5probe\x91\x80"))
	b.readValue()
	call("krog", "late", requestFields("c1")...) // at first the server still serves its peers
	b.readValue()                                // lastCall
	announces.record("<", []byte(nextReport(t, reports, firstReport)))
	b.Close()
	if _, err := p.Await(30*time.Second, 0, "exit"); err != nil {
		t.Fatal(err)
	}
	balancer.compare(t, "balancer.txt")
	interpreter.compare(t, "interpreter.txt")
	below.compare(t, "vault.txt")
	announces.compare(t, "announce.txt")
}

// scgiMessage returns an SCGI request: a netstring of headers and the body.
func scgiMessage(body string, pairs ...string) []byte {
	headers := "CONTENT_LENGTH\x00" + strconv.Itoa(len(body)) + "\x00SCGI\x001\x00"
	for _, s := range pairs {
		headers += s + "\x00"
	}
	return fmt.Appendf(nil, "%d:%s,%s", len(headers), headers, body)
}

// Records a server between web fronts and an SCGI application server: each kind of answer, and the requests
// to the application server.
func TestWireOfSCGI(t *testing.T) {
	t.Parallel()
	idMask := mask{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "<id>"}
	front, application := &transcript{masks: []mask{idMask}}, &transcript{masks: []mask{idMask}}
	upstream := serveWire(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		head, err := in.ReadString(':')
		n, bad := strconv.Atoi(strings.TrimSuffix(head, ":"))
		if err != nil || bad != nil {
			return
		}
		headers := make([]byte, n+1)
		_, _ = io.ReadFull(in, headers)
		length, _ := strconv.Atoi(strings.Split(string(headers), "\x00")[1])
		body := make([]byte, length)
		_, _ = io.ReadFull(in, body)
		application.record("<", append(append([]byte(head), headers...), body...))
		reply := "Status: 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		switch string(body) {
		case "plain":
			reply = "Content-Type: text/plain\r\n\r\nto the end"
		case "fail":
			reply = "Status: 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		case "short":
			reply = "Status: 200 OK\r\nContent-Length: 9\r\n\r\ndone"
		}
		application.record(">", []byte(reply))
		io.WriteString(conn, reply)
	})
	p := startWireServer(t, fmt.Sprintf(`"scgi":{"listen":"127.0.0.1:0","upstream":%q,"max_body":64,"half_close":true}`, upstream), "none", "")
	addr := awaitText(t, p, "scgi: listening on ")
	call := func(message []byte) {
		t.Helper()
		l := dialWire(t, addr, front)
		l.send(message)
		l.readAll()
	}
	call(scgiMessage("work", "PATH_INFO", "/krog"))
	call(scgiMessage("plain", "REQUEST_URI", "/lestvica/x?y=1", "HTTP_X_TENANT", "kvizmojster", "HTTP_X_RANK", "0.5", "HTTP_X_CALLER", "7"))
	call(scgiMessage("work", "HTTP_X_REQUEST_CLASS", "oddaja", "HTTP_IDEMPOTENCY_KEY", "key-1", "HTTP_X_TIMEOUT_MS", "5000"))
	call(scgiMessage("work", "HTTP_X_REQUEST_CLASS", "oddaja", "HTTP_IDEMPOTENCY_KEY", "key-1"))
	call(scgiMessage("else", "HTTP_X_REQUEST_CLASS", "oddaja", "HTTP_IDEMPOTENCY_KEY", "key-1"))
	call(scgiMessage("fail", "PATH_INFO", "/krog"))
	call(scgiMessage("short", "PATH_INFO", "/krog"))
	call(scgiMessage("work", "PATH_INFO", "/nothing"))
	call(scgiMessage("work", "PATH_INFO", "/status"))
	call(scgiMessage("work", "PATH_INFO", "/krog", "HTTP_X_TIMEOUT_MS", "soon"))
	call(scgiMessage("work", "PATH_INFO", "/krog", "HTTP_X_RANK", "1"))
	call(scgiMessage("work", "PATH_INFO", "/krog", "HTTP_X_CALLER", "-1"))
	call(scgiMessage("work", "PATH_INFO", "/krog", "HTTP_IDEMPOTENCY_KEY", strings.Repeat("k", 129)))
	call(scgiMessage(strings.Repeat("x", 65), "PATH_INFO", "/krog"))
	call([]byte("GET / HTTP/1.1\r\n\r\n"))
	call([]byte("9000:"))
	front.compare(t, "scgi.txt")
	application.compare(t, "scgi-upstream.txt")
}

// managementCalls are sent to the management API of a server in order.
var managementCalls = []string{
	"GET /api/ready HTTP/1.1\r\nHost: edge\r\n\r\n",
	"POST /api/evacuate HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
	"GET /api/ready HTTP/1.1\r\n\r\n",
	"POST /api/rejoin HTTP/1.1\r\n\r\n",
	"POST /api/snapshot HTTP/1.1\r\n\r\n",
	"POST /api/rejoin?duty=moves&epoch=1&step=1 HTTP/1.1\r\n\r\n",
	"GET /api/evacuate HTTP/1.1\r\n\r\n",
	"GET /api/nothing HTTP/1.0\r\n\r\n",
	"GET /api/ready HTTP/2\r\n\r\n",
	"nonsense\r\n\r\n",
	"GET /api/ready HTTP/1.1\r\nno colon\r\n\r\n",
	"POST /api/rejoin HTTP/1.1\r\nContent-Length: x\r\n\r\n",
	"POST /api/rejoin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"POST /api/rejoin HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
}

// Records a server in a cell, with pools, a store and a heartbeat: the operators' calls, all objects of its
// SNMP agent, and the keys of its status in order.
func TestWireOfOperators(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	p := startWireServer(t, fmt.Sprintf(`"vm":%q,"mgmt":"127.0.0.1:0","snmp":{"listen":"127.0.0.1:0","community":"kviz"}`,
		startInterpreter(t, &transcript{})), "none", fmt.Sprintf(`{"status":true,"cell":true,
 "pools":[{"name":"sheets","classes":["oddaja"],"weight":100,"floor":0.25},{"name":"others","weight":1,"floor":0.05}],
 "limit":{"least":2},"memory":{"tight":0.7,"scarce":0.8,"critical":0.88},
 "reserve":{"connections":0.125,"cheap_per_s":4000,"cheap_each_per_s":100},
 "store":{"dir":%q},"life":{"file":%q,"valid_ms":60000}}`, dir, filepath.Join(dir, "life")))
	ops, agent := awaitText(t, p, "mgmt: listening on "), awaitText(t, p, "snmp: listening on ")
	if _, err := p.Await(30*time.Second, 0, "recovery: reads"); err != nil {
		t.Fatal(err)
	}
	balancer := &transcript{masks: []mask{timestampMask, retryAfterMask}}
	b := dialWire(t, p.addr, balancer)
	b.send(mpRequest(1, "oddaja", "sheet", requestFields("a1", "k", "key-1", "n", "1", "b", "12345")...)) // of another boot
	b.readValue()
	b.send(mpRequest(2, "oddaja", "sheet", requestFields("a2", "k", "key-1")...)) // earlier runs are not known yet: it fails
	b.readValue()
	b.send(mpRequest(3, "lestvica", "hello", requestFields("a3")...))
	b.readValue()
	b.send(append([]byte("\x94\x00\x04\xa5probe\x91"), mpMap("g", "r1", "gn", "rt", "gl", "1000", "gs", "10", "gp", "100", "gw", "50", "gd", "0", "fl", "3")...))
	b.readValue()

	statusLink := dialWire(t, p.addr, &transcript{})
	var state []byte
	for range 300 { // the status has the pools a few ticks after the start
		statusLink.send([]byte("\x94\x00\x05\xa6status\x91\x80"))
		if state = statusLink.readValue(); bytes.Contains(state, []byte(`"pools":[`)) {
			break
		}
		time.Sleep(100 * time.Millisecond) // more frequent status requests are paced and counted
	}
	statusLink.Close()
	at := bytes.Index(state, []byte(`{"`))
	var shape bytes.Buffer
	writeShape(t, &shape, json.NewDecoder(bytes.NewReader(state[at:])), "", true)
	compareWireFile(t, "status.txt", shape.Bytes())

	snmp := &transcript{}
	walkMIB(t, agent, snmp)
	snmp.compare(t, "snmp.txt")

	calls := &transcript{masks: []mask{{regexp.MustCompile(
		`\d+(\\r\\nConnection: close\\r\\n\\r\\n)` + regexp.QuoteMeta(dir) + `.*`), "<n>$1<path>"}}}
	for _, text := range managementCalls {
		l := dialWire(t, ops, calls)
		l.send([]byte(text))
		l.readAll()
	}
	calls.compare(t, "operators.txt")

	// On SIGTERM the server sends its peers lastCall, and lastTaken with the last request number that it
	// accepted.
	_ = p.Signal(syscall.SIGTERM)
	b.readValue()
	b.readValue()
	balancer.compare(t, "cell.txt")
}

// writeShape writes every key of a JSON value on a line of its own, in order, with the kind of its value.
// Texts and booleans are written as they are. The parts of the status after the allocations, and the fields
// of the store, have no fixed order and are sorted.
func writeShape(t *testing.T, out *bytes.Buffer, d *json.Decoder, path string, top bool) {
	t.Helper()
	token, err := d.Token()
	if err != nil {
		t.Fatal(err)
	}
	switch v := token.(type) {
	case json.Delim:
		var parts []string
		for d.More() {
			at := path + "[]"
			if v == '{' {
				key, err := d.Token()
				if err != nil {
					t.Fatal(err)
				}
				at = path + "." + key.(string)
			}
			var part bytes.Buffer
			writeShape(t, &part, d, at, false)
			if v == '{' || len(parts) == 0 || parts[len(parts)-1] != part.String() { // consecutive elements of one shape are written once
				parts = append(parts, part.String())
			}
		}
		if _, err := d.Token(); err != nil {
			t.Fatal(err)
		}
		n := slices.IndexFunc(parts, func(s string) bool { return strings.HasPrefix(s, ".allocations") })
		if path == ".store" || top && n >= 0 {
			slices.Sort(parts[n+1:])
		}
		fmt.Fprintf(out, "%s %v\n%s", path, v, strings.Join(parts, ""))
	case float64:
		fmt.Fprintf(out, "%s number\n", path)
	default:
		fmt.Fprintf(out, "%s %v\n", path, v)
	}
}

// BER, as far as an SNMP walk needs it.

func berElement(tag byte, parts ...[]byte) []byte {
	body := bytes.Join(parts, nil)
	if len(body) < 0x80 {
		return append([]byte{tag, byte(len(body))}, body...)
	}
	return append([]byte{tag, 0x82, byte(len(body) >> 8), byte(len(body))}, body...)
}

// splitElement splits the first element off b.
func splitElement(t *testing.T, b []byte) (tag byte, body, rest []byte) {
	t.Helper()
	n, at := int(b[1]), 2
	if n >= 0x80 {
		width := n & 0x7f
		for n = 0; at < 2+width; at++ {
			n = n<<8 | int(b[at])
		}
	}
	return b[0], b[at : at+n], b[at+n:]
}

// snmpRequest sends one request and returns the request, the response, and the names and values of the
// response.
func snmpRequest(t *testing.T, conn net.Conn, kind byte, names ...[]byte) (request, response []byte, list [][2][]byte) {
	t.Helper()
	var binds [][]byte
	for _, n := range names {
		binds = append(binds, berElement(0x30, berElement(0x06, n), []byte{0x05, 0x00}))
	}
	zero := []byte{0x02, 0x01, 0x00}
	request = berElement(0x30, []byte{0x02, 0x01, 0x01}, berElement(0x04, []byte("kviz")),
		berElement(kind, []byte{0x02, 0x01, 0x2a}, zero, zero, berElement(0x30, binds...)))
	b := make([]byte, 2000)
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := conn.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	response = b[:n]
	_, b, _ = splitElement(t, response)
	_, _, b = splitElement(t, b) // version
	_, _, b = splitElement(t, b) // community
	_, b, _ = splitElement(t, b) // the response
	for range 3 {
		_, _, b = splitElement(t, b)
	}
	_, b, _ = splitElement(t, b)
	for len(b) > 0 {
		var one []byte
		_, one, b = splitElement(t, b)
		_, name, value := splitElement(t, one)
		list = append(list, [2][]byte{name, value})
	}
	return request, response, list
}

// walkMIB reads all objects by GetNext and records each name with its value. Of times, gauges and counters,
// which differ from run to run, it records the type instead of the value. Then it records one Get and one Set
// with their responses.
func walkMIB(t *testing.T, addr string, tr *transcript) {
	t.Helper()
	conn, err := net.Dial("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	root := []byte{0x2b, 6, 1, 4, 1, 0x81, 0xfd, 0x59, 1}
	name, health := root, []byte(nil)
	for {
		_, _, list := snmpRequest(t, conn, 0xa1, name)
		name = list[0][0]
		value := list[0][1]
		if value[0] == 0x82 { // end of the MIB view
			tr.record("<", value)
			break
		}
		text := fmt.Sprintf("% x", name)
		if part := name[len(root):]; part[0] == 2 { // a counter, indexed by name
			text = fmt.Sprintf("% x %s", name[:len(root)+3], name[len(root)+3:])
		} else if part[0] == 1 && part[1] == 5 {
			health = bytes.Clone(name)
		}
		switch value[0] {
		case 0x02, 0x04:
			text += fmt.Sprintf(": % x", value)
		default:
			text += fmt.Sprintf(": %#x", value[0])
		}
		tr.record("<", []byte(text))
	}
	object := func(n ...byte) []byte { return append(bytes.Clone(root), n...) }
	for _, kind := range []byte{0xa0, 0xa3} {
		request, response, _ := snmpRequest(t, conn, kind, object(1, 1, 0), object(1, 2, 0), object(1, 4, 0), health,
			append(object(2, 1, 2), "answered.msgpack.lestvica.served"...), append(object(2, 1, 2), "none"...), object(9))
		tr.record(">", request)
		tr.record("<", response)
	}
}

// Records a router between a balancer and a server: the forwarded requests, the forwarded answers and the
// fields of its probes. Guards against a router whose messages servers of another build do not understand.
func TestWireOfRouter(t *testing.T) {
	t.Parallel()
	idMask := mask{regexp.MustCompile(`^\\x94\\x0([01])(\\x..|\\n|\\r|.)`), `\x94\x0$1<n>`}
	server, balancer := &transcript{masks: []mask{idMask, timestampMask,
		{regexp.MustCompile(`(\\xa1g\\x..)[0-9]+\.[0-9a-f]+`), "$1<rules>"},
		{regexp.MustCompile(`(\\xa2fl\\xa\d)\d+`), "$1<n>"},
		{regexp.MustCompile(`(\\xa1d\\xa4)\d+`), "$1<ms>"},
	}}, &transcript{masks: []mask{timestampMask, retryAfterMask}}
	var recordedProbes sync.Map
	addr := serveWire(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			m, err := mpValue(in)
			if err != nil {
				return
			}
			if m[1] != 0x00 {
				server.record("<", m)
				continue
			}
			answer := append([]byte{0x94, 0x01, m[2]}, "\xc0\x92\xc4\x04DONE\x81\xa1b\xad1790000000000"...)
			switch {
			case bytes.Contains(m, []byte("\xa5probe")):
				answer = append([]byte{0x94, 0x01, m[2]}, "\xc0\x92\xc3\x81\xa1b\xad1790000000000"...)
				if _, noted := recordedProbes.LoadOrStore(string(m[3:9]), true); noted {
					conn.Write(answer)
					continue
				}
			case bytes.HasSuffix(m, []byte("fail")):
				answer = append([]byte{0x94, 0x01, m[2]}, "\x92\xa5Error\x81\xa1b\xad1790000000000\xc0"...)
			}
			server.record("<", m)
			server.record(">", answer)
			conn.Write(answer)
		}
	})
	site := writeFile(t, "router.json", fmt.Sprintf(`{"name":"rt","seed":"c0ffee","stop_ms":4000,"listen":"127.0.0.1:0",`+
		`"limits":{"memory_mb":64,"sockets":256},`+wireSettings+`}`, "none"))
	cells := writeFile(t, "cells.json", fmt.Sprintf(`{"version":1,"window_ms":30000,"skew_ms":100,"lease_ms":1000,"patience_ms":1000,
 "cells":[{"name":"a","capacity":40}],"servers":[{"name":"s1","addr":%q,"cell":"a"}],
 "tenants":[{"name":"kvizmojster","rate":60,"homes":[{"cell":"a"}]},{"name":"","rate":0,"homes":[{"cell":"a"}]}]}`, addr))
	p := startServing(t, "route", "--config", site, "--edge", writeFile(t, "route.json", fmt.Sprintf(
		`{"status":true,"fleet":{"map":%q,"probe_ms":100,"retries":0,"hedges":0}}`, cells)))
	if _, err := p.Await(30*time.Second, 0, "recovery: full"); err != nil {
		t.Fatal(err)
	}
	b := dialWire(t, p.addr, balancer)
	for i, message := range [][]byte{
		[]byte("\x94\x00\x00\xa5probe\x91\x80"),
		mpRequest(1, "krog", "work", requestFields("a1", "t", "kvizmojster")...),
		mpRequest(2, "lestvica", "work", requestFields("a2", "t", "kvizmojster", "f", "3", "p", "0.5")...),
		mpRequest(3, "oddaja", "work", requestFields("a3", "t", "kvizmojster", "k", "key-1")...),
		mpRequest(4, "oddaja", "work", requestFields("a4", "t", "kvizmojster", "k", "key-1")...),
		mpRequest(5, "krog", "fail", requestFields("a5", "t", "kvizmojster")...),
		mpRequest(6, "krog", "work", requestFields("a6")...),
		mpRequest(7, "nothing", "work", requestFields("a7", "t", "kvizmojster")...),
	} {
		if i == 1 {
			server.await(t, "probe")
		}
		b.send(message)
		b.readValue()
	}
	statusLink := dialWire(t, p.addr, &transcript{})
	statusLink.send([]byte("\x94\x00\x05\xa6status\x91\x80"))
	state := statusLink.readValue()
	statusLink.Close()
	var shape bytes.Buffer
	writeShape(t, &shape, json.NewDecoder(bytes.NewReader(state[bytes.Index(state, []byte(`{"`)):])), "", true)
	compareWireFile(t, "router-status.txt", regexp.MustCompile(`[0-9]+\.[0-9a-f]{16}`).ReplaceAll(shape.Bytes(), []byte("<rules>")))
	balancer.compare(t, "router-balancer.txt")
	server.compare(t, "router-server.txt")
}
