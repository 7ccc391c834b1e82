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

// A frame consists of the length of what follows in four bytes, the version, the kind and the flags in one byte each, and the fields of the
// kind. A number has eight bytes, a stage one byte, and a key, ID or result has its length in four bytes before it. All numbers and lengths
// are big-endian.
const (
	protocolVersion  = 1
	frameHeaderBytes = 3       // bytes of version, kind and flags
	maxFrameBytes    = 1 << 20 // bytes; a result has up to 4 KiB on the platform, and that of an application server may be larger
	minRunBytes      = 4*8 + 1 + 3*4
	readChunkBytes   = 4 << 10 // bytes; a frame's buffer grows by this as its bytes arrive
)

const (
	flagSole = 1 << iota
	flagEvacuated
	flagReady
)

// errFrame reports a malformed frame. The link is closed, and the frame is counted as malformed.
var errFrame = errors.New("malformed frame")

// appendMessage appends the frame of a message to b.
func appendMessage(b []byte, m hotrestart.Message) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, protocolVersion, byte(m.Kind), flags(m))
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

// readMessage reads one frame into the buffer frame, which it returns, enlarged if necessary. The buffer grows with the bytes that arrive,
// whatever the length field says. Errors are those of parseMessage and of the reader: io.EOF between frames and io.ErrUnexpectedEOF within
// a frame. A length out of bounds is errFrame.
func readMessage(r *bufio.Reader, frame []byte) (m hotrestart.Message, _ []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return m, frame, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > maxFrameBytes || n < frameHeaderBytes {
		return m, frame, fmt.Errorf("%w: length of %d bytes is out of bounds", errFrame, n)
	}
	frame = frame[:0]
	for len(frame) < n {
		have := len(frame)
		frame = append(frame, make([]byte, min(readChunkBytes, n-have))...)
		if _, err = io.ReadFull(r, frame[have:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return m, frame, fmt.Errorf("failed to read a frame: %w", err)
		}
	}
	m, err = parseMessage(frame)
	return m, frame, err
}

// parseMessage parses a frame without its length field. Errors wrap errFrame.
func parseMessage(b []byte) (m hotrestart.Message, err error) {
	if len(b) < frameHeaderBytes || b[0] != protocolVersion {
		return m, fmt.Errorf("%w: unsupported version", errFrame)
	}
	m.Kind = hotrestart.Kind(b[1])
	m.Sole, m.Evacuated, m.Ready = b[2]&flagSole != 0, b[2]&flagEvacuated != 0, b[2]&flagReady != 0
	b = b[frameHeaderBytes:]
	switch m.Kind {
	case hotrestart.Hello:
		if len(b) != 4*8 {
			return m, fmt.Errorf("%w: hello has %d bytes", errFrame, len(b))
		}
		for i, n := range []*int64{&m.StartedAt, &m.PeerStartedAt, &m.EvacuationSeq, &m.UnknownUntil} {
			*n = int64(binary.BigEndian.Uint64(b[8*i:]))
		}
	case hotrestart.Status:
		if len(b) != 8 {
			return m, fmt.Errorf("%w: status has %d bytes", errFrame, len(b))
		}
		m.EvacuationSeq = int64(binary.BigEndian.Uint64(b))
	case hotrestart.SyncComplete:
		if len(b) != 0 {
			return m, fmt.Errorf("%w: sync-complete with %d extra bytes", errFrame, len(b))
		}
	case hotrestart.Run, hotrestart.Released, hotrestart.Claim, hotrestart.Grant, hotrestart.Denied:
		m.Execution, err = parseExecution(b)
	default:
		return m, fmt.Errorf("%w: unknown kind %d", errFrame, m.Kind)
	}
	return m, err
}

// parseExecution parses a run. The result does not alias b.
func parseExecution(b []byte) (e hotrestart.Execution, err error) {
	if len(b) < minRunBytes {
		return e, fmt.Errorf("%w: run has only %d bytes", errFrame, len(b))
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
			err = fmt.Errorf("%w: field has %d bytes of %d", errFrame, len(b), n)
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
