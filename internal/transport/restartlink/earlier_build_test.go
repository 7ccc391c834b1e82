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

// The frames in testdata were written by two processes of the build before the code was renamed, one to the other, in one takeover:
// the elder ran elder-done, elder-runs and elder-fails; the younger was granted younger-run, and was evacuated and came back.
// Places of what the test has to change or leave out, after the four bytes of a frame's length:
const (
	stampAt   = 7  // of a hello: the sender's start
	reachedAt = 15 // of a run: when its try reached the machine,
	untilAt   = 23 // and until when it matters
)

// recorded is the frames of one side, in order.
func recorded(t *testing.T, side string) (frames [][]byte) {
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

// moved is a run's frame as if the takeover had been now: its times are those of now. Every run of the recording is of a window of
// 10 s and a try that had 20 s.
func moved(frame []byte, now time.Time) []byte {
	b := append([]byte(nil), frame...)
	binary.BigEndian.PutUint64(b[reachedAt:], uint64(now.UnixNano()))
	binary.BigEndian.PutUint64(b[untilAt:], uint64(now.Add(30*time.Second).UnixNano()))
	return b
}

// untimed is a frame as hexadecimal digits without the times that differ from run to run.
func untimed(b []byte) string {
	b = append([]byte(nil), b...)
	switch b[5] {
	case 1:
		clear(b[stampAt : stampAt+16])
	case 3, 6:
		clear(b[reachedAt : reachedAt+16])
	}
	return hex.EncodeToString(b)
}

// oldProcess is a process of the build before, which lives in a place and sends and reads raw frames.
type oldProcess struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

// oldPlace takes a place as that build did: a lock on its file, by the name of the service.
func oldSlot(t *testing.T, dir string, place int) (socket func(place int) string) {
	t.Helper()
	h := fnv.New64a()
	io.WriteString(h, "n1")
	stem := filepath.Join(dir, fmt.Sprintf("silverpath-%016x", h.Sum64()))
	if stem != filepath.Join(dir, "silverpath-08b37b07b558d4c0") {
		t.Fatalf("the places are at %s", stem)
	}
	f, err := os.OpenFile(fmt.Sprintf("%s.%d", stem, place), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := unix.FcntlFlock(f.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart}); err != nil {
		t.Fatal(err)
	}
	return func(place int) string { return fmt.Sprintf("%s.%d.sock", stem, place) }
}

func (o *oldProcess) send(frames ...[]byte) {
	o.t.Helper()
	for _, f := range frames {
		if _, err := o.conn.Write(f); err != nil {
			o.t.Fatal(err)
		}
	}
}

// reads checks that the frames that come are the given ones but for their times, and returns them.
func (o *oldProcess) reads(what string, want ...[]byte) (frames [][]byte) {
	o.t.Helper()
	for i, w := range want {
		o.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		b := make([]byte, 4)
		if _, err := io.ReadFull(o.r, b); err != nil {
			o.t.Fatalf("%s, frame %d: %v", what, i, err)
		}
		b = append(b, make([]byte, binary.BigEndian.Uint32(b))...)
		if _, err := io.ReadFull(o.r, b[4:]); err != nil {
			o.t.Fatalf("%s, frame %d: %v", what, i, err)
		}
		if got, want := untimed(b), untimed(w); got != want {
			o.t.Errorf("%s, frame %d:\n%s, want\n%s", what, i, got, want)
		}
		frames = append(frames, b)
	}
	return frames
}

func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A new build takes over from the old one. If it read the old one's frames otherwise, it would run again what the old one ran, or
// wait for ever; so the old one's recorded bytes are spoken to it, and what it answers is held byte for byte.
func TestProcessTakesOverFromAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	socket := oldSlot(t, dir, 0)
	ln, err := net.Listen("unix", socket(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	elder, younger := recorded(t, "elder"), recorded(t, "younger")
	p := start(t, dir)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	old := &oldProcess{t, conn, bufio.NewReader(conn)}
	now := time.Now()
	old.send(elder[0], elder[1], moved(elder[2], now), moved(elder[3], now), elder[4])
	old.reads("as the link begins", younger[:4]...)
	await(t, "the new one serves", p.serves)
	if p.core.PairRole() != hotrestart.Successor {
		t.Errorf("it is %v", p.core.PairRole())
	}
	want(t, "a repeat of what the old one ran", p.attempt("n1", "elder-done", now), core.Served, "elder's result")
	repeat := p.attempt("n2", "elder-runs", now)
	fresh := p.attempt("b1", "younger-run", now)
	old.reads("a claim", younger[4])
	old.send(elder[5])
	await(t, "the granted key runs", func() bool { return len(p.ran()) == 1 })
	p.core.RunEnded("b1", silverpath.OK, time.Millisecond, []byte("younger's result"))
	want(t, "the granted key", fresh, core.Served, "younger's result")
	old.reads("how the run ended", younger[5])
	old.send(moved(elder[6], now), moved(elder[7], now))
	want(t, "a repeat of what the old one was running", repeat, core.Served, "second result")
	old.send(moved(elder[8], now))
	await(t, "the failed run is known", func() bool {
		select {
		case a := <-p.attempt("n3", "elder-fails", now):
			return a.Outcome == core.Failed
		case <-time.After(5 * time.Second):
			return false
		}
	})
	p.core.Evacuate()
	old.reads("evacuated", younger[6])
	p.core.Rejoin()
	old.reads("back", younger[7])
	if ran := p.ran(); len(ran) != 1 || ran[0] != "b1" {
		t.Errorf("%v ran", ran)
	}
}

// The other way round: an old build is started beside a new one, as when an operator goes back. The new one tells it what it ran,
// grants it keys, and takes its results, in the recorded bytes.
func TestEarlierBuildTakesOverFromAProcess(t *testing.T) {
	dir := t.TempDir()
	elder, younger := recorded(t, "elder"), recorded(t, "younger")
	p := start(t, dir)
	await(t, "the new one serves", p.serves)
	now := time.Now()
	first := p.attempt("a1", "elder-done", now)
	await(t, "the run begins", func() bool { return len(p.ran()) == 1 })
	p.core.RunEnded("a1", silverpath.OK, time.Millisecond, []byte("elder's result"))
	want(t, "the first", first, core.Served, "elder's result")
	second := p.attempt("a2", "elder-runs", now)
	await(t, "the run begins", func() bool { return len(p.ran()) == 2 })

	conn, err := net.Dial("unix", oldSlot(t, dir, 1)(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	old := &oldProcess{t, conn, bufio.NewReader(conn)}
	old.send(younger[:4]...)
	old.reads("as the link begins", elder[:2]...)
	told := map[string]bool{}
	for _, f := range old.runs(2) {
		told[f] = true
	}
	for _, f := range elder[2:4] {
		if !told[untimed(f)] {
			t.Errorf("not told: %s", untimed(f))
		}
	}
	old.reads("all runs", elder[4])
	await(t, "the old one is ready", p.core.Successor)
	if p.core.PairRole() != hotrestart.Predecessor {
		t.Errorf("it is %v", p.core.PairRole())
	}
	old.send(moved(younger[4], now))
	old.reads("the grant", elder[5])
	old.send(moved(younger[5], now))
	await(t, "a repeat of what the old one ran gets its result", func() bool {
		a := <-p.attempt("n1", "younger-run", now)
		return a.Outcome == core.Served && string(a.Body) == "younger's result"
	})
	p.core.RunEnded("a2", silverpath.OK, time.Millisecond, []byte("second result"))
	want(t, "the second", second, core.Served, "second result")
	old.reads("how the second ended", elder[6])
	third := p.attempt("a3", "elder-fails", now)
	old.reads("that the third begins", elder[7])
	await(t, "the run begins", func() bool { return len(p.ran()) == 3 })
	p.core.RunEnded("a3", silverpath.Failed, time.Millisecond, nil)
	want(t, "the third", third, core.Failed, "")
	old.reads("how the third ended", elder[8])
	old.send(younger[6])
	await(t, "it is evacuated too", func() bool { ready, _ := p.core.Ready(); return !ready })
	old.send(younger[7])
	await(t, "it is back too", func() bool { ready, _ := p.core.Ready(); return ready })
	// A key that has a run here is not granted: it is told, and then said to be taken.
	claim := moved(recordedClaim(t, "elder-done", younger[4]), now)
	old.send(claim)
	old.reads("what is taken", elder[2], unhex(t, "0000003d 01 08 00 0000000000000000 0000000000000000 0000000000000000 0000000000000000 00"+
		"0000000b 00656c6465722d646f6e65 00000002 6231 00000000"))
	if ran := p.ran(); len(ran) != 3 {
		t.Errorf("%v ran", ran)
	}
}

// runs reads so many runs, which come in any order.
func (o *oldProcess) runs(n int) (list []string) {
	o.t.Helper()
	for range n {
		o.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		b := make([]byte, 4)
		if _, err := io.ReadFull(o.r, b); err != nil {
			o.t.Fatal(err)
		}
		b = append(b, make([]byte, binary.BigEndian.Uint32(b))...)
		if _, err := io.ReadFull(o.r, b[4:]); err != nil {
			o.t.Fatal(err)
		}
		list = append(list, untimed(b))
	}
	return list
}

// recordedClaim is the recorded claim for another key.
func recordedClaim(t *testing.T, key string, claim []byte) []byte {
	t.Helper()
	const keyAt = 4 + 3 + 4*8 + 1
	n := int(binary.BigEndian.Uint32(claim[keyAt:]))
	b := append([]byte(nil), claim[:keyAt]...)
	b = append(binary.BigEndian.AppendUint32(b, uint32(len(key)+1)), "\x00"+key...)
	b = append(b, claim[keyAt+4+n:]...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// Every kind of message stands on the link in these bytes and no others; the numbers of kinds and stages are the protocol's.
func TestBytesOfMessages(t *testing.T) {
	flight := hotrestart.Execution{Key: "\x00k", ID: "9b1f", Fingerprint: 0x0102030405060708, ReceivedAt: 0x1112131415161718, ExpiresAt: 0x2122232425262728,
		Window: time.Second, Stage: hotrestart.Succeeded, Result: []byte("result"), Remote: true}
	const run = " 0102030405060708 1112131415161718 2122232425262728 000000003b9aca00 02 00000002 006b 00000004 39623166 00000006 726573756c74"
	held, running, failed := flight, flight, flight
	held.Stage, running.Stage, failed.Stage = hotrestart.Queued, hotrestart.Running, hotrestart.Failed
	for _, c := range []struct {
		message hotrestart.Message
		want    string
	}{
		{hotrestart.Message{Kind: hotrestart.Hello, StartedAt: 1, PeerStartedAt: 2, EvacuationSeq: 3, UnknownUntil: 4, Sole: true, Evacuated: true, Ready: true, Execution: flight},
			"00000023 01 01 07 0000000000000001 0000000000000002 0000000000000003 0000000000000004"},
		{hotrestart.Message{Kind: hotrestart.Hello, Sole: true}, "00000023 01 01 01" + strings.Repeat("00", 32)},
		{hotrestart.Message{Kind: hotrestart.Status, EvacuationSeq: 3, StartedAt: 9, Evacuated: true}, "0000000b 01 02 02 0000000000000003"},
		{hotrestart.Message{Kind: hotrestart.Status, Ready: true}, "0000000b 01 02 04 0000000000000000"},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: flight}, "0000003c 01 03 00" + run},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: held}, "0000003c 01 03 00" + strings.Replace(run, " 02 ", " 00 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: running}, "0000003c 01 03 00" + strings.Replace(run, " 02 ", " 01 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Run, Execution: failed}, "0000003c 01 03 00" + strings.Replace(run, " 02 ", " 03 ", 1)},
		{hotrestart.Message{Kind: hotrestart.Released, Execution: flight}, "0000003c 01 04 00" + run},
		{hotrestart.Message{Kind: hotrestart.SyncComplete, Execution: flight}, "00000003 01 05 00"},
		{hotrestart.Message{Kind: hotrestart.Claim, Execution: flight}, "0000003c 01 06 00" + run},
		{hotrestart.Message{Kind: hotrestart.Grant, Execution: flight}, "0000003c 01 07 00" + run},
		{hotrestart.Message{Kind: hotrestart.Denied, Execution: flight}, "0000003c 01 08 00" + run},
	} {
		if got, want := hex.EncodeToString(appendMessage(nil, c.message)), strings.ReplaceAll(c.want, " ", ""); got != want {
			t.Errorf("%+v:\n%s, want\n%s", c.message, got, want)
		}
	}
}

// Files of places and marks keep their names: two builds find each other by them.
func TestNamesOfSlotsAndMarks(t *testing.T) {
	dir := t.TempDir()
	p := start(t, dir)
	await(t, "it serves", p.serves)
	for _, name := range []string{"silverpath-08b37b07b558d4c0.0", "silverpath-08b37b07b558d4c0.1", "silverpath-08b37b07b558d4c0.0.sock"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	if got := p.link.slots.markPath(1764576000123456789); got != filepath.Join(dir, "silverpath-08b37b07b558d4c0.mark.1764576000123456789") {
		t.Error(got)
	}
}
