package member

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// testGroup is a group whose members run in this process, with their own disks and real connections between them.
type testGroup struct {
	t       *testing.T
	dirs    []string
	addrs   []string
	stops   []func()
	stats   []*metrics.Counters
	members []*Member
	*quorum.Client
}

func newTestGroup(t *testing.T, n int, ttl time.Duration) *testGroup {
	t.Helper()
	g := &testGroup{t: t, stops: make([]func(), n), members: make([]*Member, n), Client: &quorum.Client{Group: "test"}}
	for range n {
		reserved, err := harness.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(reserved.Release)
		addr := reserved.Addr
		g.dirs, g.addrs, g.stats = append(g.dirs, t.TempDir()), append(g.addrs, addr), append(g.stats, &metrics.Counters{})
	}
	g.Addrs = g.addrs
	for i := range n {
		g.start(i)
	}
	t.Cleanup(func() {
		g.Close()
		for i := range g.stops {
			g.stop(i)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := g.CreateGroup(ctx, lease.Terms{TTL: ttl, Drift: 0.05}); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *testGroup) start(i int) {
	g.t.Helper()
	m, err := Open(Config{Name: fmt.Sprint("q", i), Group: "test", Addr: g.addrs[i], Dir: g.dirs[i], Tick: 20 * time.Millisecond,
		Log: zerolog.Nop(), Stats: g.stats[i]})
	if err != nil {
		g.t.Fatal(err)
	}
	discard := log.New(io.Discard, "", 0)
	server := msgpackrpc.NewCallServer(ListenerName, g.stats[i], m.HandleCall)
	var mu sync.Mutex
	var conns []net.Conn
	ln, err := listener.Listen(ListenerName, g.addrs[i], maxConnections, func() time.Duration { return time.Minute }, func(conn net.Conn, slot *listener.Slot) {
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		server.Serve(conn, slot)
	}, discard, g.stats[i])
	if err != nil {
		g.t.Fatal(err)
	}
	go ln.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := m.Run(ctx); err != nil {
			g.t.Error(err)
		}
	})
	g.members[i] = m
	g.stops[i] = func() { // like the end of a process: calls in flight get no reply
		ln.Close()
		cancel()
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		running.Wait()
	}
}

func (g *testGroup) stop(i int) {
	if g.stops[i] != nil {
		g.stops[i]()
		g.stops[i] = nil
	}
}

func (g *testGroup) apply(change configstore.Change) statemachine.Result {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Do(ctx, statemachine.Command{Config: &change})
	if err != nil {
		g.t.Fatal(err)
	}
	return r
}

func (g *testGroup) mustApply(change configstore.Change) statemachine.Result {
	g.t.Helper()
	r := g.apply(change)
	if r.Error != "" {
		g.t.Fatal(r.Error)
	}
	return r
}

func (g *testGroup) await(event string, happened func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(time.Minute); !happened(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatal("did not happen within a minute: ", event)
		}
	}
}

// activeMap returns the active version of the map, or nil if there is none.
func (g *testGroup) activeMap() *configstore.Revision {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Config(ctx)
	if err != nil {
		g.t.Fatal(err)
	}
	document := r.Store.Documents[configstore.DocMap]
	if document == nil {
		return nil
	}
	return document.Active
}

func (g *testGroup) awaitActive(version int) {
	g.t.Helper()
	g.await(fmt.Sprint("version ", version), func() bool { active := g.activeMap(); return active != nil && active.ID.Version == version })
}

// largeMap returns a map with a number of tenants in three cells.
func largeMap(tenants int) *cells.Map {
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second}
	for i := range 3 {
		m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprint("c", i), Capacity: 100})
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Cell: fmt.Sprint("c", i), Weight: 1})
	}
	for i := range tenants {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 1, Homes: []cells.Home{{Cell: fmt.Sprint("c", i%3)}}})
	}
	return m
}

// loadMap proposes a complete map in parts, which it first loads as a draft.
func (g *testGroup) loadMap(texts map[string]string, version int) {
	g.t.Helper()
	for _, batch := range configstore.Batches(texts) {
		g.mustApply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "a", Parts: batch})
	}
	g.mustApply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Draft: "a", Digest: configstore.TextsDigest(texts), Author: "t"})
}

// follower is the client side of a process that uses the map, without its poll timer.
type follower struct {
	replica   *configstore.Replica
	texts     map[string]string
	startedAt time.Time
	lastSize  int // bytes of the last reply
}

func newFollower(name string, format int) *follower {
	f := &follower{replica: configstore.NewReplica(name, map[string]int{configstore.DocMap: format}), texts: map[string]string{}, startedAt: time.Now()}
	f.replica.CheckParts = func(string, map[string]string, bool) error { return nil }
	return f
}

func (f *follower) applyUpdates(updates []configstore.Update) {
	for _, update := range updates {
		if update.Complete || update.Revision.Text != "" {
			f.texts = map[string]string{"": update.Revision.Text}
			if update.Revision.Text == "" {
				delete(f.texts, "")
			}
		}
		maps.Copy(f.texts, update.Parts)
	}
}

func acceptText(string, string) error { return nil }

// poll sends one report, and then one request for parts if the process lacks any.
func (f *follower) poll(g *testGroup) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sentAt := time.Since(f.startedAt)
	reply, err := g.Sync(ctx, quorum.ConfigSync{Process: f.replica.Report(), HasVersions: f.replica.KnownVersions(), BaseVersions: f.replica.CompleteVersions(), ActiveVersions: f.replica.ActiveVersions()})
	if err != nil {
		return err
	}
	encoded, _ := json.Marshal(reply)
	f.lastSize = len(encoded)
	f.applyUpdates(f.replica.Receive(sentAt, reply.Index, reply.Terms, reply.Docs, acceptText))
	if request, _, ok := f.replica.NextRequest(time.Since(f.startedAt)); ok {
		parts, err := g.Parts(ctx, request)
		if err != nil {
			f.replica.RequestFailed()
			return err
		}
		f.applyUpdates(f.replica.ReceiveParts(time.Since(f.startedAt), request, parts.ID, parts.Parts, acceptText))
	}
	return nil
}

// A thousand processes that received the complete map with every change, or with every poll, would saturate the leader's link. A process
// must receive the map once and then only changed parts, and a reply without changes must not grow with the map. A process of an older
// build must be rejected because it cannot read the active version; while one is registered, a change in parts waits for it.
func TestProcessFollowsALargeMapByWhatChanged(t *testing.T) {
	var atRest []int
	for _, tenants := range []int{1000, 21000} {
		g := newTestGroup(t, 1, 3*time.Second)
		cellMap := largeMap(tenants)
		texts := settings.SplitCells(cellMap)
		g.loadMap(texts, 0)
		g.awaitActive(1)
		f := newFollower("r1", 2)
		g.await("the whole map", func() bool { _ = f.poll(g); return maps.Equal(f.texts, texts) })
		if err := f.poll(g); err != nil {
			t.Fatal(err)
		}
		atRest = append(atRest, f.lastSize)
		if err := newFollower("r0", 1).poll(g); err == nil || !strings.Contains(err.Error(), "format 2: this build reads 1") {
			t.Error(err)
		}

		cellMap.Version = 2
		cellMap.Tenants[0].Rate = 2
		after := settings.SplitCells(cellMap)
		changed := map[string]string{}
		for name, text := range after {
			if texts[name] != text {
				changed[name] = text
			}
		}
		if len(changed) != 2 {
			t.Fatalf("%d parts changed, want 2", len(changed))
		}
		change := configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: 1, Parts: changed, Digest: configstore.TextsDigest(after), Author: "t"}
		wrongDigest := change
		wrongDigest.Digest++
		if r := g.apply(wrongDigest); !strings.Contains(r.Error, "they are of another version") {
			t.Error(r.Error)
		}
		g.mustApply(change)
		maxSize := 0
		g.await("the change", func() bool { _ = f.poll(g); maxSize = max(maxSize, f.lastSize); return maps.Equal(f.texts, after) })
		changeSize := 0
		for _, text := range changed {
			changeSize += configstore.EncodedSize(text)
		}
		if maxSize > atRest[len(atRest)-1]+2*changeSize+1000 {
			t.Errorf("%d tenants: a reply has %d bytes for a change of %d", tenants, maxSize, changeSize)
		}
		t.Logf("%d tenants: reply has %d bytes without changes, at most %d for a change of %d", tenants, atRest[len(atRest)-1], maxSize, changeSize)
	}
	if growth := atRest[1] - atRest[0]; growth > 8 || growth < -8 {
		t.Errorf("a reply without changes has %d bytes with 1,000 tenants, %d with 21,000", atRest[0], atRest[1])
	}
}

// A client of another build might compute too small a scope for a change, and work that must pause would continue. So the leader computes
// the scope: a new cell pauses that cell alone, a new clock skew pauses everything. The first map in parts may follow one that is not.
func TestLeaderWritesWhatAChangeTouches(t *testing.T) {
	g := newTestGroup(t, 1, 3*time.Second)
	cellMap := largeMap(30)
	g.mustApply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Text: string(settings.FormatCells(cellMap))})
	g.awaitActive(1)
	if active := g.activeMap(); active.InParts || active.Format != 1 {
		t.Fatalf("active version is %+v, want format 1 and not in parts", active)
	}
	version := 1
	for _, c := range []struct {
		edit      func()
		exclusive bool
		scope     string
	}{
		{func() {}, false, ""}, // only the format changes
		{func() { cellMap.Tenants[3].Rate = 7 }, false, ""},
		{func() {
			cellMap.Cells = append(cellMap.Cells, cells.Cell{Name: "new", Capacity: 5})
			cellMap.Servers = append(cellMap.Servers, cells.Server{Name: "sn", Addr: "127.0.0.1:9", Cell: "new", Weight: 1})
		}, true, "cell:new"},
		{func() { cellMap.MaxClockSkew *= 2 }, true, ""},
	} {
		cellMap.Version++
		c.edit()
		texts := settings.SplitCells(cellMap)
		r := g.mustApply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: texts, Digest: configstore.TextsDigest(texts), Scope: []string{"cell:lie"}})
		version++
		if r.Version != version {
			t.Errorf("proposed as version %d, want %d", r.Version, version)
		}
		g.awaitActive(version)
		active := g.activeMap()
		if active.Exclusive != c.exclusive || strings.Join(active.Scope, " ") != c.scope || !active.InParts {
			t.Errorf("version %d: exclusive %v, scope %q", version, active.Exclusive, active.Scope)
		}
	}
	for want, change := range map[string]configstore.Change{
		"only a map is in parts":         {Op: configstore.OpLoadDraft, Doc: configstore.DocRouting, Draft: "x", Parts: map[string]string{"a": "{}"}},
		"a whole text can't be put":      {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Text: "{}"},
		"only the group's leader may":    {Op: configstore.OpExpire, Author: "r1"},
		"not JSON":                       {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: map[string]string{"top": "{"}},
		"part t00: 65537 bytes, of 1 to": {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: map[string]string{"t00": strings.Repeat("x", 65537)}},
		"no draft \"gone\" of map":       {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Draft: "gone"},
		"bytes in one command":           {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Author: strings.Repeat("\x01", 100_000)},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		r, err := g.Do(ctx, statemachine.Command{Config: &change})
		cancel()
		if got := fmt.Sprint(r.Error, err); !strings.Contains(got, want) || strings.Contains(got, "\n") {
			t.Errorf("change failed with %q, want %q in one line", got, want)
		}
	}
}

// A member that was down while the log grew needs a snapshot that is longer than a call. The snapshot is sent in parts. If a part is lost,
// the whole snapshot must be sent again, else the member would never catch up.
func TestLongSnapshotGoesInPartsAndIsSentAgain(t *testing.T) {
	var thirdPartCalls atomic.Int32
	t.Cleanup(func() { SnapshotPartHook = nil }) // runs after the members have stopped
	SnapshotPartHook = func(n int) bool { return n != 2 || thirdPartCalls.Add(1) != 1 }
	g := newTestGroup(t, 3, 3*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := g.Read(ctx, ""); err != nil {
		t.Fatal(err)
	}
	absent := 0
	for i, m := range g.members {
		if m.Status().State != "leader" {
			absent = i
		}
	}
	g.stop(absent)
	texts := settings.SplitCells(largeMap(21000))
	g.loadMap(texts, 0)
	g.awaitActive(1)
	total := func(name string) (n uint64) {
		for _, s := range g.stats {
			n += s.Get("group", name)
		}
		return n
	}
	snapshots := total("snapshots")
	for n := 0; total("snapshots") < snapshots+2 && n < 1000; n++ { // the kept log is bounded in bytes too
		batch := configstore.Batches(texts)[0]
		batch["t00"] += strings.Repeat(" ", n+1)
		g.mustApply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: fmt.Sprint("x", n), Parts: batch})
	}
	if total("snapshots") < snapshots+2 {
		t.Fatal("the writes triggered fewer than 2 snapshots")
	}
	g.start(absent)
	t.Cleanup(func() {
		if t.Failed() {
			for i, s := range g.stats {
				var b strings.Builder
				s.Print(&b)
				t.Logf("member %d, %+v:\n%s", i, g.members[i].Status(), b.String())
			}
		}
	})
	g.await("the member that was down has caught up", func() bool {
		status, maxApplied := g.members[absent].Status(), uint64(0)
		for i, m := range g.members {
			if i != absent {
				maxApplied = max(maxApplied, m.Status().Applied)
			}
		}
		return status.Applied >= maxApplied
	})
	if thirdPartCalls.Load() < 2 || total("snapshots_unsent") == 0 || g.stats[absent].Get("group", "snapshots_put_together") == 0 {
		t.Errorf("the third part was sent %d times; snapshots: %d failed, %d assembled", thirdPartCalls.Load(), total("snapshots_unsent"), g.stats[absent].Get("group", "snapshots_put_together"))
	}
	// The member has the same state as the others: it can form a majority with one of them.
	for i := range g.members {
		if i != absent {
			g.stop(i)
			break
		}
	}
	if active := g.activeMap(); active == nil || active.ID.Digest != configstore.TextsDigest(texts) {
		t.Errorf("active version after one member stopped is %+v", active)
	}
}

// Parts of two snapshots, or with a part missing in between, would assemble a state that no member has. A part that is out of order, belongs
// to another snapshot or exceeds a bound must be rejected, and the incomplete snapshot dropped.
func TestPartsThatDoNotFollowDropTheSnapshot(t *testing.T) {
	m := &Member{confirmed: true, stats: &metrics.Counters{}, cfg: Config{Group: "test"}}
	sendPart := func(from uint64, body, s, o, l string) string {
		reply := m.handleSnapshotPart(msgpackrpc.Call{Body: []byte(body), Fields: map[string]string{"s": s, "o": o, "l": l}}, from)
		return reply.Error
	}
	for i, c := range []struct {
		from          uint64
		body, s, o, l string
		ok            bool
	}{
		{1, "abc", "7", "3", "9", false}, // not the first part
		{1, "abc", "7", "0", "9", true},
		{1, "abc", "7", "3", "9", true},
		{1, "abc", "8", "6", "9", false}, // of another snapshot
		{1, "abc", "7", "6", "9", false}, // the snapshot was dropped
		{1, "abc", "7", "0", "9", true},
		{2, "abc", "7", "3", "9", false}, // from another member
		{1, "abc", "7", "0", "9", true},
		{1, "abcdefg", "7", "3", "9", false}, // exceeds the length of the snapshot
		{1, "abc", "7", "0", fmt.Sprint(maxSnapshotBytes + 1), false},
		{1, "abc", "7", "0", "0", false},
		{1, "abc", "7", "0", "3", false}, // wrong checksum
	} {
		if got := sendPart(c.from, c.body, c.s, c.o, c.l); (got == "") != c.ok {
			t.Errorf("call %d: the reply has the error code %q, contrary to what the call expects", i, got)
		}
	}
	if m.incoming != nil {
		t.Error("an incomplete snapshot is kept after a rejected part")
	}
	sendPart(1, "abc", "7", "0", "9")
	m.incoming.receivedAt = m.incoming.receivedAt.Add(-snapshotPartTimeout - time.Second)
	if m.dropStalledSnapshot(); m.incoming != nil {
		t.Error("an incomplete snapshot is kept after its timeout")
	}
}

// A hundred processes that return at once would cost a hundred disk writes. Reports that arrive while the disk is busy must share log
// entries, and each process must get its reply.
func TestReportsThatComeTogetherAreOneEntry(t *testing.T) {
	var stalled atomic.Bool
	release := make(chan struct{})
	t.Cleanup(func() { DiskFaultHook = nil }) // runs after the members have stopped
	DiskFaultHook = func(string) error {
		if stalled.Load() {
			<-release
		}
		return nil
	}
	g := newTestGroup(t, 1, time.Minute)
	g.loadMap(settings.SplitCells(largeMap(30)), 0)
	g.awaitActive(1)
	const n = 100
	m, before := g.members[0], g.stats[0].Get("group", "applied")
	stalled.Store(true)
	var clients sync.WaitGroup
	register := func(i int) {
		clients.Go(func() {
			group := &testGroup{Client: &quorum.Client{Group: "test", Addrs: g.addrs}}
			defer group.Close()
			process := newFollower(fmt.Sprint("r", i), 2)
			for process.poll(group) != nil && t.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	register(0) // its registration starts a disk write, which blocks
	for i := range n - 1 {
		register(i + 1)
	}
	g.await("all processes wait for replies", func() bool { return len(m.calls) >= n-1 })
	stalled.Store(false)
	close(release)
	clients.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Config(ctx)
	if err != nil || len(r.Store.Processes) != n {
		t.Fatal(len(r.Store.Processes), err)
	}
	entries := g.stats[0].Get("group", "applied") - before
	if entries > n/10 {
		t.Errorf("%d log entries for %d reports, want at most a tenth", entries, n)
	}
	t.Logf("%d log entries for %d reports", entries, n)
}
