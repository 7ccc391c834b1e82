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

// Identity is who a member is, by its disk. An empty disk gets a new number, and so is a member that has no vote until it was added,
// whatever its name: it has forgotten what it acknowledged.
type Identity struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`
	Starts uint64 `json:"starts"` // of the program on this disk
	// Group is the ID of the group that it belongs to; empty while it belongs to none.
	Group string `json:"group,omitempty"`
}

// DiskFaultHook is asked before every write of a store, in test programs only: it may wait, as a disk that stalls, or return the
// error of one that is full or has failed.
var DiskFaultHook func(op string) error

// store keeps a member's log on disk, with the same in memory for the library to read. Every write is one transaction, synced before it
// returns. After an error nothing more is written: what is not known to be durable can't be acknowledged, and is not trusted.
type store struct {
	db     *bbolt.DB
	memory *raft.MemoryStorage
	failed error
	syncs  uint64
}

// Buckets and keys of the database, by their names on disk.
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

// storeFormat is the version of what is on disk. A build refuses one that it does not know.
const storeFormat = "1"

// openStore opens or creates the database of a member, and reads it into memory.
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

// load reads what is on disk into memory: the snapshot, the term and vote, and the entries after the snapshot.
func (s *store) load() error {
	err := s.update("open", func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if format := meta.Get(keyFormat); format != nil && string(format) != storeFormat {
			return fmt.Errorf("format %q, this build knows %q", format, storeFormat)
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
				return fmt.Errorf("its snapshot: %w", err)
			}
			if err := s.memory.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if b := meta.Get(keyHardState); b != nil {
			hardState := &pb.HardState{}
			if err := proto.Unmarshal(b, hardState); err != nil {
				return fmt.Errorf("its term: %w", err)
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
				return fmt.Errorf("entry %x: %w", k, err)
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

// update makes one transaction. After an error every later one returns the same.
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

// entryKey is the key of an entry: its index, so that they stand in their order.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// getJSON reads a value of the member's own, the zero value where there is none.
func getJSON[T any](s *store, key []byte) (v T, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketMeta).Get(key); b != nil {
			return json.Unmarshal(b, &v)
		}
		return nil
	})
	return v, err
}

// putJSON writes a value of the member's own.
func putJSON(tx *bbolt.Tx, key []byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

// putProto writes a value of the raft library's.
func putProto(tx *bbolt.Tx, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

// writeBootstrap makes the member one of a group whose first members are given: the group's state is its first snapshot, which no entry
// led to.
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

// writeJoin makes the member one that listens to a group.
func (s *store) writeJoin(identity Identity, peers []statemachine.Member) error {
	return s.update("join", func(tx *bbolt.Tx) error {
		return errors.Join(putJSON(tx, keyIdentity, identity), putJSON(tx, keyPeers, peers))
	})
}

// save writes what must last before a message speaks of it: the term and vote, entries, a snapshot that was received, marks of others. Any
// of them may be nil.
func (s *store) save(hardState *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, marks map[uint64]diskMark) error {
	hasSnapshot := snap != nil && snap.GetMetadata().GetIndex() > 0
	err := s.update("save", func(tx *bbolt.Tx) error {
		if marks != nil {
			if err := putJSON(tx, keyMarks, marks); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		if hasSnapshot { // it is in the place of all entries
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

// putEntries writes entries in the place of all from the first of them on: those were of a leader that had no majority.
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

// deleteEntries deletes entries from one index up to, not with, another.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // a cursor passes over keys where it deletes as it goes
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

// compact puts the state at an index in the place of the log before it, but for the last keep entries, or fewer if they are more than
// keepBytes: members that are a little behind get those, and need no snapshot.
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

const noSizeLimit = ^uint64(0) // bytes: one entry is read, however long

func (s *store) close() error { return s.db.Close() }
