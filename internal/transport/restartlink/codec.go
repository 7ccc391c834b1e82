package restartlink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"silverpath/internal/policy/hotrestart"
)

// A frame is its length as four bytes, then a version, the kind, flags, and what the kind brings: numbers of eight bytes, and of a run
// texts with their length before them. All numbers are big-endian.
const (
	version      = 1
	frameHead    = 3       // bytes of version, kind and flags
	maxFrame     = 1 << 20 // bytes: of a result there are 4 KiB on the platform; an application server's may be larger
	minRunLength = 4*8 + 1 + 3*4
	readChunk    = 4 << 10 // bytes: what a length promises is allocated as it comes
)

const (
	flagSole = 1 << iota
	flagEvacuated
	flagReady
)

// errFrame is of bytes that are no frame: the link ends, and is counted as malformed.
var errFrame = errors.New("bad frame")

// appendMessage appends a message's frame.
func appendMessage(b []byte, m hotrestart.Message) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, version, byte(m.Kind), flags(m))
	switch m.Kind {
	case hotrestart.Hello:
		for _, n := range []int64{m.StartedAt, m.PeerStartedAt, m.EvacuationSeq, m.UnknownUntil} {
			b = binary.BigEndian.AppendUint64(b, uint64(n))
		}
	case hotrestart.Status:
		b = binary.BigEndian.AppendUint64(b, uint64(m.EvacuationSeq))
	case hotrestart.Run, hotrestart.Released, hotrestart.Claim, hotrestart.Grant, hotrestart.Denied:
		b = appendExecution(b, m.Execution)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

func appendExecution(b []byte, e hotrestart.Execution) []byte {
	for _, n := range []uint64{e.Fingerprint, uint64(e.ReceivedAt), uint64(e.ExpiresAt), uint64(e.Window)} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	b = append(b, byte(e.Stage))
	for _, text := range []string{e.Key, e.ID} {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
	}
	return append(binary.BigEndian.AppendUint32(b, uint32(len(e.Result))), e.Result...)
}

func flags(m hotrestart.Message) (n byte) {
	for _, f := range []struct {
		set bool
		bit byte
	}{{m.Sole, flagSole}, {m.Evacuated, flagEvacuated}, {m.Ready, flagReady}} {
		if f.set {
			n |= f.bit
		}
	}
	return n
}

// readMessage reads one frame into the buffer, which it returns, grown where it had to be. Memory is taken as its bytes come, whatever its
// length promises. An error is one of parseMessage, or of the reader: io.EOF between frames, io.ErrUnexpectedEOF in one.
func readMessage(r *bufio.Reader, frame []byte) (m hotrestart.Message, _ []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return m, frame, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > maxFrame || n < frameHead {
		return m, frame, fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	frame = frame[:0]
	for len(frame) < n {
		have := len(frame)
		frame = append(frame, make([]byte, min(readChunk, n-have))...)
		if _, err = io.ReadFull(r, frame[have:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return m, frame, fmt.Errorf("in a frame: %w", err)
		}
	}
	m, err = parseMessage(frame)
	return m, frame, err
}

// parseMessage reads the message of a frame without its length. An error is errFrame, with what is wrong.
func parseMessage(b []byte) (m hotrestart.Message, err error) {
	if len(b) < frameHead || b[0] != version {
		return m, fmt.Errorf("%w: of another version", errFrame)
	}
	m.Kind = hotrestart.Kind(b[1])
	m.Sole, m.Evacuated, m.Ready = b[2]&flagSole != 0, b[2]&flagEvacuated != 0, b[2]&flagReady != 0
	b = b[frameHead:]
	switch m.Kind {
	case hotrestart.Hello:
		if len(b) != 4*8 {
			return m, fmt.Errorf("%w: hello of %d bytes", errFrame, len(b))
		}
		for i, n := range []*int64{&m.StartedAt, &m.PeerStartedAt, &m.EvacuationSeq, &m.UnknownUntil} {
			*n = int64(binary.BigEndian.Uint64(b[8*i:]))
		}
	case hotrestart.Status:
		if len(b) != 8 {
			return m, fmt.Errorf("%w: status of %d bytes", errFrame, len(b))
		}
		m.EvacuationSeq = int64(binary.BigEndian.Uint64(b))
	case hotrestart.SyncComplete:
		if len(b) != 0 {
			return m, fmt.Errorf("%w: %d bytes too many", errFrame, len(b))
		}
	case hotrestart.Run, hotrestart.Released, hotrestart.Claim, hotrestart.Grant, hotrestart.Denied:
		m.Execution, err = parseExecution(b)
	default:
		return m, fmt.Errorf("%w: kind %d", errFrame, m.Kind)
	}
	return m, err
}

// parseExecution reads a run. What it returns shares nothing with what it read.
func parseExecution(b []byte) (e hotrestart.Execution, err error) {
	if len(b) < minRunLength {
		return e, fmt.Errorf("%w: a run of %d bytes", errFrame, len(b))
	}
	number := func() int64 {
		n := int64(binary.BigEndian.Uint64(b))
		b = b[8:]
		return n
	}
	e.Fingerprint, e.ReceivedAt, e.ExpiresAt, e.Window = uint64(number()), number(), number(), time.Duration(number())
	e.Stage = hotrestart.Stage(b[0])
	b = b[1:]
	text := func() []byte {
		if err != nil || len(b) < 4 {
			err = errFrame
			return nil
		}
		n := int(binary.BigEndian.Uint32(b))
		if b = b[4:]; n > len(b) {
			err = fmt.Errorf("%w: %d bytes of %d", errFrame, len(b), n)
			return nil
		}
		t := b[:n]
		b = b[n:]
		return t
	}
	e.Key, e.ID = string(text()), string(text())
	if t := text(); len(t) > 0 {
		e.Result = append([]byte(nil), t...)
	}
	if err == nil && (len(b) != 0 || e.Stage > hotrestart.Failed || e.Key == "" || e.Window < 0) {
		err = errFrame
	}
	return e, err
}
