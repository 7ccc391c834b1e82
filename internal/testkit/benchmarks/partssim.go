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
	Processes        int           // that follow the map
	Interval         time.Duration // interval between changes, each the move of one tenant; 0: no changes
	Duration         time.Duration // measured time, after the warm-up
	Silent           int           // processes that fall silent every silenceDuration, for as long, picked at random
	Zone             int           // processes that restart at once without stored state, a third into the run
	Disabled         configstore.DisabledGuards
}

const (
	latencyRange    = 2 * time.Millisecond  // range of the one-way latency above its minimum of 0.2 ms
	regionLatency   = 40 * time.Millisecond // added one-way latency between regions
	commitTime      = 6 * time.Millisecond  // time of a log commit: a disk sync and the nearest other member
	confirmTime     = 2 * time.Millisecond  // time for the nearest other member to confirm the leadership
	linkRate        = 125e6                 // bytes/s of the leader's outgoing link
	messageOverhead = 60                    // approximate bytes of a message besides its body
	silenceDuration = 5 * time.Second       // silence of a process
)

// PartsSimResult holds the measurements of one simulation.
type PartsSimResult struct {
	Delays         []time.Duration // per change, from its put until all processes that are not silent act on it
	Skipped        int             // changes skipped because the previous one was still under way
	Put            int             // changes put
	Messages       int             // to and from the leader
	Received, Sent int             // bytes received and sent by the leader
	PeakSent       int             // most bytes that the leader sent in one second
	RecoveryTime   time.Duration   // from the restart of the zone until all of it acts on the active version; 0: never
	MapSize        int             // bytes of the map
}

// simEvent is a function to call at a virtual time. Events of the same time run by order.
type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

// simEvents is a heap of events, earliest first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simProcess is a simulated process.
type simProcess struct {
	replica      *configstore.Replica
	far          bool          // in another region than the leader
	generation   int           // number of starts; replies to an earlier start are dropped
	silentUntil  time.Duration // silent until this time
	fetching     bool          // a request for parts is under way
	activeDigest uint64        // digest of the version that it acts on
}

// firstMap returns the first version of the map, with about 30 servers a cell.
func (s PartsSim) firstMap() *cells.Map {
	m := &cells.Map{Version: 1, KeyWindow: 10 * time.Second, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: 4 * time.Second}
	cellCount := max(1, s.Servers/30)
	for i := range cellCount {
		m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprintf("cell-%02d", i), Capacity: 1000})
	}
	for i := range s.Servers {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:4000", i/250, i%250+1), Cell: m.Cells[i%cellCount].Name, Weight: 1, JoinsAt: 1})
	}
	for i := range s.Tenants {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%06d", i), Rate: 10, Homes: []cells.Home{{Cell: m.Cells[i%cellCount].Name}}})
	}
	return m
}

// Run runs the simulation with the seed. It returns an error if the leader rejects a change.
func (s PartsSim) Run(seed uint64) (result PartsSimResult, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	rng := rand.New(rand.NewPCG(seed, 23))
	var events simEvents
	now, count := time.Duration(0), 0
	after := func(d time.Duration, do func()) {
		count++
		heap.Push(&events, simEvent{now + d, count, do})
	}
	latency := func(far bool) time.Duration {
		d := 200*time.Microsecond + time.Duration(rng.Int64N(int64(latencyRange)))
		if far {
			d += regionLatency
		}
		return d
	}
	// The leader.
	store, monitor, index := configstore.NewStore(), configstore.NewProcessMonitor(s.Terms), uint64(0)
	monitor.StartLeading(0)
	apply := func(c configstore.Change) error {
		index++
		_, err := store.Apply(c)
		return err
	}
	m := s.firstMap()
	texts := settings.SplitCells(m)
	for _, text := range texts {
		result.MapSize += len(text)
	}
	for i, batch := range configstore.Batches(texts) {
		if err := apply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "first", Parts: batch}); err != nil {
			return result, fmt.Errorf("batch %d: %w", i, err)
		}
	}
	if err := apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "first", Digest: configstore.TextsDigest(texts)}); err != nil {
		return result, err
	}
	if err := apply(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed}); err != nil {
		return result, err
	}
	document := store.Documents[configstore.DocMap]
	counting := false
	linkIdleAt := time.Duration(0) // when the link becomes idle
	sentBySecond := map[int]int{}
	send := func(bytes int, far bool, do func()) { // from the leader
		start := max(now, linkIdleAt)
		linkIdleAt = start + time.Duration(float64(bytes)/linkRate*float64(time.Second))
		if counting {
			result.Messages++
			result.Sent += bytes
			sentBySecond[int(linkIdleAt/time.Second)] += bytes
		}
		after(linkIdleAt-now+latency(far), do)
	}
	receive := func(bytes int) {
		if counting {
			result.Messages++
			result.Received += bytes
		}
	}
	var pending []func() // entries that wait for the next commit
	committing := false
	var flush func()
	flush = func() {
		if committing || len(pending) == 0 {
			return
		}
		committing = true
		batch := pending
		pending = nil
		after(commitTime, func() {
			committing = false
			for _, do := range batch {
				do()
			}
			flush()
		})
	}
	appendLog := func(do func()) {
		pending = append(pending, do)
		flush()
	}
	messageSize := func(v any) int {
		body, marshalErr := json.Marshal(v)
		if marshalErr != nil {
			err = marshalErr
		}
		return len(body) + messageOverhead
	}
	// The processes.
	processes := make([]*simProcess, s.Processes)
	targetDigest, waitingFor, putAt, underWay := uint64(0), map[*simProcess]bool{}, time.Duration(0), false
	restarting := map[*simProcess]bool{}
	restartAt := s.Duration / 3
	activated := func(p *simProcess) {
		if underWay && p.activeDigest == targetDigest && waitingFor[p] {
			if delete(waitingFor, p); len(waitingFor) == 0 {
				result.Delays, underWay = append(result.Delays, now-putAt), false
			}
		}
		if restarting[p] && document.Active != nil && p.activeDigest == document.Active.ID.Digest {
			if delete(restarting, p); len(restarting) == 0 {
				result.RecoveryTime = now - restartAt
			}
		}
	}
	activate := func(p *simProcess, updates []configstore.Update) {
		for _, update := range updates {
			p.activeDigest = update.Revision.ID.Digest
			activated(p)
		}
	}
	check := func(string, string) error { return nil }
	var sync, fetch func(p *simProcess, gen int)
	fetch = func(p *simProcess, gen int) {
		if p.fetching || gen != p.generation {
			return
		}
		request, retryAt, ok := p.replica.NextRequest(now)
		if !ok {
			if retryAt > now {
				after(retryAt-now, func() { fetch(p, gen) })
			}
			return
		}
		p.fetching = true
		bytes := messageSize(request)
		after(latency(p.far), func() {
			receive(bytes)
			id, parts, ok := document.PartsAt(request.Version)
			reply := quorum.DocumentParts{ID: id}
			if ok {
				reply.Parts = configstore.SelectParts(parts, request.Names)
			}
			size := messageOverhead
			for name, part := range reply.Parts { // encoded as JSON, with its version and digest
				size += len(name) + 45 + configstore.EncodedSize(part.Text)
			}
			send(size, p.far, func() {
				if gen != p.generation {
					return
				}
				p.fetching = false
				if !ok {
					p.replica.RequestFailed()
				} else {
					activate(p, p.replica.ReceiveParts(now, request, id, reply.Parts, check))
				}
				fetch(p, gen)
			})
		})
	}
	sync = func(p *simProcess, gen int) {
		switch {
		case gen != p.generation:
			return
		case now < p.silentUntil:
			after(p.silentUntil-now, func() { sync(p, gen) })
			return
		}
		sentAt, report := now, p.replica.Report()
		hasVersions, baseVersions, activeVersions := p.replica.KnownVersions(), p.replica.CompleteVersions(), p.replica.ActiveVersions()
		bytes := messageSize(quorum.ConfigSync{Process: report, HasVersions: hasVersions, BaseVersions: baseVersions, ActiveVersions: activeVersions})
		after(latency(p.far), func() {
			receive(bytes)
			if !monitor.Observe(p.replica.Name, now, activeVersions, configstore.Goodput{}, "") {
				send(messageOverhead, p.far, func() { after(20*time.Millisecond, func() { sync(p, gen) }) })
				return
			}
			sendReply := func() {
				process := store.Processes[p.replica.Name]
				if process == nil {
					send(messageOverhead, p.far, func() { after(20*time.Millisecond, func() { sync(p, gen) }) })
					return
				}
				views, appliedIndex := map[string]configstore.View{configstore.DocMap: document.ViewFor(process, hasVersions[configstore.DocMap], baseVersions[configstore.DocMap])}, index
				send(messageSize(quorum.ConfigSyncReply{Terms: s.Terms, Index: appliedIndex, Wall: 1, Docs: views}), p.far, func() {
					if gen != p.generation {
						return
					}
					if now < p.silentUntil { // the reply is lost
						after(p.silentUntil-now, func() { sync(p, gen) })
						return
					}
					activate(p, p.replica.Receive(sentAt, appliedIndex, s.Terms, views, check))
					fetch(p, gen)
					after(max(10*time.Millisecond, p.replica.PollInterval()), func() { sync(p, gen) })
				})
			}
			if !store.NeedsRecording(report) {
				after(confirmTime, sendReply)
				return
			}
			appendLog(func() {
				op := configstore.OpReport
				if store.Processes[p.replica.Name] == nil {
					op = configstore.OpRegister
				}
				_ = apply(configstore.Change{Op: op, Process: &report})
				sendReply()
			})
		})
	}
	start := func(p *simProcess, name string) {
		p.generation++
		p.replica = configstore.NewReplica(name, map[string]int{configstore.DocMap: configstore.PartsFormat})
		p.replica.Disabled = s.Disabled
		p.replica.CheckParts = func(string, map[string]string, bool) error { return nil }
		p.fetching, p.silentUntil, p.activeDigest = false, 0, 0
		gen := p.generation
		after(time.Duration(rng.Int64N(int64(10*time.Millisecond))), func() { sync(p, gen) })
	}
	for i := range processes {
		processes[i] = &simProcess{far: i%2 == 1}
		after(time.Duration(rng.Int64N(int64(10*time.Second))), func() { start(processes[i], fmt.Sprintf("process-%04d#1", i)) })
	}
	var propose func()
	propose = func() {
		for _, c := range monitor.Proposals(store, now) {
			appendLog(func() {
				_ = apply(c)
				if c.Op == configstore.OpExpire {
					monitor.Unregistered(c.Author)
				}
			})
		}
		after(20*time.Millisecond, propose)
	}
	propose()
	// Warm-up: time for all processes to start and load the map.
	const warmUp = 60 * time.Second
	restartAt += warmUp
	var change func()
	change = func() {
		after(s.Interval, change)
		if document.Proposed != nil || underWay {
			result.Skipped++ // the previous change is under way: this one is skipped
			return
		}
		i := rng.IntN(s.Tenants)
		tenant := &m.Tenants[i]
		tenant.Homes = append(tenant.Homes[:1:1], cells.Home{Cell: m.Cells[rng.IntN(len(m.Cells))].Name, Since: int64(1e12) + int64(now/time.Millisecond)})
		m.Version++
		part := cells.TenantPartName(cells.TenantPart(tenant.Name))
		var tenantsOfPart []cells.Tenant
		for _, one := range m.Tenants {
			if cells.TenantPart(one.Name) == cells.TenantPart(tenant.Name) {
				tenantsOfPart = append(tenantsOfPart, one)
			}
		}
		changedMap := *m
		changedMap.Tenants, changedMap.Servers = tenantsOfPart, nil
		split := settings.SplitCells(&changedMap)
		changed := map[string]string{part: split[part], cells.TopName: split[cells.TopName]}
		nextTexts := maps.Clone(texts)
		maps.Copy(nextTexts, changed)
		texts = nextTexts
		proposal := configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Version: document.Active.ID.Version, Parts: changed, Digest: configstore.TextsDigest(nextTexts)}
		result.Put++
		putAt, targetDigest, underWay = now, proposal.Digest, true
		clear(waitingFor)
		for _, p := range processes {
			if now >= p.silentUntil {
				waitingFor[p] = true
			}
		}
		appendLog(func() {
			if e := apply(proposal); e != nil {
				err = e
			}
		})
	}
	after(warmUp, func() {
		counting = true
		if s.Interval > 0 {
			change()
		}
	})
	if s.Silent > 0 {
		var silence func()
		silence = func() {
			after(silenceDuration, silence)
			for range s.Silent {
				p := processes[rng.IntN(s.Processes)]
				p.silentUntil = now + silenceDuration
				if delete(waitingFor, p); underWay && len(waitingFor) == 0 {
					result.Delays, underWay = append(result.Delays, now-putAt), false
				}
			}
		}
		after(warmUp, silence)
	}
	if s.Zone > 0 {
		after(restartAt, func() {
			for i := range s.Zone {
				p := processes[i*s.Processes/s.Zone]
				restarting[p] = true
				start(p, fmt.Sprintf("process-%04d#2", i*s.Processes/s.Zone))
			}
		})
	}
	for len(events) > 0 && now < warmUp+s.Duration && err == nil {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
	for _, n := range sentBySecond {
		result.PeakSent = max(result.PeakSent, n)
	}
	return result, err
}

// PartsTime runs PartsSim at the target size and prints a table. SILVERPATH_SEEDS is the number of seeds per
// case and SILVERPATH_SECONDS the virtual time of each.
func PartsTime(b *testing.B) {
	seeds := envInt("SILVERPATH_SEEDS", 2)
	interval := time.Minute / 40
	duration := time.Duration(envInt("SILVERPATH_SECONDS", 120)) * time.Second
	fmt.Println("\n| processes | case | changes | p50 | p99 | longest | held off | words a second, each | bytes a second, each | words a second, leader | MB a second out | most in a second, MB | zone back after |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name string
		sim  PartsSim
	}{
		{"at rest", PartsSim{Processes: 470}},
		{"40 changes a minute", PartsSim{Processes: 470, Interval: interval}},
		{"at rest", PartsSim{Processes: 1400}},
		{"40 changes a minute", PartsSim{Processes: 1400, Interval: interval}},
		{"40 a minute, 1% silent", PartsSim{Processes: 1400, Interval: interval, Silent: 14}},
		{"a fifth comes back", PartsSim{Processes: 1400, Zone: 280}},
		{"a fifth comes back, unpaced", PartsSim{Processes: 1400, Zone: 280, Disabled: configstore.DisabledGuards{Pacing: true}}},
		{"a fifth comes back, 40 a minute", PartsSim{Processes: 1400, Interval: interval, Zone: 280}},
	} {
		c.sim.Terms, c.sim.Servers, c.sim.Tenants, c.sim.Duration = rulesTerms, 930, 21000, duration
		var total PartsSimResult
		for seed := range uint64(seeds) {
			result, err := c.sim.Run(seed + 1)
			if err != nil {
				b.Error(err)
				continue
			}
			total.Delays = append(total.Delays, result.Delays...)
			total.Skipped, total.Put, total.Messages, total.Received, total.Sent = total.Skipped+result.Skipped, total.Put+result.Put, total.Messages+result.Messages, total.Received+result.Received, total.Sent+result.Sent
			total.PeakSent, total.MapSize, total.RecoveryTime = max(total.PeakSent, result.PeakSent), result.MapSize, max(total.RecoveryTime, result.RecoveryTime)
			if c.sim.Zone > 0 && result.RecoveryTime == 0 {
				b.Errorf("%s: some restarted processes do not act on the active version", c.name)
			}
		}
		slices.Sort(total.Delays)
		quantile := func(q float64) string {
			if len(total.Delays) == 0 {
				return ""
			}
			return total.Delays[min(len(total.Delays)-1, int(q*float64(len(total.Delays))))].Round(time.Millisecond).String()
		}
		recoveryTime := ""
		if total.RecoveryTime > 0 {
			recoveryTime = total.RecoveryTime.Round(10 * time.Millisecond).String()
		}
		simulatedSeconds := duration.Seconds() * float64(seeds)
		fmt.Printf("| %d | %s | %d | %s | %s | %s | %d | %.1f | %.0f | %.0f | %.2f | %.1f | %s |\n", c.sim.Processes, c.name, total.Put, quantile(0.5), quantile(0.99), quantile(1), total.Skipped,
			float64(total.Messages)/simulatedSeconds/float64(c.sim.Processes), float64(total.Received+total.Sent)/simulatedSeconds/float64(c.sim.Processes), float64(total.Messages)/simulatedSeconds, float64(total.Sent)/simulatedSeconds/1e6, float64(total.PeakSent)/1e6, recoveryTime)
	}
}
