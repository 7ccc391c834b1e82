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

// Identity is who a member is, by its disk. An empty disk gets a new number, and so is a member that has no vote until it
// was added, whatever its name.
type Identity struct {
	ID     uint64 `json:"id"`
	Name   string `json:"name"`
	Starts uint64 `json:"starts"` // of the program on this disk
	// Group is the number of the group that it belongs to; empty while it belongs to none.
	Group string `json:"group,omitempty"`
}

// diskMark is what a member has said of its disk: neither part falls but on a disk that is older than its words.
type diskMark struct {
	Starts uint64 `json:"starts"`
	Nonce  uint64 `json:"nonce"` // of that start
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
}

// aheadOf reports what of a mark is over what another says.
func (m diskMark) aheadOf(o diskMark) string {
	switch {
	case m.Term > o.Term:
		return fmt.Sprintf("term %d was said before, the disk has %d", m.Term, o.Term)
	case m.Commit > o.Commit:
		return fmt.Sprintf("entry %d was said to be known before, the disk knows %d", m.Commit, o.Commit)
	}
	return ""
}

// DiskFaultHook is asked before every write of a store, in test programs only: it may wait, as a disk that stalls, or return the
// error of one that is full or has failed.
var DiskFaultHook func(op string) error

// store keeps a member's log on disk, with the same in memory for the library to read. Every write is one transaction,
// synced before it returns; after an error nothing more is written, as what was not known to be durable is not trusted.
type store struct {
	db     *bbolt.DB
	memory *raft.MemoryStorage
	failed error
	syncs  uint64
}

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

// storeFormat is the version of what is on disk.
const storeFormat = "1"

func openStore(path string) (*store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s := &store{db: db, memory: raft.NewMemoryStorage()}
	if err := s.load(); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *store) load() error {
	err := s.update("open", func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if f := m.Get(keyFormat); f != nil && string(f) != storeFormat {
			return fmt.Errorf("format %q, this build knows %q", f, storeFormat)
		}
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		return m.Put(keyFormat, []byte(storeFormat))
	})
	if err != nil {
		return err
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		m := tx.Bucket(bucketMeta)
		if b := m.Get(keySnap); b != nil {
			snap := &pb.Snapshot{}
			if err := proto.Unmarshal(b, snap); err != nil {
				return fmt.Errorf("its snapshot: %w", err)
			}
			if err := s.memory.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if b := m.Get(keyHardState); b != nil {
			hard := &pb.HardState{}
			if err := proto.Unmarshal(b, hard); err != nil {
				return fmt.Errorf("its term: %w", err)
			}
			s.memory.SetHardState(hard)
		}
		first, _ := s.memory.FirstIndex()
		var list []*pb.Entry
		err := tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			if binary.BigEndian.Uint64(k) < first {
				return nil
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return fmt.Errorf("entry %x: %w", k, err)
			}
			list = append(list, e)
			return nil
		})
		if err != nil {
			return err
		}
		return s.memory.Append(list)
	})
}

// update makes one transaction. Its error is the last word of this store.
func (s *store) update(op string, do func(tx *bbolt.Tx) error) error {
	if s.failed != nil {
		return s.failed
	}
	var err error
	if DiskFaultHook != nil {
		err = DiskFaultHook(op)
	}
	if err == nil {
		s.syncs++
		err = s.db.Update(do)
	}
	if err != nil {
		s.failed = fmt.Errorf("writing to the disk (%s): %w", op, err)
	}
	return s.failed
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func getJSON[T any](s *store, key []byte) (v T, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketMeta).Get(key); b != nil {
			return json.Unmarshal(b, &v)
		}
		return nil
	})
	return v, err
}

func putJSON(tx *bbolt.Tx, key []byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

func putProto(tx *bbolt.Tx, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(key, b)
}

// writeFounding makes the member one of a group whose first members are given.
func (s *store) writeFounding(who Identity, state *statemachine.State) error {
	data, err := state.Snapshot()
	if err != nil {
		return err
	}
	conf := &pb.ConfState{}
	for id := range state.Members {
		conf.Voters = append(conf.Voters, id)
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	hard := &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	err = s.update("found", func(tx *bbolt.Tx) error {
		return errors.Join(putJSON(tx, keyIdentity, who), putProto(tx, keySnap, snap), putProto(tx, keyHardState, hard))
	})
	if err != nil {
		return err
	}
	s.memory.SetHardState(hard)
	return s.memory.ApplySnapshot(snap)
}

// writeJoin makes the member one that listens to a group.
func (s *store) writeJoin(who Identity, peers []statemachine.Member) error {
	return s.update("join", func(tx *bbolt.Tx) error {
		return errors.Join(putJSON(tx, keyIdentity, who), putJSON(tx, keyPeers, peers))
	})
}

// save keeps what has to last before anything is said of it.
func (s *store) save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, marks map[uint64]diskMark) error {
	whole := snap != nil && snap.GetMetadata().GetIndex() > 0
	err := s.update("save", func(tx *bbolt.Tx) error {
		if marks != nil {
			if err := putJSON(tx, keyMarks, marks); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		if whole {
			if err := putProto(tx, keySnap, snap); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, ^uint64(0)); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			if err := deleteEntries(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			b, err := proto.Marshal(e)
			if err == nil {
				err = log.Put(entryKey(e.GetIndex()), b)
			}
			if err != nil {
				return err
			}
		}
		if hard != nil {
			return putProto(tx, keyHardState, hard)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if whole {
		if err := s.memory.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if hard != nil {
		s.memory.SetHardState(hard)
	}
	return s.memory.Append(entries)
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

// compact puts the state at an index in the place of the log up to some entries before it, and no more bytes of them than given.
func (s *store) compact(index uint64, conf *pb.ConfState, data []byte, keep uint64, keepBytes int) error {
	snap, err := s.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	upTo := index - min(index, keep)
	first, _ := s.memory.FirstIndex()
	for i, bytes := index, 0; i > max(upTo, first); i-- {
		list, err := s.memory.Entries(i, i+1, anyEntrySize)
		if err != nil || len(list) == 0 {
			break
		}
		if bytes += len(list[0].GetData()); bytes > keepBytes {
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

const anyEntrySize = ^uint64(0) // of one entry

func (s *store) close() error { return s.db.Close() }
