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

// members are members of a group in this process, with their own disks and words between them.
type members struct {
	t     *testing.T
	dirs  []string
	addrs []string
	ends  []func()
	stats []*metrics.Counters
	of    []*Member
	*quorum.Client
}

func newMembers(t *testing.T, n int, ttl time.Duration) *members {
	t.Helper()
	g := &members{t: t, ends: make([]func(), n), of: make([]*Member, n), Client: &quorum.Client{Group: "test"}}
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
		for i := range g.ends {
			g.stop(i)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := g.Found(ctx, lease.Terms{TTL: ttl, Drift: 0.05}); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *members) start(i int) {
	g.t.Helper()
	m, err := Open(Config{Name: fmt.Sprint("q", i), Group: "test", Addr: g.addrs[i], Dir: g.dirs[i], Tick: 20 * time.Millisecond,
		Log: zerolog.Nop(), Stats: g.stats[i]})
	if err != nil {
		g.t.Fatal(err)
	}
	quiet := log.New(io.Discard, "", 0)
	words := msgpackrpc.NewCallServer(Name, g.stats[i], m.Answer)
	var mu sync.Mutex
	var conns []net.Conn
	ln, err := listener.Listen(Name, g.addrs[i], maxConnections, func() time.Duration { return time.Minute }, func(conn net.Conn, slot *listener.Slot) {
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		words.Serve(conn, slot)
	}, quiet, g.stats[i])
	if err != nil {
		g.t.Fatal(err)
	}
	go ln.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		if err := m.Run(ctx); err != nil {
			g.t.Error(err)
		}
	})
	g.of[i] = m
	g.ends[i] = func() { // as a process ends: nothing on its connections is answered any more
		ln.Close()
		cancel()
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		all.Wait()
	}
}

func (g *members) stop(i int) {
	if g.ends[i] != nil {
		g.ends[i]()
		g.ends[i] = nil
	}
}

func (g *members) do(c configstore.Change) statemachine.Result {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Do(ctx, statemachine.Command{Config: &c})
	if err != nil {
		g.t.Fatal(err)
	}
	return r
}

func (g *members) must(c configstore.Change) statemachine.Result {
	g.t.Helper()
	r := g.do(c)
	if r.Error != "" {
		g.t.Fatal(r.Error)
	}
	return r
}

func (g *members) await(what string, yes func() bool) {
	g.t.Helper()
	for end := time.Now().Add(time.Minute); !yes(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatal("not within a minute: ", what)
		}
	}
}

// force is what is in force of the map.
func (g *members) force() *configstore.Revision {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Config(ctx)
	if err != nil {
		g.t.Fatal(err)
	}
	d := r.Store.Documents[configstore.DocMap]
	if d == nil {
		return nil
	}
	return d.Active
}

func (g *members) inForce(version int) {
	g.t.Helper()
	g.await(fmt.Sprint("version ", version), func() bool { e := g.force(); return e != nil && e.ID.Version == version })
}

// largeMap is a map of so many tenants in three cells.
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

// loadMap puts a whole map in parts, by a draft.
func (g *members) loadMap(texts map[string]string, version int) {
	g.t.Helper()
	for _, one := range configstore.Batches(texts) {
		g.must(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "a", Parts: one})
	}
	g.must(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Draft: "a", Digest: configstore.TextsDigest(texts), Author: "t"})
}

// follower is the side of a process that follows the map, without its clock.
type follower struct {
	h     *configstore.Replica
	says  map[string]string
	began time.Time
	bytes int // of the last answer
}

func newFollower(name string, format int) *follower {
	f := &follower{h: configstore.NewReplica(name, map[string]int{configstore.DocMap: format}), says: map[string]string{}, began: time.Now()}
	f.h.CheckParts = func(string, map[string]string, bool) error { return nil }
	return f
}

func (f *follower) take(list []configstore.Update) {
	for _, t := range list {
		if t.Complete || t.Revision.Text != "" {
			f.says = map[string]string{"": t.Revision.Text}
			if t.Revision.Text == "" {
				delete(f.says, "")
			}
		}
		maps.Copy(f.says, t.Parts)
	}
}

func pass(string, string) error { return nil }

// once asks the group once, and for what it lacks.
func (f *follower) once(g *members) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	asked := time.Since(f.began)
	a, err := g.Sync(ctx, quorum.ConfigSync{Process: f.h.Report(), HasVersions: f.h.KnownVersions(), BaseVersions: f.h.CompleteVersions(), ActiveVersions: f.h.ActiveVersions()})
	if err != nil {
		return err
	}
	b, _ := json.Marshal(a)
	f.bytes = len(b)
	f.take(f.h.Receive(asked, a.Index, a.Terms, a.Docs, pass))
	if w, _, ok := f.h.NextRequest(time.Since(f.began)); ok {
		p, err := g.Parts(ctx, w)
		if err != nil {
			f.h.RequestFailed()
			return err
		}
		f.take(f.h.ReceiveParts(time.Since(f.began), w, p.ID, p.Parts, pass))
	}
	return nil
}

// A thousand processes that got the complete map with every change, or with every question, would fill the leader's link. A process gets
// it once, then the parts that changed; at rest the reply does not grow with the map. One of an older build is told that it can't read
// the active version, and a change in parts waits for one that is there.
func TestProcessFollowsALargeMapByWhatChanged(t *testing.T) {
	var atRest []int
	for _, tenants := range []int{1000, 21000} {
		g := newMembers(t, 1, 3*time.Second)
		m := largeMap(tenants)
		texts := settings.SplitCells(m)
		g.loadMap(texts, 0)
		g.inForce(1)
		f := newFollower("r1", 2)
		g.await("the whole map", func() bool { _ = f.once(g); return maps.Equal(f.says, texts) })
		if err := f.once(g); err != nil {
			t.Fatal(err)
		}
		atRest = append(atRest, f.bytes)
		if err := newFollower("r0", 1).once(g); err == nil || !strings.Contains(err.Error(), "format 2: this build reads 1") {
			t.Error(err)
		}

		m.Version = 2
		m.Tenants[0].Rate = 2
		after := settings.SplitCells(m)
		changed := map[string]string{}
		for name, text := range after {
			if texts[name] != text {
				changed[name] = text
			}
		}
		if len(changed) != 2 {
			t.Fatalf("%d parts changed", len(changed))
		}
		c := configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: 1, Parts: changed, Digest: configstore.TextsDigest(after), Author: "t"}
		wrong := c
		wrong.Digest++
		if r := g.do(wrong); !strings.Contains(r.Error, "they are of another version") {
			t.Error(r.Error)
		}
		g.must(c)
		most := 0
		g.await("the change", func() bool { _ = f.once(g); most = max(most, f.bytes); return maps.Equal(f.says, after) })
		size := 0
		for _, text := range changed {
			size += configstore.EncodedSize(text)
		}
		if most > atRest[len(atRest)-1]+2*size+1000 {
			t.Errorf("%d tenants: an answer of %d bytes for a change of %d", tenants, most, size)
		}
		t.Logf("%d tenants: %d bytes at rest, %d at most for a change of %d", tenants, atRest[len(atRest)-1], most, size)
	}
	if d := atRest[1] - atRest[0]; d > 8 || d < -8 {
		t.Errorf("at rest an answer has %d bytes of 1,000 tenants, %d of 21,000", atRest[0], atRest[1])
	}
}

// A client of another build might write less than a change touches, and what must stop would go on. So the leader writes it: a new
// cell stops that cell alone, the clock skew everything. A map that is not in parts is the base of the first one that is.
func TestLeaderWritesWhatAChangeTouches(t *testing.T) {
	g := newMembers(t, 1, 3*time.Second)
	m := largeMap(30)
	g.must(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Text: string(settings.FormatCells(m))})
	g.inForce(1)
	if e := g.force(); e.InParts || e.Format != 1 {
		t.Fatalf("%+v", e)
	}
	version := 1
	for _, c := range []struct {
		change    func()
		exclusive bool
		touches   string
	}{
		{func() {}, false, ""}, // only its form
		{func() { m.Tenants[3].Rate = 7 }, false, ""},
		{func() {
			m.Cells = append(m.Cells, cells.Cell{Name: "new", Capacity: 5})
			m.Servers = append(m.Servers, cells.Server{Name: "sn", Addr: "127.0.0.1:9", Cell: "new", Weight: 1})
		}, true, "cell:new"},
		{func() { m.MaxClockSkew *= 2 }, true, ""},
	} {
		m.Version++
		c.change()
		texts := settings.SplitCells(m)
		r := g.must(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: texts, Digest: configstore.TextsDigest(texts), Scope: []string{"cell:lie"}})
		version++
		if r.Version != version {
			t.Errorf("version %d, not %d", r.Version, version)
		}
		g.inForce(version)
		e := g.force()
		if e.Exclusive != c.exclusive || strings.Join(e.Scope, " ") != c.touches || !e.InParts {
			t.Errorf("version %d: exclusive %v, touches %q", version, e.Exclusive, e.Scope)
		}
	}
	for why, c := range map[string]configstore.Change{
		"only a map is in parts":         {Op: configstore.OpLoadDraft, Doc: configstore.DocRouting, Draft: "x", Parts: map[string]string{"a": "{}"}},
		"a whole text can't be put":      {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Text: "{}"},
		"only the group's leader may":    {Op: configstore.OpExpire, Author: "r1"},
		"not JSON":                       {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: map[string]string{"top": "{"}},
		"part t00: 65537 bytes, of 1 to": {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Parts: map[string]string{"t00": strings.Repeat("x", 65537)}},
		"no draft \"gone\" of map":       {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Draft: "gone"},
		"bytes in one command":           {Op: configstore.OpPropose, Doc: configstore.DocMap, Version: version, Author: strings.Repeat("\x01", 100_000)},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		r, err := g.Do(ctx, statemachine.Command{Config: &c})
		cancel()
		if got := fmt.Sprint(r.Error, err); !strings.Contains(got, why) || strings.Contains(got, "\n") {
			t.Errorf("%q, not %q", got, why)
		}
	}
}

// A member that was away while the log went on needs a snapshot that is longer than a call. It goes in parts; one that is lost on the way
// has the whole snapshot sent again.
func TestLongSnapshotGoesInPartsAndIsSentAgain(t *testing.T) {
	var lost atomic.Int32
	t.Cleanup(func() { SnapshotPartHook = nil }) // once the members have ended
	SnapshotPartHook = func(n int) bool { return n != 2 || lost.Add(1) != 1 }
	g := newMembers(t, 3, 3*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := g.Read(ctx, ""); err != nil {
		t.Fatal(err)
	}
	away := 0
	for i, m := range g.of {
		if m.Status().State != "leader" {
			away = i
		}
	}
	g.stop(away)
	texts := settings.SplitCells(largeMap(21000))
	g.loadMap(texts, 0)
	g.inForce(1)
	sum := func(name string) (n uint64) {
		for _, s := range g.stats {
			n += s.Get("group", name)
		}
		return n
	}
	snapshots := sum("snapshots")
	for n := 0; sum("snapshots") < snapshots+2 && n < 1000; n++ { // what is kept of the log is bounded in bytes too
		one := configstore.Batches(texts)[0]
		one["t00"] += strings.Repeat(" ", n+1)
		g.must(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: fmt.Sprint("x", n), Parts: one})
	}
	if sum("snapshots") < snapshots+2 {
		t.Fatal("no snapshot was made of what was written")
	}
	g.start(away)
	t.Cleanup(func() {
		if t.Failed() {
			for i, s := range g.stats {
				var b strings.Builder
				s.Print(&b)
				t.Logf("member %d, %+v:\n%s", i, g.of[i].Status(), b.String())
			}
		}
	})
	g.await("the member that was away has caught up", func() bool {
		e, all := g.of[away].Status(), uint64(0)
		for i, m := range g.of {
			if i != away {
				all = max(all, m.Status().Applied)
			}
		}
		return e.Applied >= all
	})
	if lost.Load() < 2 || sum("snapshots_unsent") == 0 || g.stats[away].Get("group", "snapshots_put_together") == 0 {
		t.Errorf("the third chunk went out %d times, %d failed, %d put together", lost.Load(), sum("snapshots_unsent"), g.stats[away].Get("group", "snapshots_put_together"))
	}
	// It has the same as the others, and can lead.
	for i := range g.of {
		if i != away {
			g.stop(i)
			break
		}
	}
	if e := g.force(); e == nil || e.ID.Digest != configstore.TextsDigest(texts) {
		t.Errorf("%+v", e)
	}
}

// Parts of two snapshots, or with one missing between, would make a state that no member has. A part that does not follow, is of another
// snapshot, or beyond the bound is refused, and what there was is dropped.
func TestPartsThatDoNotFollowDropTheSnapshot(t *testing.T) {
	m := &Member{confirmed: true, stats: &metrics.Counters{}, cfg: Config{Group: "test"}}
	say := func(from uint64, body, s, o, l string) string {
		v := m.handleSnapshotPart(msgpackrpc.Call{Body: []byte(body), Fields: map[string]string{"s": s, "o": o, "l": l}}, from)
		return v.Error
	}
	for i, c := range []struct {
		from          uint64
		body, s, o, l string
		ok            bool
	}{
		{1, "abc", "7", "3", "9", false}, // nothing before it
		{1, "abc", "7", "0", "9", true},
		{1, "abc", "7", "3", "9", true},
		{1, "abc", "8", "6", "9", false}, // of another one
		{1, "abc", "7", "6", "9", false}, // dropped by now
		{1, "abc", "7", "0", "9", true},
		{2, "abc", "7", "3", "9", false}, // by another one
		{1, "abc", "7", "0", "9", true},
		{1, "abcdefg", "7", "3", "9", false}, // longer than it is
		{1, "abc", "7", "0", fmt.Sprint(maxSnapshotBytes + 1), false},
		{1, "abc", "7", "0", "0", false},
		{1, "abc", "7", "0", "3", false}, // its checksum is wrong
	} {
		if got := say(c.from, c.body, c.s, c.o, c.l); (got == "") != c.ok {
			t.Errorf("%d: %q", i, got)
		}
	}
	if m.incoming != nil {
		t.Error("something is kept")
	}
	say(1, "abc", "7", "0", "9")
	m.incoming.receivedAt = m.incoming.receivedAt.Add(-snapshotPartTimeout - time.Second)
	if m.dropStalledSnapshot(); m.incoming != nil {
		t.Error("kept though nothing more comes")
	}
}

// A hundred processes that come back at once would cost a hundred writes to the disk. What they report while the disk is busy is one
// entry of the log, and each has its reply.
func TestReportsThatComeTogetherAreOneEntry(t *testing.T) {
	var held atomic.Bool
	free := make(chan struct{})
	t.Cleanup(func() { DiskFaultHook = nil }) // once the members have ended
	DiskFaultHook = func(string) error {
		if held.Load() {
			<-free
		}
		return nil
	}
	g := newMembers(t, 1, time.Minute)
	g.loadMap(settings.SplitCells(largeMap(30)), 0)
	g.inForce(1)
	const n = 100
	m, before := g.of[0], g.stats[0].Get("group", "applied")
	held.Store(true)
	var all sync.WaitGroup
	registered := func(i int) {
		all.Go(func() {
			c := &members{Client: &quorum.Client{Group: "test", Addrs: g.addrs}}
			defer c.Close()
			f := newFollower(fmt.Sprint("r", i), 2)
			for f.once(c) != nil && t.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	registered(0) // it has the disk written
	for i := range n - 1 {
		registered(i + 1)
	}
	g.await("they all wait", func() bool { return len(m.calls) >= n-1 })
	held.Store(false)
	close(free)
	all.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := g.Config(ctx)
	if err != nil || len(r.Store.Processes) != n {
		t.Fatal(len(r.Store.Processes), err)
	}
	entries := g.stats[0].Get("group", "applied") - before
	if entries > n/10 {
		t.Errorf("%d entries for %d words", entries, n)
	}
	t.Logf("%d entries for %d words", entries, n)
}
