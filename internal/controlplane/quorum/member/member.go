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
	electionTicks = 10
	compactEvery  = 2000 // entries
	compactKeep   = 200
	markEvery     = time.Second
	mostReads     = 8192 // that wait: two of each process that there can be
	// compactBytes has a snapshot be made of what many large changes have written, and keepBytes bounds what of them stays for members
	// that are a little behind.
	compactBytes = 16 << 20
	keepBytes    = 4 << 20
	// longestCommand bounds a command as it is in the log: with what else a word to a member carries it stays within one.
	longestCommand = msgpackrpc.MaxCallBody/2 - 64<<10
)

// Member is one member.
type Member struct {
	cfg   Config
	log   zerolog.Logger
	stats *metrics.Counters
	who   atomic.Pointer[Identity]
	began time.Time

	calls  chan func()
	ended  chan struct{}
	status atomic.Pointer[quorum.Status]

	// The loop's own:
	disk      *store
	raw       *raft.RawNode // nil while it belongs to no group
	state     *statemachine.State
	conf      *pb.ConfState
	applied   uint64
	snapAt    uint64
	watch     *lease.Lessor
	users     *configstore.Watch
	ledger    *quota.Ledger
	lent      lent                 // the map that the ledger knows
	asking    []func(ok bool)      // what waits for the next confirming of the lead
	pending   int                  // with what waits for one that is under way
	words     []configstore.Change // of processes, to be put into the log together
	worded    []func(r statemachine.Result, ok bool)
	logged    int     // bytes, since the last snapshot
	coming    *coming // a snapshot in chunks
	marks     map[uint64]mark
	marksNew  bool
	said      mark
	saidAt    time.Time
	vouched   map[uint64]bool
	confirmed bool
	peers     map[uint64]*peer
	waiting   map[uint64]func(statemachine.Result, bool)
	reads     map[string]read
	seq       uint64
	salt      uint64
	changed   bool // the members
	leads     bool
	caughtUp  bool // an entry of its own term was applied
	fatal     error
	ctx       context.Context
	joining   sync.WaitGroup
}

// read is one that waits for the library's word that this member still led after it came.
type read struct {
	index uint64 // 0: not known yet
	since time.Time
	done  func(ok bool)
}

// Open opens a member's disk. One that is empty becomes a member of no group, with a number of its own.
func Open(cfg Config) (*Member, error) {
	disk, err := openStore(filepath.Join(cfg.Dir, "group.db"))
	if err != nil {
		return nil, err
	}
	who, err := get[Identity](disk, keyWho)
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
	if err := disk.write("start", func(tx *bbolt.Tx) error { return put(tx, keyWho, who) }); err != nil {
		disk.close()
		return nil, err
	}
	marks, err := get[map[uint64]mark](disk, keyMarks)
	if err != nil {
		disk.close()
		return nil, fmt.Errorf("%s: its marks: %w", cfg.Dir, err)
	}
	if marks == nil {
		marks = map[uint64]mark{}
	}
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	var salt [8]byte
	rand.Read(salt[:])
	salt[0] &= 0x7f
	m := &Member{
		cfg: cfg, log: cfg.Log.With().Str("process", cfg.Name).Logger(), stats: cfg.Stats, began: time.Now(),
		calls: make(chan func(), 256), ended: make(chan struct{}), disk: disk, marks: marks, watch: lease.NewLessor(lease.Terms{}),
		users: configstore.NewWatch(lease.Terms{}), ledger: quota.NewLedger(lease.Terms{}),
		vouched: map[uint64]bool{}, peers: map[uint64]*peer{}, waiting: map[uint64]func(statemachine.Result, bool){},
		reads: map[string]read{}, salt: binary.BigEndian.Uint64(salt[:]), state: statemachine.New(0), conf: &pb.ConfState{},
	}
	m.who.Store(&who)
	if who.Group != "" {
		if err := m.rise(); err != nil {
			disk.close()
			return nil, err
		}
	}
	m.show()
	return m, nil
}

// clock is the member's monotonic clock.
func (m *Member) clock() time.Duration {
	return time.Duration(float64(time.Since(m.began)) * m.cfg.Rate)
}

// later hands something to the loop.
func (m *Member) later(do func()) {
	select {
	case m.calls <- do:
	case <-m.ended:
	}
}

// rise starts the library on what the disk has.
func (m *Member) rise() error {
	snap, err := m.disk.mem.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) { // it has joined, and heard nothing yet
		peers, err := get[[]statemachine.Member](m.disk, keyPeers)
		if err != nil {
			return fmt.Errorf("%s: who else there is: %w", m.cfg.Dir, err)
		}
		for _, p := range peers {
			m.state.Members[p.ID] = p
		}
	} else if m.state, err = statemachine.Restore(snap.GetData()); err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.watch, m.users, m.ledger = lease.NewLessor(m.state.Terms), configstore.NewWatch(m.state.Terms), quota.NewLedger(m.state.Terms)
	m.conf = snap.GetMetadata().GetConfState()
	m.applied = snap.GetMetadata().GetIndex()
	m.snapAt = m.applied
	m.raw, err = raft.NewRawNode(&raft.Config{
		ID: m.who.Load().ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.disk.mem, Applied: m.applied,
		MaxSizePerMsg: 128 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 8 << 20, CheckQuorum: true, PreVote: true,
		Logger: quiet{m.log},
	})
	if err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.confirm()
	return nil
}

// confirm reports whether enough others have vouched for this start, and has the member take part once they have.
func (m *Member) confirm() bool {
	if m.confirmed || m.raw == nil {
		return m.confirmed
	}
	me := m.who.Load().ID
	voters := m.conf.GetVoters()
	n := 0
	for _, id := range voters {
		if id != me && m.vouched[id] {
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
func (m *Member) Close() error { return m.disk.close() }

// Run is the member's life. It ends with the context, or with an error that makes the member's disk no good to trust.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	m.ctx = ctx
	defer m.joining.Wait()
	defer cancel()
	defer m.disk.close()
	defer close(m.ended)
	m.meet()
	tick := time.NewTicker(time.Duration(float64(m.cfg.Tick) / m.cfg.Rate))
	defer tick.Stop()
	m.vouch()
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
				m.raw.Tick()
				m.lapse()
			} else if n%electionTicks == 0 {
				m.vouch()
			}
			m.mark()
		}
		m.flush()
		for m.fatal == nil && m.raw != nil && m.confirmed && m.raw.HasReady() {
			m.ready()
		}
		m.show()
		if m.fatal != nil {
			m.log.Error().Str("event", "group.stopped").Err(m.fatal).Send()
			m.fail()
			return m.fatal
		}
	}
}

func (m *Member) die(err error) {
	if m.fatal == nil {
		m.fatal = err
	}
}

// ready carries out what the library wants, in its order: what lasts first, then what is said, then what is applied.
func (m *Member) ready() {
	rd := m.raw.Ready()
	if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
		var marks map[uint64]mark
		if m.marksNew {
			marks, m.marksNew = m.marks, false
		}
		if err := m.disk.save(rd.HardState, rd.Entries, rd.Snapshot, marks); err != nil {
			m.die(err)
			return
		}
		m.stats.Inc("group", "syncs")
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := statemachine.Restore(rd.Snapshot.GetData())
		if err != nil {
			m.die(err)
			return
		}
		m.state, m.conf = state, rd.Snapshot.GetMetadata().GetConfState()
		m.applied = rd.Snapshot.GetMetadata().GetIndex()
		m.snapAt = m.applied
		m.watch, m.users, m.ledger = lease.NewLessor(state.Terms), configstore.NewWatch(state.Terms), quota.NewLedger(state.Terms)
		m.meet()
	}
	if rd.SoftState != nil {
		m.turned(rd.SoftState.RaftState == raft.StateLeader)
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
		m.apply(e)
	}
	m.raw.Advance(rd)
	for ctx, r := range m.reads {
		if r.index > 0 && r.index <= m.applied {
			delete(m.reads, ctx)
			r.done(true)
		}
	}
	if (m.applied-m.snapAt >= compactEvery || m.logged >= compactBytes || m.changed) && m.fatal == nil {
		m.changed, m.logged = false, 0
		data, err := m.state.Snapshot()
		if err == nil {
			err = m.disk.compact(m.applied, m.conf, data, compactKeep, keepBytes)
		}
		if err != nil {
			m.die(err)
			return
		}
		m.snapAt = m.applied
		m.stats.Inc("group", "snapshots")
	}
}

// turned is told whether this member leads now.
func (m *Member) turned(leads bool) {
	if leads == m.leads {
		return
	}
	m.leads, m.caughtUp = leads, false
	m.lent.until = time.Time{} // what the ledger was told is told again
	if leads {
		m.watch.Promote(m.clock())
		m.users.Lead(m.clock())
		m.ledger.StartLeading(m.clock(), m.raw.BasicStatus().GetTerm())
		m.log.Info().Str("event", "group.leads").Uint64("term", m.raw.BasicStatus().GetTerm()).Send()
		m.stats.Inc("group", "led")
		return
	}
	m.watch.Demote()
	m.users.Follow()
	m.ledger.StopLeading()
	m.log.Info().Str("event", "group.follows").Send()
	m.fail()
}

// fail answers all that waits: nobody here can say what becomes of it.
func (m *Member) fail() {
	for _, done := range m.worded {
		done(statemachine.Result{}, false)
	}
	for _, done := range m.asking {
		done(false)
	}
	m.pending -= len(m.asking)
	m.words, m.worded, m.asking = nil, nil, nil
	for id, done := range m.waiting {
		delete(m.waiting, id)
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

func (m *Member) apply(e *pb.Entry) {
	m.applied = e.GetIndex()
	m.logged += len(e.GetData())
	m.caughtUp = m.caughtUp || m.leads && e.GetTerm() == m.raw.BasicStatus().GetTerm()
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
			m.asked(*c.Lease, r)
		}
		if c.Config != nil {
			m.ruled(*c.Config, r)
		}
		for _, w := range c.ConfigBatch {
			m.ruled(w, statemachine.Result{})
		}
		id := binary.BigEndian.Uint64(e.GetData())
		if done := m.waiting[id]; done != nil {
			delete(m.waiting, id)
			done(r, true)
		}
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &c); err != nil {
			m.die(fmt.Errorf("a change of members that can't be read: %w", err))
			return
		}
		m.conf = m.raw.ApplyConfChange(&c)
		m.changed = true // a snapshot from before it names no new member, and is refused there
		var of change
		json.Unmarshal(c.GetContext(), &of)
		if of.Remove != 0 {
			delete(m.state.Members, of.Remove)
		} else if of.Peer.ID != 0 {
			m.state.Members[of.Peer.ID] = of.Peer
		}
		m.log.Info().Str("event", "group.members").Int("voters", len(m.conf.GetVoters())).Int("learners", len(m.conf.GetLearners())).Send()
		m.meet()
		if done := m.waiting[of.Seq]; done != nil {
			delete(m.waiting, of.Seq)
			done(statemachine.Result{}, true)
		}
	}
}

// asked follows what was applied: a duty that has a new owner is watched from now on, and is told of in the log.
func (m *Member) asked(a lease.Request, r statemachine.Result) {
	if r.Error != "" || r.Duty == nil {
		return
	}
	m.watch.RecordGrant(r.Duty.Name, r.Duty.Epoch, m.clock())
	if m.leads {
		m.stats.Inc("group", "asks", string(a.Op))
		event := "group." + string(a.Op)
		if a.Op == lease.Acquire && r.Duty.Holder != a.Process {
			event = "group.waits"
		}
		m.log.Info().Str("event", event).Str("who", a.Process).Str("duty", r.Duty.Name).Stringer("epoch", r.Duty.Epoch).Str("owner", r.Duty.Holder).Send()
	}
}

// lapse proposes the end of what was not renewed, and gives up reads that got no word.
func (m *Member) lapse() {
	if m.leads && m.caughtUp {
		for _, a := range m.watch.Overdue(m.state.Table, m.clock()) {
			if err := m.propose(statemachine.Command{Lease: &a}, nil); err != nil {
				m.watch.ProposalDropped(a)
			}
		}
		m.overRules()
	}
	m.dropLate()
	for ctx, r := range m.reads {
		if time.Since(r.since) > quorum.CallTimeout {
			delete(m.reads, ctx)
			r.done(false)
		}
	}
}

var (
	errNotLeader = errors.New("this member does not lead")
	errBusy      = errors.New("too much is under way")
	errLong      = fmt.Errorf("over %d bytes in one command", longestCommand)
)

// propose puts a command into the log; done, which may be nil, hears what it came to.
func (m *Member) propose(c statemachine.Command, done func(statemachine.Result, bool)) error {
	if !m.leads || m.raw == nil {
		return errNotLeader
	}
	if len(m.waiting) >= mostReads {
		return errBusy
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
	if err == nil && len(b) > longestCommand {
		err = errLong
	}
	if err == nil {
		err = m.raw.Propose(b)
	}
	if err == nil && done != nil {
		m.waiting[id] = done
	}
	return err
}

// confirmLead calls done once a majority has said that this member led after now, and all that was agreed by then is
// applied here.
func (m *Member) confirmLead(done func(ok bool)) error {
	if !m.leads {
		return errNotLeader
	}
	if m.pending >= mostReads {
		return errBusy
	}
	m.pending++
	m.asking = append(m.asking, done)
	return nil
}

// readIndex asks the library for its word that this member leads.
func (m *Member) readIndex(done func(ok bool)) {
	m.seq++
	ctx := string(binary.BigEndian.AppendUint64(nil, m.salt+m.seq))
	m.reads[ctx] = read{since: time.Now(), done: done}
	m.raw.ReadIndex([]byte(ctx))
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
	if m.raw == nil {
		return
	}
	m.raw.ReportUnreachable(id)
	for _, x := range list {
		if x.GetType() == pb.MsgSnap {
			m.raw.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// sent hears what became of a word of messages.
func (m *Member) sent(p *peer, list []*pb.Message, ok bool, a msgpackrpc.Reply) {
	if a.Error == quorum.CodeSuperseded {
		m.die(fmt.Errorf("member %s says: %s", p.Name, a.Fields["why"]))
		return
	}
	for _, x := range list {
		if x.GetType() == pb.MsgSnap && m.raw != nil {
			st := raft.SnapshotFinish
			if !ok {
				st = raft.SnapshotFailure
			}
			m.raw.ReportSnapshot(p.ID, st)
		}
	}
}

// meet opens and ends the ways to other members.
func (m *Member) meet() {
	if m.ctx == nil {
		return // not running yet: Run meets them
	}
	me := m.who.Load().ID
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
		p := &peer{Member: q, queue: make(chan *pb.Message, queued), stop: cancel}
		m.peers[id] = p
		m.joining.Go(func() { m.carry(ctx, p) })
	}
}

// own is what this member has to say of its disk.
func (m *Member) own() mark {
	st, _, _ := m.disk.mem.InitialState()
	return mark{Starts: m.who.Load().Starts, Nonce: m.salt, Term: st.GetTerm(), Commit: st.GetCommit()}
}

// vouch asks the others whether this disk is as new as they know it.
func (m *Member) vouch() {
	if m.raw == nil || m.confirmed {
		return
	}
	if m.confirm() {
		return
	}
	w := m.word("group.vouch", nil)
	own := m.own()
	w.Fields["t"], w.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	for id, p := range m.peers {
		if m.vouched[id] {
			continue
		}
		m.joining.Go(func() {
			a, err := say(m.ctx, p.Addr, w)
			m.later(func() {
				switch {
				case err != nil:
				case a.Error == quorum.CodeSuperseded:
					m.die(fmt.Errorf("member %s says: %s; this disk has no vote: set %s aside and add the member anew", p.Name, a.Fields["why"], m.cfg.Dir))
				case a.Error == "":
					m.vouched[id] = true
					m.confirm()
				}
			})
		})
	}
}

// mark tells the others once in a while how far this disk is, where that has changed, so that an older one in its place is
// found out.
func (m *Member) mark() {
	own := m.own()
	if !m.confirmed || own == m.said || time.Since(m.saidAt) < markEvery {
		return
	}
	m.said, m.saidAt = own, time.Now()
	w := m.word("group.mark", nil)
	w.Fields["t"], w.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	for _, p := range m.peers {
		m.joining.Go(func() { say(m.ctx, p.Addr, w) })
	}
}

// show publishes the status for those who ask.
func (m *Member) show() {
	who := m.who.Load()
	s := &quorum.Status{Name: m.cfg.Name, ID: fmt.Sprintf("%016x", who.ID), Group: m.cfg.Group, GroupID: who.Group, State: "unfounded",
		Starts: who.Starts, Applied: m.applied, Syncs: m.disk.syncs, LeaseMS: m.state.Terms.TTL.Milliseconds(),
		Drift: m.state.Terms.Drift, Confirmed: m.confirmed, Format: configstore.FormatInParts}
	if m.raw != nil {
		b := m.raw.BasicStatus()
		s.Term, s.Commit, s.Leader = b.GetTerm(), b.GetCommit(), m.state.Members[b.Lead].Addr
		s.Voter = slices.Contains(m.conf.GetVoters(), who.ID)
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

// quiet passes the library's warnings on; what it says at every turn is not logged.
type quiet struct{ log zerolog.Logger }

func (q quiet) Debug(...any)              {}
func (q quiet) Debugf(string, ...any)     {}
func (q quiet) Info(...any)               {}
func (q quiet) Infof(string, ...any)      {}
func (q quiet) Warning(...any)            {}
func (q quiet) Warningf(string, ...any)   {}
func (q quiet) Error(v ...any)            { q.say(fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any) { q.say(fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) say(s string)              { q.log.Warn().Str("event", "group.library").Str("text", s).Send() }
