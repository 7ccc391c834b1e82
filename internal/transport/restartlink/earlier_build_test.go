package restartlink

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/policy/hotrestart"
)

// The frames in testdata were recorded between two processes of an earlier build, from before a renaming of the code, during one takeover.
// The predecessor (elder.hex) ran the keys elder-done, elder-runs and elder-fails. The successor (younger.hex) was granted the key
// younger-run, and was evacuated and rejoined. The constants are offsets, within a frame, of fields that the tests replace or do not compare.
const (
	startedAtOffset  = 7  // Hello: the sender's start, followed by the peer's
	receivedAtOffset = 15 // Run or Claim: when its attempt was received
	expiresAtOffset  = 23 // Run or Claim: when its last attempt is past
)

// recordedFrames returns the recorded frames of one side, in order.
func recordedFrames(t *testing.T, side string) (frames [][]byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", side+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Fields(string(text)) {
		b, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, b)
	}
	return frames
}

// withTimes returns a copy of a run's frame with its times set as if it was received at now. Every recorded run has a window of 10 s and
// an attempt with a deadline of 20 s.
func withTimes(frame []byte, now time.Time) []byte {
	b := append([]byte(nil), frame...)
	binary.BigEndian.PutUint64(b[receivedAtOffset:], uint64(now.UnixNano()))
	binary.BigEndian.PutUint64(b[expiresAtOffset:], uint64(now.Add(30*time.Second).UnixNano()))
	return b
}

// hexWithoutTimes returns a frame in hexadecimal digits, with the times that differ between test runs set to zero.
func hexWithoutTimes(b []byte) string {
	b = append([]byte(nil), b...)
	switch b[5] {
	case 1:
		clear(b[startedAtOffset : startedAtOffset+16])
	case 3, 6:
		clear(b[receivedAtOffset : receivedAtOffset+16])
	}
	return hex.EncodeToString(b)
}

// earlierProcess simulates a process of the earlier build. It sends and reads raw frames.
type earlierProcess struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// takeEarlierSlot takes a slot as the earlier build did, by a lock on a file that is named after the service. It returns the function that
// gives the path of a slot's socket.
func takeEarlierSlot(t *testing.T, dir string, slot int) (socket func(slot int) string) {
	t.Helper()
	h := fnv.New64a()
	io.WriteString(h, "n1")
	stem := filepath.Join(dir, fmt.Sprintf("silverpath-%016x", h.Sum64()))
	if stem != filepath.Join(dir, "silverpath-08b37b07b558d4c0") {
		t.Fatalf("the slot files have the prefix %s", stem)
	}
	f, err := os.OpenFile(fmt.Sprintf("%s.%d", stem, slot), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}); err != nil {
		t.Fatal(err)
	}
	return func(slot int) string { return fmt.Sprintf("%s.%d.sock", stem, slot) }
}

func (p *earlierProcess) send(frames ...[]byte) {
	p.t.Helper()
	for _, f := range frames {
		if _, err := p.conn.Write(f); err != nil {
			p.t.Fatal(err)
		}
	}
}

// expectFrames reads frames, checks that they equal want except for their times, and returns them.
func (p *earlierProcess) expectFrames(name string, want ...[]byte) (frames [][]byte) {
	p.t.Helper()
	for i, w := range want {
		p.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		b := make([]byte, 4)
		if _, err := io.ReadFull(p.r, b); err != nil {
			p.t.Fatalf("%s, frame %d: %v", name, i, err)
		}
		b = append(b, make([]byte, binary.BigEndian.Uint32(b))...)
		if _, err := io.ReadFull(p.r, b[4:]); err != nil {
			p.t.Fatalf("%s, frame %d: %v", name, i, err)
		}
		if got, want := hexWithoutTimes(b), hexWithoutTimes(w); got != want {
			p.t.Errorf("%s, frame %d:\n%s, want\n%s", name, i, got, want)
		}
		frames = append(frames, b)
	}
	return frames
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A process of this build takes over from one of the earlier build. If it read the earlier build's frames differently, it would run
// requests a second time or wait forever. The test sends it the recorded frames and compares its answers byte for byte.
func TestProcessTakesOverFromAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	socket := takeEarlierSlot(t, dir, 0)
	ln, err := net.Listen("unix", socket(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	predecessor, successor := recordedFrames(t, "elder"), recordedFrames(t, "younger")
	p := startProcess(t, dir)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	earlier := &earlierProcess{t, conn, bufio.NewReader(conn)}
	now := time.Now()
	earlier.send(predecessor[0], predecessor[1], withTimes(predecessor[2], now), withTimes(predecessor[3], now), predecessor[4])
	earlier.expectFrames("at the start of the link", successor[:4]...)
	await(t, "the successor serves", p.serves)
	if p.core.PairRole() != hotrestart.Successor {
		t.Errorf("role %v, want successor", p.core.PairRole())
	}
	expectAnswer(t, "a retry of a run that ended in the predecessor", p.attempt("n1", "elder-done", now), core.Served, "elder's result")
	retry := p.attempt("n2", "elder-runs", now)
	newRequest := p.attempt("b1", "younger-run", now)
	earlier.expectFrames("the claim", successor[4])
	earlier.send(predecessor[5])
	await(t, "the granted key runs", func() bool { return len(p.ran()) == 1 })
	p.core.RunEnded("b1", silverpath.OK, time.Millisecond, []byte("younger's result"))
	expectAnswer(t, "the granted key", newRequest, core.Served, "younger's result")
	earlier.expectFrames("the end of the run", successor[5])
	earlier.send(withTimes(predecessor[6], now), withTimes(predecessor[7], now))
	expectAnswer(t, "a retry of a run that was in progress in the predecessor", retry, core.Served, "second result")
	earlier.send(withTimes(predecessor[8], now))
	await(t, "the failure of the predecessor's run is known", func() bool {
		select {
		case a := <-p.attempt("n3", "elder-fails", now):
			return a.Outcome == core.Failed
		case <-time.After(5 * time.Second):
			return false
		}
	})
	p.core.Evacuate()
	earlier.expectFrames("the evacuation", successor[6])
	p.core.Rejoin()
	earlier.expectFrames("the return from evacuation", successor[7])
	if ran := p.ran(); len(ran) != 1 || ran[0] != "b1" {
		t.Errorf("ran %v, want only b1", ran)
	}
}

// A process of the earlier build takes over from one of this build, as when an operator rolls back. The process of this build must list its
// runs, grant keys and accept results in the recorded bytes.
func TestEarlierBuildTakesOverFromAProcess(t *testing.T) {
	dir := t.TempDir()
	predecessor, successor := recordedFrames(t, "elder"), recordedFrames(t, "younger")
	p := startProcess(t, dir)
	await(t, "the predecessor serves", p.serves)
	now := time.Now()
	first := p.attempt("a1", "elder-done", now)
	await(t, "the first run begins", func() bool { return len(p.ran()) == 1 })
	p.core.RunEnded("a1", silverpath.OK, time.Millisecond, []byte("elder's result"))
	expectAnswer(t, "the first attempt", first, core.Served, "elder's result")
	second := p.attempt("a2", "elder-runs", now)
	await(t, "the second run begins", func() bool { return len(p.ran()) == 2 })

	conn, err := net.Dial("unix", takeEarlierSlot(t, dir, 1)(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	earlier := &earlierProcess{t, conn, bufio.NewReader(conn)}
	earlier.send(successor[:4]...)
	earlier.expectFrames("at the start of the link", predecessor[:2]...)
	listed := map[string]bool{}
	for _, f := range earlier.readRuns(2) {
		listed[f] = true
	}
	for _, f := range predecessor[2:4] {
		if !listed[hexWithoutTimes(f)] {
			t.Errorf("run was not listed: %s", hexWithoutTimes(f))
		}
	}
	earlier.expectFrames("the end of the list of runs", predecessor[4])
	await(t, "the successor is ready", p.core.SuccessorReady)
	if p.core.PairRole() != hotrestart.Predecessor {
		t.Errorf("role %v, want predecessor", p.core.PairRole())
	}
	earlier.send(withTimes(successor[4], now))
	earlier.expectFrames("the grant", predecessor[5])
	earlier.send(withTimes(successor[5], now))
	await(t, "a retry of a run that ended in the successor gets its result", func() bool {
		a := <-p.attempt("n1", "younger-run", now)
		return a.Outcome == core.Served && string(a.Body) == "younger's result"
	})
	p.core.RunEnded("a2", silverpath.OK, time.Millisecond, []byte("second result"))
	expectAnswer(t, "the second attempt", second, core.Served, "second result")
	earlier.expectFrames("the end of the second run", predecessor[6])
	third := p.attempt("a3", "elder-fails", now)
	earlier.expectFrames("the start of the third run", predecessor[7])
	await(t, "the third run begins", func() bool { return len(p.ran()) == 3 })
	p.core.RunEnded("a3", silverpath.Failed, time.Millisecond, nil)
	expectAnswer(t, "the third attempt", third, core.Failed, "")
	earlier.expectFrames("the end of the third run", predecessor[8])
	earlier.send(successor[6])
	await(t, "the predecessor is evacuated too", func() bool { ready, _ := p.core.Ready(); return !ready })
	earlier.send(successor[7])
	await(t, "the predecessor has rejoined too", func() bool { ready, _ := p.core.Ready(); return ready })
	// A claim for a key that has a run in this process is denied, after a Run message with that run.
	claim := withTimes(claimForKey(t, "elder-done", successor[4]), now)
	earlier.send(claim)
	earlier.expectFrames("the denied claim", predecessor[2],
		decodeHex(t, "0000003d 01 08 00 0000000000000000 0000000000000000 0000000000000000 0000000000000000 00"+
			"0000000b 00656c6465722d646f6e65 00000002 6231 00000000"))
	if ran := p.ran(); len(ran) != 3 {
		t.Errorf("ran %v, want three runs", ran)
	}
}

// readRuns reads n frames, each of which announces a run. It returns the frames without the times in them; they may come in any order.
func (p *earlierProcess) readRuns(n int) (list []string) {
	p.t.Helper()
	for range n {
		p.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		b := make([]byte, 4)
		if _, err := io.ReadFull(p.r, b); err != nil {
			p.t.Fatal(err)
		}
		b = append(b, make([]byte, binary.BigEndian.Uint32(b))...)
		if _, err := io.ReadFull(p.r, b[4:]); err != nil {
			p.t.Fatal(err)
		}
		list = append(list, hexWithoutTimes(b))
	}
	return list
}

// claimForKey returns the recorded claim with its key replaced.
func claimForKey(t *testing.T, key string, claim []byte) []byte {
	t.Helper()
	const keyOffset = 4 + 3 + 4*8 + 1
	n := int(binary.BigEndian.Uint32(claim[keyOffset:]))
	b := append([]byte(nil), claim[:keyOffset]...)
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(key)+1)), "\x00"+key...)
	b = append(b, claim[keyOffset+4+n:]...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// Each kind of message is encoded in exactly these bytes. The numbers of the kinds and stages are part of the protocol.
func TestBytesOfMessages(t *testing.T) {
	execution := hotrestart.Execution{Key: "\x00k", ID: "9b1f", Fingerprint: 0x0102030405060708, ReceivedAt: 0x1112131415161718, ExpiresAt: 0x2122232425262728,
		Window: time.Second, Stage: hotrestart.Succeeded, Result: []byte("result"), Remote: true}
	const runHex = " 0102030405060708 1112131415161718 2122232425262728 000000003b9aca00 02 00000002 006b 00000004 39623166 00000006 726573756c74"
	queued, running, failed := execution, execution, execution
	queued.Stage, running.Stage, failed.Stage = hotrestart.Queued, hotrestart.Running, hotrestart.Failed
	for _, c := range []struct {
		message hotrestart.Message
		want    string
	}{
		{hotrestart.Message{Kind: hotrestart.Hello, StartedAt: 1, PeerStartedAt: 2, EvacuationSeq: 3, UnknownUntil: 4, Sole: true, Evacuated: true, Ready: true, Execution: execution},
			"00000023 01 01 07 0000000000000001 0000000000000002 0000000000000003 0000000000000004"},
		{hotrestart.Message{Kind: hotrestart.Hello, Sole: true}, "00000023 01 01 01" + strings.Repeat("00", 32)},
		{hotrestart.Message{Kind: hotrestart.Status, EvacuationSeq: 3, StartedAt: 9, Evacuated: true}, "0000000b 01 02 02 0000000000000003"},
		{hotrestart.Message{Kind: hotrestart.Status, Ready: true}, "0000000b 01 02 04 0000000000000000"},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: execution}, "0000003c 01 03 00" + runHex},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: queued}, "0000003c 01 03 00" + strings.Replace(runHex, " 02 ", " 00 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: running}, "0000003c 01 03 00" + strings.Replace(runHex, " 02 ", " 01 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: failed}, "0000003c 01 03 00" + strings.Replace(runHex, " 02 ", " 03 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Released, Execution: execution}, "0000003c 01 04 00" + runHex},
		{hotrestart.Message{Kind: hotrestart.SyncComplete, Execution: execution}, "00000003 01 05 00"},
		{hotrestart.Message{Kind: hotrestart.Claim, Execution: execution}, "0000003c 01 06 00" + runHex},
		{hotrestart.Message{Kind: hotrestart.Grant, Execution: execution}, "0000003c 01 07 00" + runHex},
		{hotrestart.Message{Kind: hotrestart.Denied, Execution: execution}, "0000003c 01 08 00" + runHex},
	} {
		if got, want := hex.EncodeToString(appendMessage(nil, c.message)), strings.ReplaceAll(c.want, " ", ""); got != want {
			t.Errorf("%+v:\n%s, want\n%s", c.message, got, want)
		}
	}
}

// The files of slots and marks keep their names, by which processes of different builds find each other.
func TestNamesOfSlotsAndMarks(t *testing.T) {
	dir := t.TempDir()
	p := startProcess(t, dir)
	await(t, "the process serves", p.serves)
	for _, name := range []string{"silverpath-08b37b07b558d4c0.0", "silverpath-08b37b07b558d4c0.1", "silverpath-08b37b07b558d4c0.0.sock"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	if got := p.link.slots.markPath(1764576000123456789); got != filepath.Join(dir, "silverpath-08b37b07b558d4c0.mark.1764576000123456789") {
		t.Error(got)
	}
}
