package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// checksumLength is the length of a snapshot's checksum, in hex digits of a CRC-32.
const checksumLength = 8

// Snapshot returns the state as it is stored and sent to members: a checksum, and JSON.
func (s *State) Snapshot() ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return append([]byte(checksum(b)), b...), nil
}

// Restore reads a snapshot. One whose checksum is wrong is an error: a member that trusted it would answer otherwise than the others.
func Restore(b []byte) (*State, error) {
	if len(b) < checksumLength || string(b[:checksumLength]) != checksum(b[checksumLength:]) {
		return nil, errors.New("snapshot: its checksum is wrong")
	}
	s := New(0)
	if err := json.Unmarshal(b[checksumLength:], s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%0*x", checksumLength, crc32.ChecksumIEEE(body))
}
