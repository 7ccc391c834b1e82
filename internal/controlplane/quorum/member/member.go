// Package member runs a member of the group that agrees on the fleet's work. The raft library is a state machine without I/O; the store,
// the wire and the time round it are this package's.
//
// One goroutine, the loop of Run, owns a member's state. What comes from outside (requests, replies, ticks) is handed to it with
// enqueue, so nothing in a Member is locked. Files: member.go the loop, raft.go what the library wants done, propose.go what waits for
// agreement, vouch.go disks that were put back from a copy, peer.go and snapshot_transfer.go the way to other members, requests.go,
// membership.go and config.go the group's requests, store.go the disk.
package member

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
)

// Name is the name of a member's listener in counters and log lines.
const Name = "group"

// Config sets up a member.
type Config struct {
	Name, Group string
	Addr        string // by which other members reach it
	Dir         string
	Tick        time.Duration // of a heartbeat; an election takes electionTicks of them, up to twice that
	Log         zerolog.Logger
	Stats       *metrics.Counters
	Rate        float64 // of its clock, for tests; 0: 1
}

// Bounds and times of a member.
const (
	electionTicks     = 10   // an election takes ten to twenty: a heartbeat may be lost, or late, a few times in a row
	maxPending        = 8192 // requests that wait for agreement: two of each process that there can be
	callQueueLength   = 256  // calls that wait for the loop; beyond it their connections wait
	diskIDBytes       = 8    // of chance in a member's number, and in the number of a start
	databaseFile      = "group.db"
	maxUncommitted    = 8 << 20   // bytes of proposals that wait for a majority: without one they must not fill the leader's memory
	maxMessageEntries = 128 << 10 // bytes of entries in one message: several go in a call
	maxInflight       = 64        // messages to a member that are not acknowledged: a slow one costs no more
)

// Member is one member of the group.
type Member struct {
	cfg       Config
	log       zerolog.Logger
	stats     *metrics.Counters
	identity  atomic.Pointer[Identity]
	startedAt time.Time

	calls   chan func()
	stopped chan struct{}
	status  atomic.Pointer[quorum.Status]

	// The rest is the loop's own.
	store              *store
	node               *raft.RawNode // nil while it belongs to no group
	state              *statemachine.State
	confState          *pb.ConfState
	applied            uint64
	snapshotIndex      uint64
	lessor             *lease.Lessor
	processMonitor     *configstore.ProcessMonitor
	quotaLedger        *quota.Ledger
	capacityMap        capacityMap          // the map that quotaLedger was told of
	readWaiters        []func(ok bool)      // reads that wait for the next confirmation that this member leads
	pendingReadCount   int                  // readWaiters, and those of the confirmation that is under way
	configBatch        []configstore.Change // reports of processes, to be proposed together
	configBatchDone    []func(r statemachine.Result, ok bool)
	bytesSinceSnapshot int                 // of entries
	incoming           *incomingSnapshot   // a snapshot that arrives in parts; nil: none
	marks              map[uint64]diskMark // by member: how far its disk is, as it last said
	marksDirty         bool                // marks are to be stored with the next write
	sentMark           diskMark            // of this member
	markSentAt         time.Time
	vouchedBy          map[uint64]bool // members that vouched for this disk since the start
	confirmed          bool            // a majority did: the member takes part
	peers              map[uint64]*peer
	proposals          map[uint64]func(statemachine.Result, bool) // by number: what waits for the entry to be applied
	reads              map[string]pendingRead                     // by number: what waits for a confirmation
	seq                uint64                                     // of the last number given
	startNonce         uint64                                     // the start's own: numbers of two starts differ
	membersChanged     bool                                       // since the last snapshot
	leading            bool
	caughtUp           bool            // leading, and an entry of its own term was applied: its state is as new as any
	fatal              error           // the disk can't be trusted any more: the loop ends
	ctx                context.Context // Run's
	background         sync.WaitGroup  // goroutines that end with ctx
}

// Open opens a member's disk. One that is empty becomes a member of no group, with a number of its own. Errors name the folder, or say
// that the disk is another member's.
func Open(cfg Config) (*Member, error) {
	s, err := openStore(filepath.Join(cfg.Dir, databaseFile))
	if err != nil {
		return nil, err
	}
	m, err := openWithStore(s, cfg)
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	return m, nil
}

func openWithStore(s *store, cfg Config) (*Member, error) {
	identity, err := recordStart(s, cfg)
	if err != nil {
		return nil, err
	}
	marks, err := getJSON[map[uint64]diskMark](s, keyMarks)
	if err != nil {
		return nil, fmt.Errorf("%s: its marks: %w", cfg.Dir, err)
	}
	if marks == nil {
		marks = map[uint64]diskMark{}
	}
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	m := &Member{
		cfg: cfg, log: cfg.Log.With().Str("process", cfg.Name).Logger(), stats: cfg.Stats, startedAt: time.Now(),
		calls: make(chan func(), callQueueLength), stopped: make(chan struct{}), store: s, marks: marks, lessor: lease.NewLessor(lease.Terms{}),
		processMonitor: configstore.NewProcessMonitor(lease.Terms{}), quotaLedger: quota.NewLedger(lease.Terms{}),
		vouchedBy: map[uint64]bool{}, peers: map[uint64]*peer{}, proposals: map[uint64]func(statemachine.Result, bool){},
		reads: map[string]pendingRead{}, startNonce: randomUint64() &^ (1 << 63), state: statemachine.New(0), confState: &pb.ConfState{},
	}
	m.identity.Store(&identity)
	if identity.Group != "" {
		if err := m.startRaft(); err != nil {
			return nil, err
		}
	}
	m.publishStatus()
	return m, nil
}

// recordStart is who the member is by its disk, with this start counted there.
func recordStart(s *store, cfg Config) (Identity, error) {
	identity, err := getJSON[Identity](s, keyIdentity)
	if err != nil {
		return identity, fmt.Errorf("%s: who it is: %w", cfg.Dir, err)
	}
	if identity.ID == 0 {
		identity = Identity{ID: randomUint64() | 1, Name: cfg.Name}
	}
	if identity.Name != cfg.Name {
		return identity, fmt.Errorf("dir: the disk of member %q, not of %q: set it aside", identity.Name, cfg.Name)
	}
	identity.Starts++
	return identity, s.update("start", func(tx *bbolt.Tx) error { return putJSON(tx, keyIdentity, identity) })
}

func randomUint64() uint64 {
	var b [diskIDBytes]byte
	rand.Read(b[:]) // it never fails: it ends the program instead
	return binary.BigEndian.Uint64(b[:])
}

// clock is the member's monotonic clock.
func (m *Member) clock() time.Duration {
	return time.Duration(float64(time.Since(m.startedAt)) * m.cfg.Rate)
}

// enqueue hands a function to the loop; it is dropped once the member has ended.
func (m *Member) enqueue(call func()) {
	select {
	case m.calls <- call:
	case <-m.stopped:
	}
}

// Close gives up the disk of a member that Run is not called for.
func (m *Member) Close() error { return m.store.close() }

// Run is the member's life. It ends with the context and returns nil, or with an error after which the member's disk can't be trusted:
// the program ends then, and an operator looks at the disk.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	defer m.background.Wait()
	defer cancel()
	defer func() { _ = m.store.close() }() // what had to last was synced before
	defer close(m.stopped)
	m.updatePeers()
	ticker := time.NewTicker(time.Duration(float64(m.cfg.Tick) / m.cfg.Rate))
	defer ticker.Stop()
	m.requestVouches()
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case call := <-m.calls:
			m.drainCalls(call)
		case <-ticker.C:
			ticks++
			m.tick(ticks)
		}
		m.flushBatches()
		for m.fatal == nil && m.node != nil && m.confirmed && m.node.HasReady() {
			m.handleReady()
		}
		m.publishStatus()
		if m.fatal != nil {
			m.log.Error().Str("event", "group.stopped").Err(m.fatal).Send()
			m.failPending()
			return m.fatal
		}
	}
}

// drainCalls makes a call and those that came with it: what came together is written to the disk together.
func (m *Member) drainCalls(call func()) {
	call()
	for {
		select {
		case call = <-m.calls:
			call()
		default:
			return
		}
	}
}

// tick is called once a heartbeat.
func (m *Member) tick(ticks int) {
	if m.confirmed {
		m.node.Tick()
		m.leaderTick()
	} else if ticks%electionTicks == 0 {
		m.requestVouches()
	}
	m.sendMark()
}

// abort has the loop end with an error of the disk, the first of them.
func (m *Member) abort(err error) {
	if m.fatal == nil {
		m.fatal = err
	}
}

// publishStatus publishes the status for those who ask beside the loop.
func (m *Member) publishStatus() {
	identity := m.identity.Load()
	status := &quorum.Status{Name: m.cfg.Name, ID: fmt.Sprintf("%016x", identity.ID), Group: m.cfg.Group, GroupID: identity.Group, State: quorum.StateNoGroup,
		Starts: identity.Starts, Applied: m.applied, Syncs: m.store.syncs, LeaseMS: m.state.Terms.TTL.Milliseconds(),
		Drift: m.state.Terms.Drift, Confirmed: m.confirmed, Format: configstore.PartsFormat}
	if m.node != nil {
		raftStatus := m.node.BasicStatus()
		status.Term, status.Commit, status.Leader = raftStatus.GetTerm(), raftStatus.GetCommit(), m.state.Members[raftStatus.Lead].Addr
		status.Voter = slices.Contains(m.confState.GetVoters(), identity.ID)
		for _, member := range m.state.Members {
			status.Members = append(status.Members, member)
		}
		slices.SortFunc(status.Members, func(a, b statemachine.Member) int { return strings.Compare(a.Name, b.Name) })
		status.State = m.stateName(raftStatus.RaftState)
	}
	m.status.Store(status)
}

// stateName is what a member of a group is, by its name in a status.
func (m *Member) stateName(state raft.StateType) string {
	switch {
	case !m.confirmed:
		return quorum.StateUnconfirmed
	case state == raft.StateLeader:
		return quorum.StateLeader
	case state == raft.StateFollower:
		return quorum.StateFollower
	}
	return quorum.StateCandidate
}

// Status is what the member was at the end of its last turn. It may be called from any goroutine.
func (m *Member) Status() quorum.Status { return *m.status.Load() }
