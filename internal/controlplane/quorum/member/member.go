// Package member runs a member of the group that agrees on the fleet's work: the library's raft as a state machine without
// I/O, our store and our words round it. One goroutine owns it all; what comes from outside is handed to that one.
package member

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// Name is the listener's name in counters and log lines.
const Name = "group"

// Config sets up a member.
type Config struct {
	Name, Group string
	Addr        string // by which others reach it
	Dir         string
	Tick        time.Duration // a heartbeat; an election takes ten
	Log         zerolog.Logger
	Stats       *metrics.Counters
	Rate        float64 // of its clock, for tests; 0: 1
}

const (
	electionTicks       = 10
	compactAfterEntries = 2000 // entries
	compactKeepEntries  = 200
	markInterval        = time.Second
	maxPending          = 8192 // that wait: two of each process that there can be
	// compactAfterBytes has a snapshot be made of what many large changes have written, and keepBytes bounds what of them stays for members
	// that are a little behind.
	compactAfterBytes = 16 << 20
	compactKeepBytes  = 4 << 20
	// maxCommandBytes bounds a command as it is in the log: with what else a word to a member carries it stays within one.
	maxCommandBytes = msgpackrpc.MaxCallBody/2 - 64<<10
)

// Member is one member.
type Member struct {
	cfg       Config
	log       zerolog.Logger
	stats     *metrics.Counters
	identity  atomic.Pointer[Identity]
	startedAt time.Time

	calls   chan func()
	stopped chan struct{}
	status  atomic.Pointer[quorum.Status]

	// The loop's own:
	store              *store
	node               *raft.RawNode // nil while it belongs to no group
	state              *statemachine.State
	confState          *pb.ConfState
	applied            uint64
	snapshotIndex      uint64
	lessor             *lease.Lessor
	configWatch        *configstore.ProcessMonitor
	quotaLedger        *quota.Ledger
	grantable          grantableMap         // the map that the ledger knows
	readWaiters        []func(ok bool)      // what waits for the next confirming of the lead
	pendingReads       int                  // with what waits for one that is under way
	configBatch        []configstore.Change // of processes, to be put into the log together
	configBatchDone    []func(r statemachine.Result, ok bool)
	bytesSinceSnapshot int               // bytes, since the last snapshot
	incoming           *incomingSnapshot // a snapshot in chunks
	marks              map[uint64]diskMark
	marksDirty         bool
	sentMark           diskMark
	markSentAt         time.Time
	vouchedBy          map[uint64]bool
	confirmed          bool
	peers              map[uint64]*peer
	proposals          map[uint64]func(statemachine.Result, bool)
	reads              map[string]pendingRead
	seq                uint64
	salt               uint64
	membersChanged     bool // the members
	leading            bool
	caughtUp           bool // an entry of its own term was applied
	fatal              error
	ctx                context.Context
	background         sync.WaitGroup
}

// pendingRead is one that waits for the library's word that this member still led after it came.
type pendingRead struct {
	index       uint64 // 0: not known yet
	requestedAt time.Time
	done        func(ok bool)
}

// Open opens a member's disk. One that is empty becomes a member of no group, with a number of its own.
func Open(cfg Config) (*Member, error) {
	disk, err := openStore(filepath.Join(cfg.Dir, "group.db"))
	if err != nil {
		return nil, err
	}
	who, err := getJSON[Identity](disk, keyIdentity)
	if err != nil {
		disk.close()
		return nil, fmt.Errorf("%s: who it is: %w", cfg.Dir, err)
	}
	if who.ID == 0 {
		var b [8]byte
		rand.Read(b[:])
		who = Identity{ID: binary.BigEndian.Uint64(b[:]) | 1, Name: cfg.Name}
	}
	if who.Name != cfg.Name {
		disk.close()
		return nil, fmt.Errorf("dir: the disk of member %q, not of %q: set it aside", who.Name, cfg.Name)
	}
	who.Starts++
	if err := disk.update("start", func(tx *bbolt.Tx) error { return putJSON(tx, keyIdentity, who) }); err != nil {
		disk.close()
		return nil, err
	}
	marks, err := getJSON[map[uint64]diskMark](disk, keyMarks)
	if err != nil {
		disk.close()
		return nil, fmt.Errorf("%s: its marks: %w", cfg.Dir, err)
	}
	if marks == nil {
		marks = map[uint64]diskMark{}
	}
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	var salt [8]byte
	rand.Read(salt[:])
	salt[0] &= 0x7f
	m := &Member{
		cfg: cfg, log: cfg.Log.With().Str("process", cfg.Name).Logger(), stats: cfg.Stats, startedAt: time.Now(),
		calls: make(chan func(), 256), stopped: make(chan struct{}), store: disk, marks: marks, lessor: lease.NewLessor(lease.Terms{}),
		configWatch: configstore.NewProcessMonitor(lease.Terms{}), quotaLedger: quota.NewLedger(lease.Terms{}),
		vouchedBy: map[uint64]bool{}, peers: map[uint64]*peer{}, proposals: map[uint64]func(statemachine.Result, bool){},
		reads: map[string]pendingRead{}, salt: binary.BigEndian.Uint64(salt[:]), state: statemachine.New(0), confState: &pb.ConfState{},
	}
	m.identity.Store(&who)
	if who.Group != "" {
		if err := m.startRaft(); err != nil {
			disk.close()
			return nil, err
		}
	}
	m.publishStatus()
	return m, nil
}

// clock is the member's monotonic clock.
func (m *Member) clock() time.Duration {
	return time.Duration(float64(time.Since(m.startedAt)) * m.cfg.Rate)
}

// enqueue hands something to the loop.
func (m *Member) enqueue(do func()) {
	select {
	case m.calls <- do:
	case <-m.stopped:
	}
}

// startRaft starts the library on what the disk has.
func (m *Member) startRaft() error {
	snap, err := m.store.memory.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) { // it has joined, and heard nothing yet
		peers, err := getJSON[[]statemachine.Member](m.store, keyPeers)
		if err != nil {
			return fmt.Errorf("%s: who else there is: %w", m.cfg.Dir, err)
		}
		for _, p := range peers {
			m.state.Members[p.ID] = p
		}
	} else if m.state, err = statemachine.Restore(snap.GetData()); err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.lessor, m.configWatch, m.quotaLedger = lease.NewLessor(m.state.Terms), configstore.NewProcessMonitor(m.state.Terms), quota.NewLedger(m.state.Terms)
	m.confState = snap.GetMetadata().GetConfState()
	m.applied = snap.GetMetadata().GetIndex()
	m.snapshotIndex = m.applied
	m.node, err = raft.NewRawNode(&raft.Config{
		ID: m.identity.Load().ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.store.memory, Applied: m.applied,
		MaxSizePerMsg: 128 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, CheckQuorum: true, PreVote: true,
		Logger: raftLogger{m.log},
	})
	if err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.confirm()
	return nil
}

// confirm reports whether enough others have vouched for this start, and has the member take part once they have.
func (m *Member) confirm() bool {
	if m.confirmed || m.node == nil {
		return m.confirmed
	}
	me := m.identity.Load().ID
	voters := m.confState.GetVoters()
	n := 0
	for _, id := range voters {
		if id != me && m.vouchedBy[id] {
			n++
		}
	}
	need := len(voters) / 2 // of the others: with this one a majority
	if !slices.Contains(voters, me) {
		need = min(1, len(voters))
	}
	if n >= need {
		m.confirmed = true
		m.log.Info().Str("event", "group.confirmed").Int("by", n).Send()
	}
	return m.confirmed
}

// Close gives up the disk of a member that does not come to run.
func (m *Member) Close() error { return m.store.close() }

// Run is the member's life. It ends with the context, or with an error that makes the member's disk no good to trust.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	defer m.background.Wait()
	defer cancel()
	defer m.store.close()
	defer close(m.stopped)
	m.updatePeers()
	tick := time.NewTicker(time.Duration(float64(m.cfg.Tick) / m.cfg.Rate))
	defer tick.Stop()
	m.requestVouches()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case do := <-m.calls:
			do()
			for more := true; more; { // what came together is written together
				select {
				case do := <-m.calls:
					do()
				default:
					more = false
				}
			}
		case <-tick.C:
			if n++; m.confirmed {
				m.node.Tick()
				m.leaderTick()
			} else if n%electionTicks == 0 {
				m.requestVouches()
			}
			m.sendMark()
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

func (m *Member) abort(err error) {
	if m.fatal == nil {
		m.fatal = err
	}
}

// handleReady carries out what the library wants, in its order: what lasts first, then what is said, then what is applied.
func (m *Member) handleReady() {
	rd := m.node.Ready()
	if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
		var marks map[uint64]diskMark
		if m.marksDirty {
			marks, m.marksDirty = m.marks, false
		}
		if err := m.store.save(rd.HardState, rd.Entries, rd.Snapshot, marks); err != nil {
			m.abort(err)
			return
		}
		m.stats.Inc("group", "syncs")
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := statemachine.Restore(rd.Snapshot.GetData())
		if err != nil {
			m.abort(err)
			return
		}
		m.state, m.confState = state, rd.Snapshot.GetMetadata().GetConfState()
		m.applied = rd.Snapshot.GetMetadata().GetIndex()
		m.snapshotIndex = m.applied
		m.lessor, m.configWatch, m.quotaLedger = lease.NewLessor(state.Terms), configstore.NewProcessMonitor(state.Terms), quota.NewLedger(state.Terms)
		m.updatePeers()
	}
	if rd.SoftState != nil {
		m.leadershipChanged(rd.SoftState.RaftState == raft.StateLeader)
	}
	for _, x := range rd.Messages {
		m.send(x)
	}
	for _, rs := range rd.ReadStates {
		if r, ok := m.reads[string(rs.RequestCtx)]; ok {
			r.index = max(1, rs.Index)
			m.reads[string(rs.RequestCtx)] = r
		}
	}
	for _, e := range rd.CommittedEntries {
		m.applyEntry(e)
	}
	m.node.Advance(rd)
	for ctx, r := range m.reads {
		if r.index > 0 && r.index <= m.applied {
			delete(m.reads, ctx)
			r.done(true)
		}
	}
	if (m.applied-m.snapshotIndex >= compactAfterEntries || m.bytesSinceSnapshot >= compactAfterBytes || m.membersChanged) && m.fatal == nil {
		m.membersChanged, m.bytesSinceSnapshot = false, 0
		data, err := m.state.Snapshot()
		if err == nil {
			err = m.store.compact(m.applied, m.confState, data, compactKeepEntries, compactKeepBytes)
		}
		if err != nil {
			m.abort(err)
			return
		}
		m.snapshotIndex = m.applied
		m.stats.Inc("group", "snapshots")
	}
}

// leadershipChanged is told whether this member leads now.
func (m *Member) leadershipChanged(leads bool) {
	if leads == m.leading {
		return
	}
	m.leading, m.caughtUp = leads, false
	m.grantable.refreshAt = time.Time{} // what the ledger was told is told again
	if leads {
		m.lessor.Promote(m.clock())
		m.configWatch.StartLeading(m.clock())
		m.quotaLedger.StartLeading(m.clock(), m.node.BasicStatus().GetTerm())
		m.log.Info().Str("event", "group.leads").Uint64("term", m.node.BasicStatus().GetTerm()).Send()
		m.stats.Inc("group", "led")
		return
	}
	m.lessor.Demote()
	m.configWatch.StopLeading()
	m.quotaLedger.StopLeading()
	m.log.Info().Str("event", "group.follows").Send()
	m.failPending()
}

// failPending answers all that waits: nobody here can say what becomes of it.
func (m *Member) failPending() {
	for _, done := range m.configBatchDone {
		done(statemachine.Result{}, false)
	}
	for _, done := range m.readWaiters {
		done(false)
	}
	m.pendingReads -= len(m.readWaiters)
	m.configBatch, m.configBatchDone, m.readWaiters = nil, nil, nil
	for id, done := range m.proposals {
		delete(m.proposals, id)
		done(statemachine.Result{}, false)
	}
	for ctx, r := range m.reads {
		delete(m.reads, ctx)
		r.done(false)
	}
}

// entry is what the log has of a command: the number of who waits for it, then the command.
func entry(id uint64, c statemachine.Command) ([]byte, error) {
	b, err := json.Marshal(c)
	return append(binary.BigEndian.AppendUint64(nil, id), b...), err
}

func (m *Member) applyEntry(e *pb.Entry) {
	m.applied = e.GetIndex()
	m.bytesSinceSnapshot += len(e.GetData())
	m.caughtUp = m.caughtUp || m.leading && e.GetTerm() == m.node.BasicStatus().GetTerm()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) < 8 {
			return // of a new leader
		}
		var c statemachine.Command
		r := statemachine.Result{Error: "a command that can't be read"}
		if err := json.Unmarshal(e.GetData()[8:], &c); err == nil {
			r = m.state.Apply(c)
		}
		m.stats.Inc("group", "applied")
		if c.Lease != nil {
			m.leaseApplied(*c.Lease, r)
		}
		if c.Config != nil {
			m.configApplied(*c.Config, r)
		}
		for _, w := range c.ConfigBatch {
			m.configApplied(w, statemachine.Result{})
		}
		id := binary.BigEndian.Uint64(e.GetData())
		if done := m.proposals[id]; done != nil {
			delete(m.proposals, id)
			done(r, true)
		}
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &c); err != nil {
			m.abort(fmt.Errorf("a change of members that can't be read: %w", err))
			return
		}
		m.confState = m.node.ApplyConfChange(&c)
		m.membersChanged = true // a snapshot from before it names no new member, and is refused there
		var of memberChange
		json.Unmarshal(c.GetContext(), &of)
		if of.Remove != 0 {
			delete(m.state.Members, of.Remove)
		} else if of.Peer.ID != 0 {
			m.state.Members[of.Peer.ID] = of.Peer
		}
		m.log.Info().Str("event", "group.members").Int("voters", len(m.confState.GetVoters())).Int("learners", len(m.confState.GetLearners())).Send()
		m.updatePeers()
		if done := m.proposals[of.Seq]; done != nil {
			delete(m.proposals, of.Seq)
			done(statemachine.Result{}, true)
		}
	}
}

// leaseApplied follows what was applied: a duty that has a new owner is watched from now on, and is told of in the log.
func (m *Member) leaseApplied(a lease.Request, r statemachine.Result) {
	if r.Error != "" || r.Duty == nil {
		return
	}
	m.lessor.RecordGrant(r.Duty.Name, r.Duty.Epoch, m.clock())
	if m.leading {
		m.stats.Inc("group", "asks", string(a.Op))
		event := "group." + string(a.Op)
		if a.Op == lease.Acquire && r.Duty.Holder != a.Process {
			event = "group.waits"
		}
		m.log.Info().Str("event", event).Str("who", a.Process).Str("duty", r.Duty.Name).Stringer("epoch", r.Duty.Epoch).Str("owner", r.Duty.Holder).Send()
	}
}

// leaderTick proposes the end of what was not renewed, and gives up reads that got no word.
func (m *Member) leaderTick() {
	if m.leading && m.caughtUp {
		for _, a := range m.lessor.Overdue(m.state.Table, m.clock()) {
			if err := m.propose(statemachine.Command{Lease: &a}, nil); err != nil {
				m.lessor.ProposalDropped(a)
			}
		}
		m.proposeOverdueConfig()
	}
	m.dropStalledSnapshot()
	for ctx, r := range m.reads {
		if time.Since(r.requestedAt) > quorum.CallTimeout {
			delete(m.reads, ctx)
			r.done(false)
		}
	}
}

var (
	errNotLeader      = errors.New("this member does not lead")
	errTooManyPending = errors.New("too much is under way")
	errCommandTooLong = fmt.Errorf("over %d bytes in one command", maxCommandBytes)
)

// propose puts a command into the log; done, which may be nil, hears what it came to.
func (m *Member) propose(c statemachine.Command, done func(statemachine.Result, bool)) error {
	if !m.leading || m.node == nil {
		return errNotLeader
	}
	if len(m.proposals) >= maxPending {
		return errTooManyPending
	}
	if c.Lease != nil {
		c.Lease.ProposedAt = time.Now().UnixMilli()
	}
	if c.Config != nil {
		c.Config.At = time.Now().UnixMilli()
	}
	m.seq++
	id := m.salt + m.seq
	b, err := entry(id, c)
	if err == nil && len(b) > maxCommandBytes {
		err = errCommandTooLong
	}
	if err == nil {
		err = m.node.Propose(b)
	}
	if err == nil && done != nil {
		m.proposals[id] = done
	}
	return err
}

// confirmLeadership calls done once a majority has said that this member led after now, and all that was agreed by then is
// applied here.
func (m *Member) confirmLeadership(done func(ok bool)) error {
	if !m.leading {
		return errNotLeader
	}
	if m.pendingReads >= maxPending {
		return errTooManyPending
	}
	m.pendingReads++
	m.readWaiters = append(m.readWaiters, done)
	return nil
}

// readIndex asks the library for its word that this member leads.
func (m *Member) readIndex(done func(ok bool)) {
	m.seq++
	ctx := string(binary.BigEndian.AppendUint64(nil, m.salt+m.seq))
	m.reads[ctx] = pendingRead{requestedAt: time.Now(), done: done}
	m.node.ReadIndex([]byte(ctx))
}

// send hands a message to a peer's queue.
func (m *Member) send(x *pb.Message) {
	p := m.peers[x.GetTo()]
	if p == nil {
		return
	}
	select {
	case p.queue <- x:
	default:
		m.stats.Inc("group", "dropped")
		m.unreachable(x.GetTo(), []*pb.Message{x})
	}
}

func (m *Member) unreachable(id uint64, list []*pb.Message) {
	if m.node == nil {
		return
	}
	m.node.ReportUnreachable(id)
	for _, x := range list {
		if x.GetType() == pb.MsgSnap {
			m.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// messagesSent hears what became of a word of messages.
func (m *Member) messagesSent(p *peer, list []*pb.Message, ok bool, a msgpackrpc.Reply) {
	if a.Error == quorum.CodeSuperseded {
		m.abort(fmt.Errorf("member %s says: %s", p.Name, a.Fields["why"]))
		return
	}
	for _, x := range list {
		if x.GetType() == pb.MsgSnap && m.node != nil {
			st := raft.SnapshotFinish
			if !ok {
				st = raft.SnapshotFailure
			}
			m.node.ReportSnapshot(p.ID, st)
		}
	}
}

// updatePeers opens and ends the ways to other members.
func (m *Member) updatePeers() {
	if m.ctx == nil {
		return // not running yet: Run meets them
	}
	me := m.identity.Load().ID
	for id, p := range m.peers {
		if q, ok := m.state.Members[id]; !ok || q.Addr != p.Addr {
			p.stop()
			delete(m.peers, id)
		}
	}
	for id, q := range m.state.Members {
		if id == me || m.peers[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		p := &peer{Member: q, queue: make(chan *pb.Message, peerQueueLength), stop: cancel}
		m.peers[id] = p
		m.background.Go(func() { m.sendLoop(ctx, p) })
	}
}

// ownMark is what this member has to say of its disk.
func (m *Member) ownMark() diskMark {
	st, _, _ := m.store.memory.InitialState()
	return diskMark{Starts: m.identity.Load().Starts, Nonce: m.salt, Term: st.GetTerm(), Commit: st.GetCommit()}
}

// requestVouches asks the others whether this disk is as new as they know it.
func (m *Member) requestVouches() {
	if m.node == nil || m.confirmed {
		return
	}
	if m.confirm() {
		return
	}
	w := m.peerRequest("group.vouch", nil)
	own := m.ownMark()
	w.Fields["t"], w.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	for id, p := range m.peers {
		if m.vouchedBy[id] {
			continue
		}
		m.background.Go(func() {
			a, err := callPeer(m.ctx, p.Addr, w)
			m.enqueue(func() {
				switch {
				case err != nil:
				case a.Error == quorum.CodeSuperseded:
					m.abort(fmt.Errorf("member %s says: %s; this disk has no vote: set %s aside and add the member anew", p.Name, a.Fields["why"], m.cfg.Dir))
				case a.Error == "":
					m.vouchedBy[id] = true
					m.confirm()
				}
			})
		})
	}
}

// sendMark tells the others once in a while how far this disk is, where that has changed, so that an older one in its place is
// found out.
func (m *Member) sendMark() {
	own := m.ownMark()
	if !m.confirmed || own == m.sentMark || time.Since(m.markSentAt) < markInterval {
		return
	}
	m.sentMark, m.markSentAt = own, time.Now()
	w := m.peerRequest("group.mark", nil)
	w.Fields["t"], w.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	for _, p := range m.peers {
		m.background.Go(func() { callPeer(m.ctx, p.Addr, w) })
	}
}

// publishStatus publishes the status for those who ask.
func (m *Member) publishStatus() {
	who := m.identity.Load()
	s := &quorum.Status{Name: m.cfg.Name, ID: fmt.Sprintf("%016x", who.ID), Group: m.cfg.Group, GroupID: who.Group, State: "unfounded",
		Starts: who.Starts, Applied: m.applied, Syncs: m.store.syncs, LeaseMS: m.state.Terms.TTL.Milliseconds(),
		Drift: m.state.Terms.Drift, Confirmed: m.confirmed, Format: configstore.PartsFormat}
	if m.node != nil {
		b := m.node.BasicStatus()
		s.Term, s.Commit, s.Leader = b.GetTerm(), b.GetCommit(), m.state.Members[b.Lead].Addr
		s.Voter = slices.Contains(m.confState.GetVoters(), who.ID)
		for _, p := range m.state.Members {
			s.Members = append(s.Members, p)
		}
		slices.SortFunc(s.Members, func(a, b statemachine.Member) int { return strings.Compare(a.Name, b.Name) })
		switch {
		case !m.confirmed:
			s.State = "unconfirmed"
		case b.RaftState == raft.StateLeader:
			s.State = "leader"
		case b.RaftState == raft.StateFollower:
			s.State = "follower"
		default:
			s.State = "candidate"
		}
	}
	m.status.Store(s)
}

// Status is what the member is.
func (m *Member) Status() quorum.Status { return *m.status.Load() }

// raftLogger passes the library's warnings on; what it says at every turn is not logged.
type raftLogger struct{ log zerolog.Logger }

func (q raftLogger) Debug(...any)              {}
func (q raftLogger) Debugf(string, ...any)     {}
func (q raftLogger) Info(...any)               {}
func (q raftLogger) Infof(string, ...any)      {}
func (q raftLogger) Warning(...any)            {}
func (q raftLogger) Warningf(string, ...any)   {}
func (q raftLogger) Error(v ...any)            { q.warn(fmt.Sprint(v...)) }
func (q raftLogger) Errorf(f string, v ...any) { q.warn(fmt.Sprintf(f, v...)) }
func (q raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) warn(s string)             { q.log.Warn().Str("event", "group.library").Str("text", s).Send() }
