package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// checksumLength is the length of a snapshot's CRC-32 checksum, in hex digits.
const checksumLength = 8

// Snapshot returns the state in the format that is stored and sent to members: a checksum, followed by JSON.
func (s *State) Snapshot() ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("failed to encode a snapshot: %w", err)
	}
	return append([]byte(checksum(body)), body...), nil
}

// Restore decodes a snapshot. It returns an error if the checksum does not match, as a member with a damaged snapshot would diverge from
// the other members.
func Restore(b []byte) (*State, error) {
	if len(b) < checksumLength || string(b[:checksumLength]) != checksum(b[checksumLength:]) {
		return nil, errors.New("failed to restore a snapshot: checksum mismatch")
	}
	s := New(0)
	if err := json.Unmarshal(b[checksumLength:], s); err != nil {
		return nil, fmt.Errorf("failed to decode a snapshot: %w", err)
	}
	return s, nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%0*x", checksumLength, crc32.ChecksumIEEE(body))
}
