// Package member runs a member of the raft group that coordinates the fleet. The raft library is a state machine without I/O; this package
// adds storage, network and timers.
//
// One goroutine, the event loop of Run, owns the state of a Member. Other goroutines pass requests, replies and results to it with
// enqueue, so a Member has no lock. member.go has the event loop, raft.go carries out what the library returns as ready, and propose.go
// has proposals and linearizable reads. vouch.go detects disks that were restored from a copy, store.go is the storage, and peer.go and
// snapshot_transfer.go send to other members. requests.go, membership.go and config.go handle the requests.
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

// ListenerName identifies a member's listener in counters and log lines.
const ListenerName = "group"

// Config configures a member.
type Config struct {
	Name, Group string
	Addr        string // the address at which other members connect
	Dir         string
	Tick        time.Duration // heartbeat interval; the election timeout is electionTicks to twice electionTicks of them
	Log         zerolog.Logger
	Stats       *metrics.Counters
	Rate        float64 // clock rate, for tests; 0 means 1
}

// Limits of a member.
const (
	electionTicks     = 10   // the election timeout is ten to twenty ticks, so a few heartbeats in a row may be lost or late
	maxPending        = 8192 // proposals, and separately reads, that wait for a majority: two for each process that can register
	callQueueLength   = 256  // calls that wait for the event loop; when the queue is full, connections block
	randomIDBytes     = 8    // random bytes in the ID of a member and in the nonce of a start
	databaseFile      = "group.db"
	maxUncommitted    = 8 << 20   // bytes of uncommitted proposals: bounds the leader's memory while it has no majority
	maxMessageEntries = 128 << 10 // bytes of entries in one message; a call carries several messages
	maxInflight       = 64        // unacknowledged append messages to a member: bounds the memory that a slow member costs
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

	// The fields below belong to the event loop.
	store              *store
	node               *raft.RawNode // nil while the member belongs to no group
	state              *statemachine.State
	confState          *pb.ConfState
	applied            uint64
	snapshotIndex      uint64
	lessor             *lease.Lessor
	processMonitor     *configstore.ProcessMonitor
	quotaLedger        *quota.Ledger
	capacityMap        capacityMap          // the cell map that set the capacity in quotaLedger
	readWaiters        []func(ok bool)      // reads that wait for the next leadership confirmation to start
	pendingReadCount   int                  // readWaiters and the reads of the confirmations in progress
	configBatch        []configstore.Change // reports of processes, proposed together as one entry
	configBatchDone    []func(r statemachine.Result, ok bool)
	bytesSinceSnapshot int                 // of applied entries
	incoming           *incomingSnapshot   // a snapshot that is arriving in parts; nil: none
	marks              map[uint64]diskMark // by member: the latest known mark of its disk
	marksDirty         bool                // marks changed since they were last stored
	sentMark           diskMark            // the last mark that this member sent
	markSentAt         time.Time
	vouchedBy          map[uint64]bool // members that have vouched for this disk since the start
	confirmed          bool            // a majority vouched for this disk: the member participates in raft
	peers              map[uint64]*peer
	proposals          map[uint64]func(statemachine.Result, bool) // by proposal ID: called once the entry is applied
	reads              map[string]pendingRead                     // by request context: reads whose leadership confirmation is in progress
	seq                uint64                                     // of the last proposal or read
	startNonce         uint64                                     // random per process start, so that proposal IDs of two starts differ
	membersChanged     bool                                       // membership changed since the last snapshot
	leading            bool
	caughtUp           bool            // leading, and an entry of this term is applied: the state includes all entries of earlier terms
	fatal              error           // the disk is no longer reliable: the loop ends with this error
	ctx                context.Context // of Run
	background         sync.WaitGroup  // goroutines that end when ctx does
}

// Open opens the database of a member. An empty database gets a new random ID and belongs to no group. Open returns an error if the
// database cannot be read or belongs to a member of another name.
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

// openWithStore returns a member with an open database. It starts raft if the member belongs to a group.
func openWithStore(s *store, cfg Config) (*Member, error) {
	identity, err := recordStart(s, cfg)
	if err != nil {
		return nil, err
	}
	marks, err := getJSON[map[uint64]diskMark](s, keyMarks)
	if err != nil {
		return nil, fmt.Errorf("%s: failed to read the disk marks: %w", cfg.Dir, err)
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

// recordStart returns the identity on disk, after it has counted this start there. An empty disk gets a new ID.
func recordStart(s *store, cfg Config) (Identity, error) {
	identity, err := getJSON[Identity](s, keyIdentity)
	if err != nil {
		return identity, fmt.Errorf("%s: failed to read the identity of the member: %w", cfg.Dir, err)
	}
	if identity.ID == 0 {
		identity = Identity{ID: randomUint64() | 1, Name: cfg.Name}
	}
	if identity.Name != cfg.Name {
		return identity, fmt.Errorf("dir: the disk belongs to member %q, not to %q: move it aside", identity.Name, cfg.Name)
	}
	identity.Starts++
	return identity, s.update("start", func(tx *bbolt.Tx) error { return putJSON(tx, keyIdentity, identity) })
}

// randomUint64 returns a cryptographically random number.
func randomUint64() uint64 {
	var b [randomIDBytes]byte
	rand.Read(b[:]) // never returns an error: if it fails it ends the program
	return binary.BigEndian.Uint64(b[:])
}

// clock returns the time since the start on the member's monotonic clock, scaled by Config.Rate.
func (m *Member) clock() time.Duration {
	return time.Duration(float64(time.Since(m.startedAt)) * m.cfg.Rate)
}

// enqueue passes a function to the event loop. It blocks while the queue is full, and drops the function once the member has stopped.
func (m *Member) enqueue(call func()) {
	select {
	case m.calls <- call:
	case <-m.stopped:
	}
}

// Close closes the database of a member for which Run was not called.
func (m *Member) Close() error { return m.store.close() }

// Run runs the member's event loop. It returns nil once the context ends. It returns an error once the disk is no longer reliable: the
// program must then end, and an operator must inspect the disk.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	defer m.background.Wait()
	defer cancel()
	defer func() { _ = m.store.close() }() // all durable state was synced before
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

// drainCalls runs a call and all others in the queue, so that what they write shares one disk sync.
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

// tick is called once per heartbeat interval.
func (m *Member) tick(ticks int) {
	if m.confirmed {
		m.node.Tick()
		m.leaderTick()
	} else if ticks%electionTicks == 0 {
		m.requestVouches()
	}
	m.sendMark()
}

// abort makes the event loop end with an error. Only the first error is kept.
func (m *Member) abort(err error) {
	if m.fatal == nil {
		m.fatal = err
	}
}

// publishStatus updates the status that Status returns to other goroutines.
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

// stateName returns the Status.State of a member that belongs to a group.
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

// Status returns the member's status as of the last iteration of the event loop. It may be called from any goroutine.
func (m *Member) Status() quorum.Status { return *m.status.Load() }
