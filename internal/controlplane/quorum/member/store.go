package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/policy/statemachine"
)

// Identity identifies a member by its disk. An empty disk gets a new ID. It is thus a new member without a vote until it is added to the
// group, even if its name was used before: a member that lost its disk has lost the entries that it acknowledged.
type Identity struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`
	Starts uint64 `json:"starts"` // process starts on this disk
	// Group is the ID of the member's group; empty while it belongs to none.
	Group string `json:"group,omitempty"`
}

// DiskFaultHook is called before every write of a store; only test programs set it. It may block, to simulate a stalled disk, or return
// an error, to simulate a full or failed disk.
var DiskFaultHook func(op string) error

// store keeps the raft log of a member on disk, and a copy in memory for the library to read. Every write is one transaction, which is
// synced before the write returns. After an error all further writes fail: the state of the disk is unknown, and data that may not be
// durable must not be acknowledged.
type store struct {
	db     *bbolt.DB
	memory *raft.MemoryStorage
	failed error
	syncs  uint64
}

// Buckets and keys of the database, with their names on disk.
var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("who")
	keyHardState = []byte("hard")
	keySnap      = []byte("snapshot")
	keyMarks     = []byte("marks")
	keyPeers     = []byte("peers")
	keyFormat    = []byte("format")
)

// storeFormat is the version of the database format. A build rejects a database of another version.
const storeFormat = "1"

// openStore opens or creates the database of a member and loads it into memory. It returns an error after a second if another process has
// the database open.
func openStore(path string) (*store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &store{db: db, memory: raft.NewMemoryStorage()}
	if err := s.load(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, nil
}

// load reads the snapshot, the term and vote, and the log entries that follow the snapshot from disk into memory.
func (s *store) load() error {
	err := s.update("open", func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if format := meta.Get(keyFormat); format != nil && string(format) != storeFormat {
			return fmt.Errorf("database format is %q, but this build supports only %q", format, storeFormat)
		}
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		return meta.Put(keyFormat, []byte(storeFormat))
	})
	if err != nil {
		return err
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if b := meta.Get(keySnap); b != nil {
			snap := &pb.Snapshot{}
			if err := proto.Unmarshal(b, snap); err != nil {
				return fmt.Errorf("failed to decode the snapshot: %w", err)
			}
			if err := s.memory.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if b := meta.Get(keyHardState); b != nil {
			hardState := &pb.HardState{}
			if err := proto.Unmarshal(b, hardState); err != nil {
				return fmt.Errorf("failed to decode the term and vote: %w", err)
			}
			if err := s.memory.SetHardState(hardState); err != nil {
				return err
			}
		}
		first, _ := s.memory.FirstIndex()
		var entries []*pb.Entry
		err := tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			if binary.BigEndian.Uint64(k) < first {
				return nil
			}
			entry := &pb.Entry{}
			if err := proto.Unmarshal(v, entry); err != nil {
				return fmt.Errorf("failed to decode the entry with key %x: %w", k, err)
			}
			entries = append(entries, entry)
			return nil
		})
		if err != nil {
			return err
		}
		return s.memory.Append(entries)
	})
}

// update runs one write transaction. After an error, every later call returns the same error.
func (s *store) update(op string, write func(tx *bbolt.Tx) error) error {
	if s.failed != nil {
		return s.failed
	}
	var err error
	if DiskFaultHook != nil {
		err = DiskFaultHook(op)
	}
	if err == nil {
		s.syncs++
		err = s.db.Update(write)
	}
	if err != nil {
		s.failed = fmt.Errorf("writing to the disk (%s): %w", op, err)
	}
	return s.failed
}

// entryKey returns the key of an entry: its index in big-endian order, so that keys sort by index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// getJSON reads and decodes a value from the meta bucket. It returns the zero value if the key is missing.
func getJSON[T any](s *store, key []byte) (v T, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketMeta).Get(key); b != nil {
			return json.Unmarshal(b, &v)
		}
		return nil
	})
	return v, err
}

// putJSON writes a value to the meta bucket as JSON.
func putJSON(tx *bbolt.Tx, key []byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

// putProto writes a message of the raft library to the meta bucket.
func putProto(tx *bbolt.Tx, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

// writeBootstrap makes the member one of the first members of a group. The initial state is stored as a snapshot at index 1, without any
// log entry before it.
func (s *store) writeBootstrap(identity Identity, state *statemachine.State) error {
	data, err := state.Snapshot()
	if err != nil {
		return err
	}
	conf := &pb.ConfState{}
	for id := range state.Members {
		conf.Voters = append(conf.Voters, id)
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	hardState := &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	err = s.update("found", func(tx *bbolt.Tx) error {
		return errors.Join(putJSON(tx, keyIdentity, identity), putProto(tx, keySnap, snap), putProto(tx, keyHardState, hardState))
	})
	if err != nil {
		return err
	}
	if err := s.memory.SetHardState(hardState); err != nil {
		return err
	}
	return s.memory.ApplySnapshot(snap)
}

// writeJoin assigns the member to an existing group, whose members it stores. The member has no vote until the group adds it.
func (s *store) writeJoin(identity Identity, peers []statemachine.Member) error {
	return s.update("join", func(tx *bbolt.Tx) error {
		return errors.Join(putJSON(tx, keyIdentity, identity), putJSON(tx, keyPeers, peers))
	})
}

// save writes what must be durable before a message that depends on it is sent: the term and vote, entries, a received snapshot, and the
// marks of other members. Any of them may be nil.
func (s *store) save(hardState *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, marks map[uint64]diskMark) error {
	hasSnapshot := snap != nil && snap.GetMetadata().GetIndex() > 0
	err := s.update("save", func(tx *bbolt.Tx) error {
		if marks != nil {
			if err := putJSON(tx, keyMarks, marks); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		if hasSnapshot { // the snapshot replaces all entries
			if err := errors.Join(putProto(tx, keySnap, snap), deleteEntries(log, 0, ^uint64(0))); err != nil {
				return err
			}
		}
		if err := putEntries(log, entries); err != nil {
			return err
		}
		if hardState != nil {
			return putProto(tx, keyHardState, hardState)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if hasSnapshot {
		if err := s.memory.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := s.memory.SetHardState(hardState); err != nil {
			return err
		}
	}
	return s.memory.Append(entries)
}

// putEntries writes entries and deletes all present ones from the first index on: those came from a leader that did not commit them.
func putEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
		return err
	}
	for _, entry := range entries {
		b, err := proto.Marshal(entry)
		if err == nil {
			err = log.Put(entryKey(entry.GetIndex()), b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries with indexes in [from, to).
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // a bbolt cursor skips keys if they are deleted during the iteration
	c := log.Cursor()
	for k, _ := c.Seek(entryKey(from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// compact stores the state at an index as a snapshot and deletes the log before it. It keeps the last keep entries, or fewer if they
// exceed keepBytes: members that are only slightly behind catch up from those entries and need no snapshot.
func (s *store) compact(index uint64, conf *pb.ConfState, data []byte, keep uint64, keepBytes int) error {
	snap, err := s.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	upTo := index - min(index, keep)
	first, _ := s.memory.FirstIndex()
	for i, bytes := index, 0; i > max(upTo, first); i-- {
		entries, err := s.memory.Entries(i, i+1, noSizeLimit)
		if err != nil || len(entries) == 0 {
			break
		}
		if bytes += len(entries[0].GetData()); bytes > keepBytes {
			upTo = i
			break
		}
	}
	err = s.update("compact", func(tx *bbolt.Tx) error {
		if err := putProto(tx, keySnap, snap); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(bucketLog), 0, upTo)
	})
	if err == nil && upTo > first {
		err = s.memory.Compact(upTo)
	}
	return err
}

const noSizeLimit = ^uint64(0) // bytes: reads a single entry of any length

func (s *store) close() error { return s.db.Close() }
