package benchmarks

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/builtinworker"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/client"
)

// routerServers measures an idle real router by the number of servers that it checks.
func (s *scale) routerServers() error {
	sizes := s.scaled(30, 60, 120, 240, 930)
	h, err := startHollowSet(hollowSet{Kind: "servers", N: sizes[len(sizes)-1]})
	if err != nil {
		return err
	}
	defer h.Kill()
	fixed := map[string]float64{"tenants": 1, "check_ms": float64(scaleCheck.Milliseconds())}
	for range s.repetitions {
		for _, n := range sizes {
			p, _, err := s.startRouter(s.withNextVersion(scaleMap(h.Addrs[:n], 1, 1)))
			if err != nil {
				return err
			}
			time.Sleep(s.settleTime)
			t, a := h.traffic(), allocations(p)
			before, now := s.measure(p.Pid(), h.Pid())
			d := now[0].at.Sub(before[0].at).Seconds()
			c, b := h.traffic().Sub(t), allocations(p)
			cpu, _, _, _ := now[0].since(before[0])
			hcpu, _, _, _ := now[1].since(before[1])
			at := float64(n)
			s.add("router.cpu.servers", "core", "real", fixed, at, cpu)
			s.add("router.resident.servers", "MB", "real", fixed, at, now[0].resident)
			s.add("router.allocations.servers", "1/s", "real", fixed, at, (b-a)/d)
			s.add("router.opened.servers", "1/s", "real", fixed, at, float64(c.Opened)/d)
			s.add("router.messages.servers", "1/s", "real", fixed, at, float64(c.Messages)/d)
			s.add("router.bytes_out.servers", "KB/s", "real", fixed, at, float64(c.In)/d/1024)
			s.add("router.bytes_in.servers", "KB/s", "real", fixed, at, float64(c.Out)/d/1024)
			s.add("server.cpu_of_all.servers", "core", "hollow", fixed, at, hcpu)
			p.Kill()
		}
	}
	return nil
}

// routerHollow measures hollow routers by the number of servers that each checks, to compare their slope with
// that of real routers.
func (s *scale) routerHollow() error {
	const routers = 4
	sizes := s.scaled(30, 60, 120, 240)
	h, err := startHollowSet(hollowSet{Kind: "servers", N: sizes[len(sizes)-1]})
	if err != nil {
		return err
	}
	defer h.Kill()
	fixed := map[string]float64{"tenants": 1, "check_ms": float64(scaleCheck.Milliseconds()), "routers": routers}
	for _, n := range sizes {
		file := filepath.Join(s.dir(), "cells.json")
		if err := proxy.WriteMap(file, s.withNextVersion(scaleMap(h.Addrs[:n], 1, 1))); err != nil {
			return err
		}
		r, err := startHollowSet(hollowSet{Kind: "routers", N: routers, Map: file, Every: scaleCheck})
		if err != nil {
			return err
		}
		time.Sleep(s.settleTime)
		t := r.traffic()
		before, now := s.measure(r.Pid())
		d := now[0].at.Sub(before[0].at).Seconds()
		c := r.traffic().Sub(t)
		cpu, _, _, _ := now[0].since(before[0])
		at := float64(n)
		s.add("router.cpu.servers.hollow", "core", "hollow", fixed, at, cpu/routers)
		s.add("router.resident.servers.hollow", "MB", "hollow", fixed, at, now[0].resident/routers)
		s.add("router.opened.servers.hollow", "1/s", "hollow", fixed, at, float64(c.Opened)/d/routers)
		s.add("router.bytes_out.servers.hollow", "KB/s", "hollow", fixed, at, float64(c.Out)/d/1024/routers)
		s.add("router.bytes_in.servers.hollow", "KB/s", "hollow", fixed, at, float64(c.In)/d/1024/routers)
		r.Kill()
	}
	return nil
}

// routerTenants measures an idle real router by the number of tenants in a cell map that it reads from a
// file.
func (s *scale) routerTenants() error {
	h, err := startHollowSet(hollowSet{Kind: "servers", N: 4})
	if err != nil {
		return err
	}
	defer h.Kill()
	fixed := map[string]float64{"servers": 4, "lease_ms": 5000}
	for range s.repetitions {
		for _, n := range s.scaled(300, 1000, 3000, 9000, 21000) {
			p, ready, err := s.startRouter(s.withNextVersion(scaleMap(h.Addrs, 1, n)))
			if err != nil {
				return err
			}
			time.Sleep(s.settleTime)
			a := allocations(p)
			before, now := s.measureFor(s.duration*5/4, p.Pid()) // three reads of the map, whose lease is 5 s
			d := now[0].at.Sub(before[0].at).Seconds()
			cpu, in, _, _ := now[0].since(before[0])
			at := float64(n)
			s.add("router.cpu.tenants.file", "core", "real", fixed, at, cpu)
			s.add("router.resident.tenants.file", "MB", "real", fixed, at, now[0].resident)
			s.add("router.allocations.tenants.file", "1/s", "real", fixed, at, (allocations(p)-a)/d)
			s.add("router.bytes_in.tenants.file", "KB/s", "real", fixed, at, in)
			s.add("router.ready.tenants.file", "ms", "real", fixed, at, ready.Seconds()*1000)
			p.Kill()
		}
	}
	return nil
}

// withNextVersion gives the map a higher version than all earlier maps of this run. Servers and routers
// report a contradiction between two different maps of the same version.
func (s *scale) withNextVersion(m *cells.Map) *cells.Map {
	s.version++
	m.Version = s.version
	return m
}

// measureFor is measure with a measurement of length d.
func (s *scale) measureFor(d time.Duration, pids ...int) (before, now []usage) {
	x := *s
	x.duration = d
	return x.measure(pids...)
}

// routerRequests measures the latency that a router adds: two open-loop loads run at the same time, one
// through the router and one directly to the servers.
func (s *scale) routerRequests() error {
	const servers = 4
	h, err := startHollowSet(hollowSet{Kind: "servers", N: servers})
	if err != nil {
		return err
	}
	defer h.Kill()
	m := scaleMap(h.Addrs, 1, 1)
	m.Cells[0].Capacity = 1e5
	m.Tenants[0].Rate = 1e5
	for i := range m.Servers { // the servers have stored their results since they joined the map
		m.Servers[i].JoinsAt = time.Now().UnixMilli()
	}
	p, _, err := s.startRouter(m)
	if err != nil {
		return err
	}
	defer p.Kill()
	time.Sleep(s.settleTime)
	fixed := map[string]float64{"servers": servers, "tenants": 1, "body_bytes": 64}
	body := []byte(strings.Repeat("x", 64))
	for play := range s.repetitions {
		before, now := s.measure(p.Pid())
		idle, _, _, _ := now[0].since(before[0])
		for _, rate := range s.scaled(100, 200, 400, 800, 1600) {
			var times [2]*hdrhistogram.Histogram
			var mu sync.Mutex
			var loads sync.WaitGroup
			failed, sent := 0, 0
			for k := range times {
				times[k] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			}
			targets := [2][]string{{p.Platform}, h.Addrs}
			var conns [2][]*client.Conn // opened again for each rate, because idle connections are closed
			for k := range targets {
				for i := range 2 * loadConns {
					c, err := client.Dial(targets[k][i%len(targets[k])])
					if err != nil {
						return err
					}
					defer c.Close()
					conns[k] = append(conns[k], c)
				}
			}
			a := allocations(p)
			before := usageOf(p.Pid())
			for k, conns := range conns {
				loads.Go(func() {
					var requests sync.WaitGroup
					defer requests.Wait()
					arrivals(rand.New(rand.NewPCG(uint64(play), uint64(k))), float64(rate), s.duration, func(_ *rand.Rand, seq int, share Share, at time.Time) {
						q := client.Request{Class: share.Class, Tenant: "tenant0", Timeout: requestTimeout, MemoryKB: 8, Body: body}
						if share.Class == "oddaja" {
							q.Key = fmt.Sprintf("%d-%d-%d-%d", play, rate, k, seq)
						}
						requests.Go(func() {
							a, ok := awaitReply(conns[seq%len(conns)].Do(q))
							took := time.Since(at)
							mu.Lock()
							defer mu.Unlock()
							sent++
							if !ok || a.Outcome != "served" {
								failed++
								return
							}
							_ = times[k].RecordValue(took.Microseconds())
						})
					})
				})
			}
			loads.Wait()
			cpu, in, out, _ := usageOf(p.Pid()).since(before)
			at, ms := float64(rate), func(k int, q float64) float64 { return float64(Percentile(times[k], q).Microseconds()) / 1000 }
			s.add("router.cpu.requests", "core", "real", fixed, at, cpu)
			s.add("router.cpu_each.requests", "us", "real", fixed, at, (cpu-idle)/at*1e6)
			s.add("router.bytes_in.requests", "KB/s", "real", fixed, at, in)
			s.add("router.bytes_out.requests", "KB/s", "real", fixed, at, out)
			s.add("router.allocations_each.requests", "1", "real", fixed, at, (allocations(p)-a)/(at*s.duration.Seconds()))
			s.add("router.added_p50.requests", "ms", "real", fixed, at, ms(0, 50)-ms(1, 50))
			s.add("router.added_p99.requests", "ms", "real", fixed, at, ms(0, 99)-ms(1, 99))
			s.add("router.past_p99.requests", "ms", "real", fixed, at, ms(1, 99))
			s.add("router.unserved.requests", "%", "real", fixed, at, 100*float64(failed)/float64(max(1, sent)))
		}
	}
	return nil
}

// mapSizes proposes cell maps of increasing size to one group and measures which sizes it accepts and how
// fast.
func (s *scale) mapSizes() error {
	g, err := s.startGroup(map[string]string{configstore.DocMap: string(settings.FormatCells(scaleMap(serverAddrs(4), 1, 1)))})
	if err != nil {
		return err
	}
	defer g.Close()
	fixed := map[string]float64{"servers": 4, "followers": 0}
	version := 1
	for _, n := range s.scaled(300, 600, 1200, 1500, 1600, 3000, 5000, 9000, 21000) {
		m := scaleMap(serverAddrs(4), 1, n)
		version++
		m.Version = version
		text := string(settings.FormatCells(m))
		at, err := g.propose(configstore.DocMap, text)
		took := time.Since(at)
		s.add("tool.map_size.tenants", "KB", "real", fixed, float64(n), float64(len(text))/1024)
		accepted := 0.0
		if err == nil {
			accepted = 1
			if err = g.awaitActive(configstore.DocMap, time.Minute); err != nil {
				return err
			}
			s.add("tool.put.tenants", "ms", "real", fixed, float64(n), took.Seconds()*1000)
		} else {
			fmt.Printf("scale: map with %d tenants (%d bytes) not accepted: %v\n", n, len(text), err)
		}
		s.add("tool.accepted.tenants", "1", "real", fixed, float64(n), accepted)
	}
	return nil
}

// serverCallers measures a real server of a cell by the number of hollow callers, each of which sends health
// checks as a router does.
func (s *scale) serverCallers() error {
	const every = time.Second
	i, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Thrash: 1, Speed: 1}, MemoryKB: 65536, RunFactor: 4, Seed: 1})
	if err != nil {
		return err
	}
	defer i.Close()
	fixed := map[string]float64{"check_ms": float64(every.Milliseconds())}
	p, err := Start(s.bin, s.dir(), Site{Cores: 8, MemoryKB: 65536, ProcMB: scaleMemoryMB, Sockets: 4096}, i.Addr(), `{"cell":true,"status":true}`)
	if err != nil {
		return err
	}
	defer p.Kill()
	for range s.repetitions {
		for _, n := range append([]int{0}, s.scaled(50, 100, 200, 400, 1000)...) {
			var pids []int
			var h *hollowProcess
			if n > 0 {
				if h, err = startHollowSet(hollowSet{Kind: "callers", N: n, Every: every, To: p.Platform}); err != nil {
					return err
				}
				pids = append(pids, h.Pid())
			}
			time.Sleep(s.settleTime)
			a := allocations(p)
			before, now := s.measure(append([]int{p.Pid()}, pids...)...)
			d := now[0].at.Sub(before[0].at).Seconds()
			cpu, in, out, _ := now[0].since(before[0])
			at := float64(n)
			if n == 0 { // idle except for the interpreter's gauges
				s.add("server.cpu.rest", "core", "real", fixed, 0, cpu)
				continue
			}
			hcpu, _, _, _ := now[1].since(before[1])
			s.add("server.cpu.callers", "core", "real", fixed, at, cpu)
			s.add("server.resident.callers", "MB", "real", fixed, at, now[0].resident)
			s.add("server.bytes_in.callers", "KB/s", "real", fixed, at, in)
			s.add("server.bytes_out.callers", "KB/s", "real", fixed, at, out)
			s.add("server.allocations.callers", "1/s", "real", fixed, at, (allocations(p)-a)/d)
			s.add("caller.cpu_of_all.callers", "core", "hollow", fixed, at, hcpu)
			h.Kill()
		}
	}
	return nil
}

// groupRouterEdge returns the edge file of a router that follows the documents of a group. The argument docs
// is the JSON array of their names.
func groupRouterEdge(g *documentGroup, docs string) string {
	list, _ := json.Marshal(g.addrs)
	return fmt.Sprintf(`{"status":true,"fleet":{},"rules":{"group":"test","members":%s,"documents":%s}}`, list, docs)
}

// startFollowers starts n hollow followers of a group.
func (s *scale) startFollowers(g *documentGroup, n int, members []string, restarts float64) (*hollowProcess, error) {
	return startHollowSet(hollowSet{Kind: "followers", N: n, Members: members, Docs: []string{configstore.DocMap, configstore.DocRouting, configstore.DocClasses}, Restarts: restarts})
}

// meanSyncs returns the number of file syncs, averaged over the members of the group.
func (g *documentGroup) meanSyncs() (syncs float64) {
	for _, a := range g.Addrs {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if st, err := g.Client.StatusOf(ctx, a); err == nil {
			syncs += float64(st.Syncs) / float64(len(g.Addrs))
		}
		cancel()
	}
	return syncs
}

// proposeAndAwait proposes a document and waits until it is active and n followers have applied it. It
// returns the time of the proposal and, for each follower, the milliseconds from then until it applied the
// document.
func (g *documentGroup) proposeAndAwait(h *hollowProcess, n int, doc, text string) (list []float64, at time.Time, err error) {
	from := h.LineCount()
	at, err = g.propose(doc, text)
	if err != nil {
		return nil, at, fmt.Errorf("%s: %w", doc, err)
	}
	if err := g.awaitActive(doc, time.Minute); err != nil {
		return nil, at, err
	}
	for end := time.Now().Add(2 * scaleLease); ; time.Sleep(20 * time.Millisecond) {
		list = list[:0]
		for _, t := range h.appliedTimes(from, doc) {
			list = append(list, t.Sub(at).Seconds()*1000)
		}
		if len(list) >= n || time.Now().After(end) {
			break
		}
	}
	if len(list) < n {
		return list, at, fmt.Errorf("%s: only %d of %d followers applied the document", doc, len(list), n)
	}
	return list, at, nil
}

// documentTexts generates document texts, each different from the previous one.
type documentTexts struct {
	n       int
	servers []string
	tenants int
}

func (t *documentTexts) next(doc string) string {
	t.n++
	switch doc {
	case configstore.DocRouting:
		return routingText(t.n)
	case configstore.DocClasses:
		return classesText(t.n)
	}
	m := scaleMap(t.servers, 1, t.tenants)
	m.Version, m.Tenants[0].Rate = 1+t.n, float64(10+t.n%50)
	return string(settings.FormatCells(m))
}

// groupFollowers measures a group by the number of processes that follow its documents.
func (s *scale) groupFollowers() error {
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "tenants": 20, "servers": 4}
	servers, err := startHollowSet(hollowSet{Kind: "servers", N: 4})
	if err != nil {
		return err
	}
	defer servers.Kill()
	for range s.repetitions {
		for _, n := range s.scaled(20, 40, 80, 160, 330) {
			if e := s.measureFollowers(n, servers.Addrs, fixed); e != nil { // continue with the other sizes
				err = errors.Join(err, fmt.Errorf("%d followers: %w", n, e))
			}
		}
	}
	return err
}

// measureFollowers measures a group with n followers and a real router: first idle, then with one change of
// each document.
func (s *scale) measureFollowers(n int, servers []string, fixed map[string]float64) error {
	t := &documentTexts{servers: servers, tenants: 20}
	docs := map[string]string{configstore.DocMap: t.next(configstore.DocMap), configstore.DocRouting: routingText(0), configstore.DocClasses: classesText(0)}
	g, err := s.startGroup(docs)
	if err != nil {
		return err
	}
	defer g.Close()
	realRouter, err := Route(s.bin, s.dir(), s.routerSite(), groupRouterEdge(g, `["map","routing","classes"]`))
	if err != nil {
		return err
	}
	defer realRouter.Kill()
	h, err := s.startFollowers(g, n, g.addrs, 0)
	if err != nil {
		return err
	}
	defer h.Kill()
	time.Sleep(s.settleTime)
	leader := g.Members[g.leader]
	member := g.Members[(g.leader+1)%len(g.Members)]
	syncs := g.meanSyncs()
	before, now := s.measure(leader.Pid(), member.Pid(), h.Pid(), realRouter.Pid())
	at, d := float64(n), now[0].at.Sub(before[0].at).Seconds()
	cpu, in, out, writes := now[0].since(before[0])
	s.add("leader.cpu.followers", "core", "real", fixed, at, cpu)
	s.add("leader.resident.followers", "MB", "real", fixed, at, now[0].resident)
	s.add("leader.bytes_in.followers", "KB/s", "real", fixed, at, in)
	s.add("leader.bytes_out.followers", "KB/s", "real", fixed, at, out)
	s.add("leader.messages.followers", "1/s", "real", fixed, at, writes)
	s.add("leader.syncs.followers", "1/s", "real", fixed, at, (g.meanSyncs()-syncs)/d)
	cpu, _, _, _ = now[1].since(before[1])
	s.add("member.cpu.followers", "core", "real", fixed, at, cpu)
	cpu, in, out, _ = now[2].since(before[2])
	s.add("caller.cpu.followers", "core", "hollow", fixed, at, cpu/at)
	s.add("caller.bytes_in.followers", "KB/s", "hollow", fixed, at, in/at)
	s.add("caller.bytes_out.followers", "KB/s", "hollow", fixed, at, out/at)
	cpu, in, out, _ = now[3].since(before[3])
	s.add("router.cpu.followers", "core", "real", fixed, at, cpu)
	s.add("router.bytes_in.followers", "KB/s", "real", fixed, at, in)
	s.add("router.bytes_out.followers", "KB/s", "real", fixed, at, out)
	for _, doc := range []string{configstore.DocRouting, configstore.DocClasses, configstore.DocMap} {
		from := realRouter.LineCount()
		times, proposedAt, err := g.proposeAndAwait(h, n, doc, t.next(doc))
		if err != nil {
			return err
		}
		line, err := realRouter.Await(2*scaleLease, from, "config: active: "+doc)
		if err != nil {
			return fmt.Errorf("real router did not apply the document: %w", err)
		}
		if appliedAt, err := time.Parse("15:04:05.999999", strings.Fields(line)[0]); err == nil {
			delay := appliedAt.Sub(time.Date(0, 1, 1, 0, 0, 0, 0, time.UTC)) - harness.TimeOfDay(proposedAt)
			s.add("router.force.followers."+doc, "ms", "real", fixed, at, max(0, delay.Seconds()*1000))
		}
		p50, p99, worst := quantiles(times)
		s.add("leader.force_p50.followers."+doc, "ms", "real", fixed, at, p50)
		s.add("leader.force_p99.followers."+doc, "ms", "real", fixed, at, p99)
		s.add("leader.force_worst.followers."+doc, "ms", "real", fixed, at, worst)
	}
	return nil
}

// groupConnections measures the connections that followers open to the leader of a group while nothing
// changes. A member accepts at most 128 connections.
func (s *scale) groupConnections() error {
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "tenants": 20}
	g, err := s.startGroup(initialDocs(20))
	if err != nil {
		return err
	}
	defer g.Close()
	for _, n := range s.scaled(20, 40, 80, 160, 330) {
		h, err := s.startFollowers(g, n, g.addrs, 0)
		if err != nil {
			return err
		}
		time.Sleep(s.settleTime)
		before, startedAt := connectionStates(g.addrs[g.leader]), time.Now()
		time.Sleep(s.duration)
		now, d := connectionStates(g.addrs[g.leader]), time.Since(startedAt).Seconds()
		opened, open := 0, 0
		for port, up := range now {
			if _, before := before[port]; !before {
				opened++
			}
			if up {
				open++
			}
		}
		s.add("leader.opened.followers", "1/s", "real", fixed, float64(n), float64(opened)/d)
		s.add("leader.connections.followers", "1", "real", fixed, float64(n), float64(open))
		h.Kill()
	}
	return nil
}

// groupChanges measures a group by the rate of changes, alternating between two documents.
func (s *scale) groupChanges() error {
	n := s.scaled(80)[0]
	const duration = 10 * time.Second
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "followers": float64(n), "tenants": 20}
	t := &documentTexts{servers: serverAddrs(4), tenants: 20}
	docs := map[string]string{configstore.DocMap: t.next(configstore.DocMap), configstore.DocRouting: routingText(0), configstore.DocClasses: classesText(0)}
	g, err := s.startGroup(docs)
	if err != nil {
		return err
	}
	defer g.Close()
	h, err := s.startFollowers(g, n, g.addrs, 0)
	if err != nil {
		return err
	}
	defer h.Kill()
	time.Sleep(s.settleTime)
	leader := g.Members[g.leader]
	for _, k := range []int{0, 1, 2, 4, 8} {
		syncs := g.meanSyncs()
		before := []usage{usageOf(leader.Pid()), usageOf(h.Pid())}
		startedAt := time.Now()
		changed := map[string]bool{}
		for i := range k {
			time.Sleep(time.Until(startedAt.Add(duration * time.Duration(i) / time.Duration(k))))
			doc := []string{configstore.DocRouting, configstore.DocMap}[i%2]
			if changed[doc] {
				if err := g.awaitActive(doc, time.Minute); err != nil {
					return err
				}
			}
			if _, err := g.propose(doc, t.next(doc)); err != nil {
				return fmt.Errorf("change %d of %d: %s: %w", i, k, doc, err)
			}
			changed[doc] = true
		}
		for doc := range changed {
			if err := g.awaitActive(doc, time.Minute); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(startedAt.Add(duration)))
		now := []usage{usageOf(leader.Pid()), usageOf(h.Pid())}
		d := now[0].at.Sub(before[0].at)
		at := float64(k) * time.Hour.Seconds() / d.Seconds() // changes per hour, from the measured duration
		at = float64(int(at/10+0.5)) * 10
		cpu, in, out, _ := now[0].since(before[0])
		s.add("leader.cpu.changes", "core", "real", fixed, at, cpu)
		s.add("leader.bytes_in.changes", "KB/s", "real", fixed, at, in)
		s.add("leader.bytes_out.changes", "KB/s", "real", fixed, at, out)
		s.add("member.syncs.changes", "1/s", "real", fixed, at, (g.meanSyncs()-syncs)/d.Seconds())
		cpu, in, out, _ = now[1].since(before[1])
		s.add("caller.cpu.changes", "core", "hollow", fixed, at, cpu/float64(n))
		s.add("caller.bytes_in.changes", "KB/s", "hollow", fixed, at, in/float64(n))
		s.add("caller.bytes_out.changes", "KB/s", "hollow", fixed, at, out/float64(n))
	}
	return nil
}

// groupRestarts measures a group by the number of follower restarts per minute.
func (s *scale) groupRestarts() error {
	n := s.scaled(40)[0]
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "followers": float64(n), "tenants": 20}
	g, err := s.startGroup(initialDocs(20))
	if err != nil {
		return err
	}
	defer g.Close()
	for i, rate := range []int{60, 120, 240, 600} {
		if i > 0 {
			time.Sleep(scaleLease * 3 / 2) // until the leases of the previous followers have expired
		}
		h, err := s.startFollowers(g, n, g.addrs, float64(rate))
		if err != nil {
			return err
		}
		time.Sleep(s.settleTime)
		leader := g.Members[g.leader]
		syncs := g.meanSyncs()
		before, now := s.measure(leader.Pid())
		at := float64(rate)
		cpu, _, out, _ := now[0].since(before[0])
		s.add("leader.cpu.restarts", "core", "real", fixed, at, cpu)
		s.add("leader.bytes_out.restarts", "KB/s", "real", fixed, at, out)
		s.add("member.syncs.restarts", "1/s", "real", fixed, at, (g.meanSyncs()-syncs)/now[0].at.Sub(before[0].at).Seconds())
		for range 3 { // real routers that start while hollow followers restart
			startedAt := time.Now()
			p, err := Route(s.bin, s.dir(), s.routerSite(), groupRouterEdge(g, `["map","routing","classes"]`))
			if err != nil {
				return err
			}
			s.add("router.ready.restarts", "ms", "real", fixed, at, time.Since(startedAt).Seconds()*1000)
			p.Kill()
		}
		h.Kill()
	}
	return nil
}

// groupDelay measures a group whose followers connect over links that delay each message by a random time,
// uniform between 0 and twice the mean.
func (s *scale) groupDelay() error {
	n := s.scaled(40)[0]
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "followers": float64(n), "tenants": 20}
	t := &documentTexts{servers: serverAddrs(4), tenants: 20}
	docs := map[string]string{configstore.DocMap: t.next(configstore.DocMap), configstore.DocRouting: routingText(0), configstore.DocClasses: classesText(0)}
	g, err := s.startGroup(docs)
	if err != nil {
		return err
	}
	defer g.Close()
	var links []*faults.Proxy
	var members []string
	for i, addr := range g.addrs {
		w, err := faults.Listen(addr, true, uint64(i))
		if err != nil {
			return err
		}
		defer w.Close()
		links, members = append(links, w), append(members, w.Addr())
	}
	h, err := s.startFollowers(g, n, members, 0)
	if err != nil {
		return err
	}
	defer h.Kill()
	time.Sleep(s.settleTime)
	for _, ms := range []int{0, 20, 40, 80, 160} {
		for _, w := range links {
			for _, way := range []faults.Direction{faults.ToListener, faults.ToClient} {
				w.SetFault(way, faults.Fault{Delay: 2 * time.Duration(ms) * time.Millisecond})
			}
		}
		for _, doc := range []string{configstore.DocRouting, configstore.DocClasses} {
			times, _, e := g.proposeAndAwait(h, n, doc, t.next(doc))
			if e != nil {
				err = errors.Join(err, fmt.Errorf("%d ms: %w", ms, e))
				continue
			}
			p50, p99, worst := quantiles(times)
			s.add("leader.force_p50.delay."+doc, "ms", "hollow", fixed, float64(ms), p50)
			s.add("leader.force_p99.delay."+doc, "ms", "hollow", fixed, float64(ms), p99)
			s.add("leader.force_worst.delay."+doc, "ms", "hollow", fixed, float64(ms), worst)
		}
	}
	return err
}

// groupTenants measures a router that gets its cell map from a group, by the number of tenants: its start,
// its idle cost and the time to apply a changed map.
func (s *scale) groupTenants() error {
	servers, err := startHollowSet(hollowSet{Kind: "servers", N: 4})
	if err != nil {
		return err
	}
	defer servers.Kill()
	fixed := map[string]float64{"lease_ms": float64(scaleLease.Milliseconds()), "members": 3, "followers": 1, "servers": 4}
	for _, n := range s.scaled(100, 200, 400, 1200) {
		t := &documentTexts{servers: servers.Addrs, tenants: n}
		g, err := s.startGroup(map[string]string{configstore.DocMap: t.next(configstore.DocMap)})
		if err != nil {
			return err
		}
		err = s.measureTenants(g, t, fixed, float64(n))
		g.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureTenants repeats the measurement of groupTenants s.repetitions times with one group.
func (s *scale) measureTenants(g *documentGroup, t *documentTexts, fixed map[string]float64, at float64) error {
	for range s.repetitions {
		startedAt := time.Now()
		p, err := Route(s.bin, s.dir(), s.routerSite(), groupRouterEdge(g, `["map"]`))
		if err != nil {
			return err
		}
		s.add("router.ready.tenants.group", "ms", "real", fixed, at, time.Since(startedAt).Seconds()*1000)
		err = s.measureStartedRouter(g, p, t, fixed, at)
		p.Kill()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureStartedRouter measures a started router, idle and then with a change of its cell map.
func (s *scale) measureStartedRouter(g *documentGroup, p *Process, t *documentTexts, fixed map[string]float64, at float64) error {
	time.Sleep(s.settleTime / 2)
	before, now := s.measureFor(s.duration/2, p.Pid())
	cpu, _, _, _ := now[0].since(before[0])
	s.add("router.cpu.tenants.group", "core", "real", fixed, at, cpu)
	s.add("router.resident.tenants.group", "MB", "real", fixed, at, now[0].resident)
	from := p.LineCount()
	proposedAt, err := g.propose(configstore.DocMap, t.next(configstore.DocMap))
	if err != nil {
		return err
	}
	if _, err := p.Await(4*scaleLease, from, "config: active: map"); err != nil {
		return err
	}
	s.add("leader.force_worst.tenants.map", "ms", "real", fixed, at, time.Since(proposedAt).Seconds()*1000)
	return g.awaitActive(configstore.DocMap, time.Minute)
}
