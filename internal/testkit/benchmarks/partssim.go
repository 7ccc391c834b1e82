package benchmarks

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/settings"
)

// PartsSim simulates the leader of a group and the processes that follow a map in parts, in virtual time.
// Every second process is in another region than the leader. The leader never fails. Its messages share one
// outgoing link and are sent in order. A log entry waits for a commit; entries that arrive during a commit
// are in the next one.
type PartsSim struct {
	Terms            lease.Terms
	Servers, Tenants int           // in the map
	N                int           // number of processes
	Every            time.Duration // interval between changes, each the move of one tenant; 0: no changes
	For              time.Duration // measured time, after the warm-up
	Silent           int           // processes silenced every silentFor, picked at random, for silentFor each
	Zone             int           // processes that restart at once without stored state, a third into the run
	Out              configstore.DisabledGuards
}

const (
	nearWay   = 2 * time.Millisecond  // range of the one-way latency within a region, above its minimum of 0.2 ms
	farWay    = 40 * time.Millisecond // added one-way latency between regions
	commit    = 6 * time.Millisecond  // time of a log commit: a disk sync and the nearest other member
	confirm   = 2 * time.Millisecond  // time for the nearest other member to confirm the leadership
	linkRate  = 125e6                 // bytes/s of the leader's outgoing link
	framing   = 60                    // approximate bytes of a message besides its body
	silentFor = 5 * time.Second       // silence of a process
)

// PartsSeen holds the measurements of one simulation.
type PartsSeen struct {
	Took     []time.Duration // per change, from its put until all processes that are not silent act on it
	Open     int             // changes skipped because the previous one was still under way
	Put      int             // changes put
	Messages int             // to and from the leader
	In, Sent int             // bytes received and sent by the leader
	Most     int             // most bytes that the leader sent in one second
	Back     time.Duration   // from the restart of the zone until all of it acts on the active version; 0: never
	Whole    int             // bytes of the map
}

// simEvent is a function to call at a virtual time. Events of the same time run in the order of n.
type simEvent struct {
	at time.Duration
	n  int
	do func()
}

// simEvents is a heap of events, earliest first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// follower is a simulated process.
type follower struct {
	h        *configstore.Replica
	far      bool          // in another region than the leader
	gen      int           // number of starts; replies to an earlier start are dropped
	silent   time.Duration // silent until this time
	fetching bool          // a request for parts is under way
	acts     uint64        // digest of the version that it acts on
}

// mapOf returns the first version of the map, with about 30 servers a cell.
func (s PartsSim) mapOf() *cells.Map {
	m := &cells.Map{Version: 1, KeyWindow: 10 * time.Second, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: 4 * time.Second}
	n := max(1, s.Servers/30)
	for i := range n {
		m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprintf("cell-%02d", i), Capacity: 1000})
	}
	for i := range s.Servers {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:4000", i/250, i%250+1), Cell: m.Cells[i%n].Name, Weight: 1, JoinsAt: 1})
	}
	for i := range s.Tenants {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%06d", i), Rate: 10, Homes: []cells.Home{{Cell: m.Cells[i%n].Name}}})
	}
	return m
}

// Run runs the simulation with the seed. It returns an error if the leader rejects a change.
func (s PartsSim) Run(seed uint64) (o PartsSeen, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	rng := rand.New(rand.NewPCG(seed, 23))
	var events simEvents
	now, count := time.Duration(0), 0
	after := func(d time.Duration, do func()) {
		count++
		heap.Push(&events, simEvent{now + d, count, do})
	}
	way := func(far bool) time.Duration {
		d := 200*time.Microsecond + time.Duration(rng.Int64N(int64(nearWay)))
		if far {
			d += farWay
		}
		return d
	}
	// The leader.
	book, watch, index := configstore.NewStore(), configstore.NewProcessMonitor(s.Terms), uint64(0)
	watch.StartLeading(0)
	apply := func(c configstore.Change) error {
		index++
		_, err := book.Apply(c)
		return err
	}
	m := s.mapOf()
	texts := settings.SplitCells(m)
	for _, text := range texts {
		o.Whole += len(text)
	}
	for i, one := range configstore.Batches(texts) {
		if err := apply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "first", Parts: one}); err != nil {
			return o, fmt.Errorf("batch %d: %w", i, err)
		}
	}
	if err := apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "first", Digest: configstore.TextsDigest(texts)}); err != nil {
		return o, err
	}
	if err := apply(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed}); err != nil {
		return o, err
	}
	d := book.Documents[configstore.DocMap]
	counting := false
	free := time.Duration(0) // when the link becomes idle
	seconds := map[int]int{}
	send := func(bytes int, far bool, do func()) { // from the leader
		start := max(now, free)
		free = start + time.Duration(float64(bytes)/linkRate*float64(time.Second))
		if counting {
			o.Messages++
			o.Sent += bytes
			seconds[int(free/time.Second)] += bytes
		}
		after(free-now+way(far), do)
	}
	hear := func(bytes int) {
		if counting {
			o.Messages++
			o.In += bytes
		}
	}
	var log []func() // entries that wait for the next commit
	committing := false
	var flush func()
	flush = func() {
		if committing || len(log) == 0 {
			return
		}
		committing = true
		batch := log
		log = nil
		after(commit, func() {
			committing = false
			for _, do := range batch {
				do()
			}
			flush()
		})
	}
	into := func(do func()) {
		log = append(log, do)
		flush()
	}
	length := func(v any) int {
		b, e := json.Marshal(v)
		if e != nil {
			err = e
		}
		return len(b) + framing
	}
	// The processes.
	all := make([]*follower, s.N)
	target, left, putAt, due := uint64(0), map[*follower]bool{}, time.Duration(0), false
	zone := map[*follower]bool{}
	zoneAt := s.For / 3
	arrived := func(p *follower) {
		if due && p.acts == target && left[p] {
			if delete(left, p); len(left) == 0 {
				o.Took, due = append(o.Took, now-putAt), false
			}
		}
		if zone[p] && d.Active != nil && p.acts == d.Active.ID.Digest {
			if delete(zone, p); len(zone) == 0 {
				o.Back = now - zoneAt
			}
		}
	}
	took := func(p *follower, list []configstore.Update) {
		for _, t := range list {
			p.acts = t.Revision.ID.Digest
			arrived(p)
		}
	}
	check := func(string, string) error { return nil }
	var step, fetch func(p *follower, gen int)
	fetch = func(p *follower, gen int) {
		if p.fetching || gen != p.gen {
			return
		}
		w, at, ok := p.h.NextRequest(now)
		if !ok {
			if at > now {
				after(at-now, func() { fetch(p, gen) })
			}
			return
		}
		p.fetching = true
		bytes := length(w)
		after(way(p.far), func() {
			hear(bytes)
			id, parts, ok := d.PartsAt(w.Version)
			answer := quorum.DocumentParts{ID: id}
			if ok {
				answer.Parts = configstore.SelectParts(parts, w.Names)
			}
			size := framing
			for name, one := range answer.Parts { // encoded as JSON, with its version and digest
				size += len(name) + 45 + configstore.EncodedSize(one.Text)
			}
			send(size, p.far, func() {
				if gen != p.gen {
					return
				}
				p.fetching = false
				if !ok {
					p.h.RequestFailed()
				} else {
					took(p, p.h.ReceiveParts(now, w, id, answer.Parts, check))
				}
				fetch(p, gen)
			})
		})
	}
	step = func(p *follower, gen int) {
		switch {
		case gen != p.gen:
			return
		case now < p.silent:
			after(p.silent-now, func() { step(p, gen) })
			return
		}
		asked, said := now, p.h.Report()
		has, bases, acts := p.h.KnownVersions(), p.h.CompleteVersions(), p.h.ActiveVersions()
		bytes := length(quorum.ConfigSync{Process: said, HasVersions: has, BaseVersions: bases, ActiveVersions: acts})
		after(way(p.far), func() {
			hear(bytes)
			if !watch.Observe(p.h.Name, now, acts, configstore.Goodput{}, "") {
				send(framing, p.far, func() { after(20*time.Millisecond, func() { step(p, gen) }) })
				return
			}
			tell := func() {
				u := book.Processes[p.h.Name]
				if u == nil {
					send(framing, p.far, func() { after(20*time.Millisecond, func() { step(p, gen) }) })
					return
				}
				docs, at := map[string]configstore.View{configstore.DocMap: d.ViewFor(u, has[configstore.DocMap], bases[configstore.DocMap])}, index
				send(length(quorum.ConfigSyncReply{Terms: s.Terms, Index: at, Wall: 1, Docs: docs}), p.far, func() {
					if gen != p.gen {
						return
					}
					if now < p.silent { // the reply is lost
						after(p.silent-now, func() { step(p, gen) })
						return
					}
					took(p, p.h.Receive(asked, at, s.Terms, docs, check))
					fetch(p, gen)
					after(max(10*time.Millisecond, p.h.PollInterval()), func() { step(p, gen) })
				})
			}
			if !book.HasNews(said) {
				after(confirm, tell)
				return
			}
			into(func() {
				op := configstore.OpReport
				if book.Processes[p.h.Name] == nil {
					op = configstore.OpRegister
				}
				_ = apply(configstore.Change{Op: op, Process: &said})
				tell()
			})
		})
	}
	begin := func(p *follower, name string) {
		p.gen++
		p.h = configstore.NewReplica(name, map[string]int{configstore.DocMap: configstore.PartsFormat})
		p.h.Disabled = s.Out
		p.h.CheckParts = func(string, map[string]string, bool) error { return nil }
		p.fetching, p.silent, p.acts = false, 0, 0
		gen := p.gen
		after(time.Duration(rng.Int64N(int64(10*time.Millisecond))), func() { step(p, gen) })
	}
	for i := range all {
		all[i] = &follower{far: i%2 == 1}
		after(time.Duration(rng.Int64N(int64(10*time.Second))), func() { begin(all[i], fmt.Sprintf("process-%04d#1", i)) })
	}
	var look func()
	look = func() {
		for _, c := range watch.Proposals(book, now) {
			into(func() {
				_ = apply(c)
				if c.Op == configstore.OpExpire {
					watch.Unregistered(c.Author)
				}
			})
		}
		after(20*time.Millisecond, look)
	}
	look()
	// Warm-up: time for all processes to start and load the map.
	const ready = 60 * time.Second
	zoneAt += ready
	var change func()
	change = func() {
		after(s.Every, change)
		if d.Proposed != nil || due {
			o.Open++ // the previous change is under way: this one is skipped
			return
		}
		i := rng.IntN(s.Tenants)
		t := &m.Tenants[i]
		t.Homes = append(t.Homes[:1:1], cells.Home{Cell: m.Cells[rng.IntN(len(m.Cells))].Name, Since: int64(1e12) + int64(now/time.Millisecond)})
		m.Version++
		part := cells.TenantPartName(cells.TenantPart(t.Name))
		var of []cells.Tenant
		for _, one := range m.Tenants {
			if cells.TenantPart(one.Name) == cells.TenantPart(t.Name) {
				of = append(of, one)
			}
		}
		small := *m
		small.Tenants, small.Servers = of, nil
		split := settings.SplitCells(&small)
		changed := map[string]string{part: split[part], cells.TopName: split[cells.TopName]}
		whole := maps.Clone(texts)
		maps.Copy(whole, changed)
		texts = whole
		c := configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: d.Active.ID.Version, Parts: changed, Digest: configstore.TextsDigest(whole)}
		o.Put++
		putAt, target, due = now, c.Digest, true
		clear(left)
		for _, p := range all {
			if now >= p.silent {
				left[p] = true
			}
		}
		into(func() {
			if e := apply(c); e != nil {
				err = e
			}
		})
	}
	after(ready, func() {
		counting = true
		if s.Every > 0 {
			change()
		}
	})
	if s.Silent > 0 {
		var hush func()
		hush = func() {
			after(silentFor, hush)
			for range s.Silent {
				p := all[rng.IntN(s.N)]
				p.silent = now + silentFor
				if delete(left, p); due && len(left) == 0 {
					o.Took, due = append(o.Took, now-putAt), false
				}
			}
		}
		after(ready, hush)
	}
	if s.Zone > 0 {
		after(zoneAt, func() {
			for i := range s.Zone {
				p := all[i*s.N/s.Zone]
				zone[p] = true
				begin(p, fmt.Sprintf("process-%04d#2", i*s.N/s.Zone))
			}
		})
	}
	for len(events) > 0 && now < ready+s.For && err == nil {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
	for _, n := range seconds {
		o.Most = max(o.Most, n)
	}
	return o, err
}

// PartsTime runs PartsSim at the target size and prints a table. SILVERPATH_SEEDS is the number of seeds per
// case and SILVERPATH_SECONDS the virtual time of each.
func PartsTime(b *testing.B) {
	seeds := number("SILVERPATH_SEEDS", 2)
	rate := time.Minute / 40
	span := time.Duration(number("SILVERPATH_SECONDS", 120)) * time.Second
	fmt.Println("\n| processes | case | changes | p50 | p99 | longest | held off | words a second, each | bytes a second, each | words a second, leader | MB a second out | most in a second, MB | zone back after |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name string
		sim  PartsSim
	}{
		{"at rest", PartsSim{N: 470}},
		{"40 changes a minute", PartsSim{N: 470, Every: rate}},
		{"at rest", PartsSim{N: 1400}},
		{"40 changes a minute", PartsSim{N: 1400, Every: rate}},
		{"40 a minute, 1% silent", PartsSim{N: 1400, Every: rate, Silent: 14}},
		{"a fifth comes back", PartsSim{N: 1400, Zone: 280}},
		{"a fifth comes back, unpaced", PartsSim{N: 1400, Zone: 280, Out: configstore.DisabledGuards{Pacing: true}}},
		{"a fifth comes back, 40 a minute", PartsSim{N: 1400, Every: rate, Zone: 280}},
	} {
		c.sim.Terms, c.sim.Servers, c.sim.Tenants, c.sim.For = rulesTerms, 930, 21000, span
		var sum PartsSeen
		for seed := range uint64(seeds) {
			o, err := c.sim.Run(seed + 1)
			if err != nil {
				b.Error(err)
				continue
			}
			sum.Took = append(sum.Took, o.Took...)
			sum.Open, sum.Put, sum.Messages, sum.In, sum.Sent = sum.Open+o.Open, sum.Put+o.Put, sum.Messages+o.Messages, sum.In+o.In, sum.Sent+o.Sent
			sum.Most, sum.Whole, sum.Back = max(sum.Most, o.Most), o.Whole, max(sum.Back, o.Back)
			if c.sim.Zone > 0 && o.Back == 0 {
				b.Errorf("%s: some restarted processes do not act on the active version", c.name)
			}
		}
		slices.Sort(sum.Took)
		at := func(q float64) string {
			if len(sum.Took) == 0 {
				return ""
			}
			return sum.Took[min(len(sum.Took)-1, int(q*float64(len(sum.Took))))].Round(time.Millisecond).String()
		}
		back := ""
		if sum.Back > 0 {
			back = sum.Back.Round(10 * time.Millisecond).String()
		}
		secs := span.Seconds() * float64(seeds)
		fmt.Printf("| %d | %s | %d | %s | %s | %s | %d | %.1f | %.0f | %.0f | %.2f | %.1f | %s |\n", c.sim.N, c.name, sum.Put, at(0.5), at(0.99), at(1), sum.Open,
			float64(sum.Messages)/secs/float64(c.sim.N), float64(sum.In+sum.Sent)/secs/float64(c.sim.N), float64(sum.Messages)/secs, float64(sum.Sent)/secs/1e6, float64(sum.Most)/1e6, back)
	}
}
