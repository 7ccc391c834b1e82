package benchmarks

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/transport/client"
)

// partsFaultRig is a rulesRig whose map is in parts. It records every version of the map that the group had,
// and checks that routers act on no other version.
type partsFaultRig struct {
	*rulesRig
	mapUncertain bool                             // Map may differ from the active map
	revisions    map[string]*configstore.Revision // versions that the group had, by ID
	idByVersion  map[int]string                   // their IDs by version number
	total        partsOutcome                     // of all schedules so far

	mu            sync.Mutex
	acknowledged  map[int]bool // versions acknowledged as proposed (false) or as in force (true)
	storedDigests []string     // digests of the maps that killed routers had stored
}

// partsOutcome counts what the checks of schedules saw.
type partsOutcome struct {
	activeMaps, exclusive, rejected      int           // became active; of those, exclude their predecessor; never became active
	acknowledged, lost                   int           // acknowledged puts; of those, lost
	activations, storedMaps, neverActive int           // activations; maps stored by killed routers; of both, never active
	staleUpdates                         int           // updates that did not follow from a router's state
	behind                               int           // routers that did not act on the active map in time
	overlap                              time.Duration // longest time with two maps in use that exclude each other
}

func (o *partsOutcome) add(p partsOutcome) {
	o.activeMaps, o.exclusive, o.rejected, o.acknowledged, o.lost = o.activeMaps+p.activeMaps, o.exclusive+p.exclusive, o.rejected+p.rejected, o.acknowledged+p.acknowledged, o.lost+p.lost
	o.activations, o.storedMaps, o.neverActive, o.staleUpdates, o.behind = o.activations+p.activations, o.storedMaps+p.storedMaps, o.neverActive+p.neverActive, o.staleUpdates+p.staleUpdates, o.behind+p.behind
	o.overlap = max(o.overlap, p.overlap)
}

// idleRate is the base rate of tenants without traffic.
const idleRate = 0.01

// newPartsFaultRig starts the fleet with the given number of tenants without traffic besides the usual ones.
// The caller stops the rig, also after an error.
func newPartsFaultRig(bin, dir string, servers, routers, tenants int) (*partsFaultRig, error) {
	r := &partsFaultRig{revisions: map[string]*configstore.Revision{}, idByVersion: map[int]string{}, acknowledged: map[int]bool{}}
	var err error
	r.rulesRig, err = newRulesRigBy(bin, dir, servers, routers, func(m *cells.Map) {
		// Short enough that a move completes within two schedules, and that a delayed move arrives too late.
		m.Lease, m.MaxClockSkew, m.KeyWindow, m.CallerTimeout = 1200*time.Millisecond, 400*time.Millisecond, 3*time.Second, 2*time.Second
		for i := range tenants {
			m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: idleRate, Homes: []cells.Home{{Cell: string('a' + rune(i%3))}}})
		}
	})
	if err != nil {
		return r, err
	}
	r.faultKinds, r.putChange, r.checkKilled, r.checkMended = 11, r.changeParts, r.checkStoredMap, r.checkAfterRepair
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	config, err := r.g.Client.Config(ctx)
	if err == nil && !config.Store.Documents[configstore.DocMap].Active.InParts {
		err = fmt.Errorf("the group does not store the map of %d tenants in parts", tenants)
	}
	return r, err
}

// changeParts puts the nth change. Six of eight change the map, in one part or in many, the others classes
// and routing.
func (r *partsFaultRig) changeParts(n int) error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	switch n % 8 {
	case 0:
		return r.putClasses(n%5 + 1)
	case 4:
		return r.putRouting(n)
	}
	if r.mapUncertain {
		m, err := r.activeMap()
		if err != nil {
			return err
		}
		r.Map, r.mapUncertain = m, false
	}
	old := r.Map.Flat()
	m := *old
	m.Version++
	m.Tenants, m.Servers, m.Cells = slices.Clone(old.Tenants), slices.Clone(old.Servers), slices.Clone(old.Cells)
	changeRates := func(count int) {
		for i := range count {
			tenant := &m.Tenants[len(tenantNames)+(n*31+i*7)%(len(m.Tenants)-len(tenantNames))]
			tenant.Rate = idleRate * float64(1+n%9)
		}
	}
	moveTenant := func(tenant string) {
		if p, err := m.PlanMove(time.Now(), tenant, []string{"a", "b", "c"}[n/8%3], 0); err == nil { // else it is there or moving
			m = *p.Next.Flat()
			m.Version = old.Version + 1
		}
	}
	addServer := func(cell string) { // adds a server at whose address nothing listens; it would join after the schedules have ended
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("later", m.Version), Addr: fmt.Sprint("127.0.0.1:", 1+m.Version%1000), Cell: cell, Weight: 1,
			JoinsAt: time.Now().Add(time.Hour).UnixMilli()})
	}
	switch n % 8 {
	case 1:
		moveTenant(tenantNames[n/8%len(tenantNames)])
		changeRates(1)
	case 2:
		changeRates(20)
	case 3:
		for i := range 5 {
			moveTenant(m.Tenants[len(tenantNames)+(n*5+i)%(len(m.Tenants)-len(tenantNames))].Name)
		}
		changeRates(1)
	case 5:
		addServer("b")
	case 6: // excludes the previous version: for one cell, or for all
		if n/8%2 == 0 {
			name := fmt.Sprint("x", m.Version)
			m.Cells = append(m.Cells, cells.Cell{Name: name, Capacity: ServerRate()})
			addServer(name)
		} else {
			m.CallerTimeout += time.Millisecond
		}
	case 7:
		changeRates(40)
		moveTenant(tenantNames[(n/8+3)%len(tenantNames)])
		addServer("c")
	}
	file := filepath.Join(r.dir, "next.json")
	if err := proxy.WriteMap(file, &m); err != nil {
		return err
	}
	args, wait := []string{"--wait"}, n%3 > 0
	if !wait {
		args = nil
	}
	output, err := r.putWithFlags("map", file, args...)
	r.Map, r.mapUncertain = &m, err != nil || !wait
	if err != nil {
		return err
	}
	match := putVersionLine.FindStringSubmatch(output)
	if match == nil {
		return fmt.Errorf("no version in output of rules put: %q", output)
	}
	version, _ := strconv.Atoi(match[1])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged[version] = wait
	return nil
}

var (
	putVersionLine  = regexp.MustCompile(`map: version (\d+) (?:is in force|proposed)`)
	mapActiveLine   = regexp.MustCompile(`(?m) config: active: map (\S+)$`)
	mapRejectedLine = regexp.MustCompile(`(?m)^.* cells: the old map holds.*$`)
	mapStaleLine    = regexp.MustCompile(`(?m) config: map: what came does not follow`)
)

// activeMap returns the active map, read by "rules get".
func (r *partsFaultRig) activeMap() (*cells.Map, error) {
	cmd := exec.Command(r.bin, "rules", "get", "map", "--group", "test", "--members", strings.Join(r.g.Client.Addrs, ","), "--within", "10s")
	cmd.Env = append(os.Environ(), "LB_CONFIG=")
	text, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("failed to read the active map: %w", err)
	}
	return settings.ParseCells(text)
}

// checkStoredMap checks the map that a killed router had stored: the digest of its parts must match the
// digest of the stored version. It returns the failure, or "".
func (r *partsFaultRig) checkStoredMap(router int) string {
	src, err := proxy.OpenGroupSource(filepath.Join(r.sub(fmt.Sprint("r", router)), "state.db"))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = src.Close() }()
	m, _, err := src.Load(nil)
	if err != nil {
		return "" // no map stored yet
	}
	digest, ok := src.DigestOf(m)
	if !ok {
		return "" // the stored map is not in parts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedDigests = append(r.storedDigests, fmt.Sprintf("%016x", digest))
	if sum := configstore.TextsDigest(settings.SplitCells(m)); sum != digest {
		return fmt.Sprintf("the map stored with digest %016x has parts with digest %016x", digest, sum)
	}
	return ""
}

// checkAfterRepair runs at the end of a schedule, once all faults are repaired. It checks that the group has
// lost no acknowledged change, that all routers act on the active map, and that no router ever acted on or
// stored a map that was never active. It reports failures by calling fail.
func (r *partsFaultRig) checkAfterRepair(fail func(string, ...any)) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	var outcome partsOutcome
	defer func() { r.total.add(outcome) }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	config, err := r.g.Client.Config(ctx)
	if err != nil {
		fail("%v", err)
		return
	}
	document := config.Store.Documents[configstore.DocMap]
	for _, revision := range append(slices.Clone(document.History), document.Active) {
		id := revision.ID.String()
		if r.revisions[id] == nil {
			switch {
			case revision.ActiveSince == 0:
				outcome.rejected++
			case revision.Exclusive:
				outcome.exclusive++
				fallthrough
			default:
				outcome.activeMaps++
			}
			if previous, exists := r.idByVersion[revision.ID.Version]; exists {
				fail("version %d of the map is %s now, was %s before", revision.ID.Version, id, previous)
			}
		}
		r.revisions[id], r.idByVersion[revision.ID.Version] = revision, id
	}
	r.mu.Lock()
	acknowledged, storedDigests := r.acknowledged, r.storedDigests
	r.acknowledged, r.storedDigests = map[int]bool{}, nil
	r.mu.Unlock()
	outcome.acknowledged, outcome.storedMaps = len(acknowledged), len(storedDigests)
	for _, version := range slices.Sorted(maps.Keys(acknowledged)) {
		if revision := r.revisions[r.idByVersion[version]]; revision == nil || revision.ActiveSince == 0 && (acknowledged[version] || revision.Outcome == "") {
			outcome.lost++
			fail("version %d of the map was acknowledged (as in force: %v) and is lost: %+v", version, acknowledged[version], revision)
		} else if acknowledged[version] && document.Active.ID.Version < version {
			outcome.lost++
			fail("version %d of the map was acknowledged as in force, but the older %v is active", version, document.Active.ID)
		}
	}
	if !r.mapUncertain {
		if m, err := r.activeMap(); err != nil {
			fail("%v", err)
		} else if diff := cells.Diff(m, r.Map); len(diff) > 0 || m.Version != r.Map.Version {
			fail("the active map differs from the last one put: %v", diff)
		}
	}
	want := document.Active.ID.String()
	for i, p := range r.Routers {
		for logged, reported := "", ""; ; time.Sleep(20 * time.Millisecond) {
			if logged, reported = lastMap(p); logged == want && strings.HasSuffix(reported, fmt.Sprintf(".%016x", document.Active.ID.Digest)) {
				break
			}
			if ctx.Err() != nil {
				outcome.behind++
				lastRejection := ""
				if matches := mapRejectedLine.FindAllString(p.Log(), -1); len(matches) > 0 {
					lastRejection = matches[len(matches)-1]
				}
				fail("router %d acts on map %s by its log and %s by its status, active is %s; last log line on holding the map: %q; status of its rules: %.1000s", i, logged, reported, want, lastRejection, rulesStatus(p))
				break
			}
		}
	}
	// The digests of all versions that became active. Routers may act on and store no others.
	digests := map[string]bool{}
	for _, revision := range r.revisions {
		if revision.ActiveSince > 0 {
			digests[fmt.Sprintf("%016x", revision.ID.Digest)] = true
		}
	}
	for _, digest := range storedDigests {
		if !digests[digest] {
			outcome.neverActive++
			fail("a killed router had stored a map with digest %s, which was never active", digest)
		}
	}
	var acted []harness.ActivePeriod
	activations, staleUpdates := 0, 0
	for _, p := range r.Routers {
		for k, process := range append(slices.Clone(p.earlier), p.Process) {
			log := process.Log()
			for _, match := range mapActiveLine.FindAllStringSubmatch(log, -1) {
				activations++
				if e := r.revisions[match[1]]; e == nil || e.ActiveSince == 0 {
					outcome.neverActive++
					fail("a router acted on map %s, which was never active", match[1])
				}
			}
			staleUpdates += len(mapStaleLine.FindAllString(log, -1))
			acted = append(acted, harness.ActivePeriodsOf(fmt.Sprint(p.Platform, "-", k), process, configstore.DocMap)...)
		}
	}
	outcome.activations, outcome.staleUpdates = activations-r.total.activations, staleUpdates-r.total.staleUpdates
	var description string
	if outcome.overlap, description = harness.OverlapOf(acted, r.excludes); outcome.overlap > 0 {
		fail("two maps that exclude each other were in use for %v: %s", outcome.overlap, description)
	}
}

// excludes reports whether two versions of the map exclude each other. They do if an active version after the
// earlier one, up to the later one, excluded its predecessor. An unknown version excludes every other.
func (r *partsFaultRig) excludes(a, b string) bool {
	revisionA, revisionB := r.revisions[a], r.revisions[b]
	if revisionA == nil || revisionB == nil {
		return a != b
	}
	from, to := min(revisionA.ID.Version, revisionB.ID.Version), max(revisionA.ID.Version, revisionB.ID.Version)
	for v := from + 1; v <= to; v++ {
		if e := r.revisions[r.idByVersion[v]]; e != nil && e.Exclusive && e.ActiveSince > 0 {
			return true
		}
	}
	return false
}

// rulesStatus returns the rules and followed documents in a router's status, for failure messages.
func rulesStatus(p *Process) string {
	var status struct {
		Fleet   struct{ Rules json.RawMessage }
		Follows json.RawMessage
	}
	body, err := client.Status(client.MessagePack, p.Platform)
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s, %s", status.Fleet.Rules, status.Follows)
}

// lastMap returns the version of the map that a router last logged as active, and the map ID in its status.
func lastMap(p *Process) (logged, reported string) {
	if matches := mapActiveLine.FindAllStringSubmatch(p.Log(), -1); len(matches) > 0 {
		logged = matches[len(matches)-1][1]
	}
	var status struct {
		Fleet struct {
			ID string `json:"map_id"`
		}
	}
	if body, err := client.Status(client.MessagePack, p.Platform); err == nil && json.Unmarshal(body, &status) == nil {
		reported = status.Fleet.ID
	}
	return logged, reported
}

// PartsSchedules runs schedules of faults over real processes whose map is in parts. SILVERPATH_SCHEDULES is
// their number and SILVERPATH_WORKERS the number of rigs that run them in parallel. Unless SILVERPATH_TENANTS
// sets the size, every second rig has a map that is too large for one reply.
func PartsSchedules(b *testing.B) {
	bin, err := buildCommands(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	n, workers := envInt("SILVERPATH_SCHEDULES", 100), envInt("SILVERPATH_WORKERS", 2)
	var mu sync.Mutex
	var sum rulesOutcome
	var partsSum partsOutcome
	ran, twice, next := 0, 0, uint64(0)
	var wg sync.WaitGroup
	startedAt := time.Now()
	for k := range workers {
		wg.Go(func() {
			rig, err := newPartsFaultRig(bin, b.TempDir(), 12, 4, envInt("SILVERPATH_TENANTS", []int{700, 3000}[k%2]))
			defer rig.Stop()
			if err != nil {
				b.Error(err)
				return
			}
			outcome := rulesOutcome{}
			for {
				mu.Lock()
				next++
				seed := next
				mu.Unlock()
				if seed > uint64(n) {
					break
				}
				outcome = rig.schedule(seed)
				mu.Lock()
				sum.add(outcome)
				mu.Unlock()
			}
			mu.Lock()
			ran, twice = ran+outcome.ran, twice+outcome.ranTwice
			partsSum.add(rig.total)
			mu.Unlock()
		})
	}
	wg.Wait()
	fmt.Printf("\n%d schedules in %v: %d changes, %d of them rejected or withdrawn, slowest %v; %d sheets ran, %d twice; %d served, %d failed, %d refused; two versions of classes in use at once for at most %v; shares of routers over the capacity of the cell in %d of %d samples\n",
		n, time.Since(startedAt).Round(time.Second), sum.changes, sum.withdrawn, sum.slowest.Round(time.Millisecond), ran, twice, sum.served, sum.failed, sum.refused, sum.overlap, sum.overCapacity, sum.samples)
	fmt.Printf("maps: %d became active, %d of them exclusive, %d never did; two that exclude each other in use at once for at most %v; %d puts acknowledged, %d of them lost; %d activations, %d maps stored by killed routers, %d of both match no active version; %d updates did not follow; %d routers behind at the end; %d checks failed\n",
		partsSum.activeMaps, partsSum.exclusive, partsSum.rejected, partsSum.overlap, partsSum.acknowledged, partsSum.lost, partsSum.activations, partsSum.storedMaps, partsSum.neverActive, partsSum.staleUpdates, partsSum.behind, len(sum.violations))
	for i, s := range sum.violations {
		if i < 20 {
			fmt.Println(s)
		}
	}
	if len(sum.violations) > 0 || sum.overCapacity > 0 {
		b.Errorf("%d checks failed, shares of routers over the capacity of the cell in %d samples", len(sum.violations), sum.overCapacity)
	}
}
