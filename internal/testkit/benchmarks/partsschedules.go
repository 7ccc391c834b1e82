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
	unsure bool                             // Map may differ from the active map
	had    map[string]*configstore.Revision // versions that the group had, by ID
	top    map[int]string                   // their IDs by version number
	sum    partsOutcome                     // of all schedules so far

	mu    sync.Mutex
	acked map[int]bool // versions acknowledged as proposed (false) or as in force (true)
	kept  []string     // digests of the maps that killed routers had stored
}

// partsOutcome counts what the checks of schedules saw.
type partsOutcome struct {
	maps, exclusive, refused int           // became active; of those, exclude their predecessor; never became active
	acked, gone              int           // acknowledged puts; of those, lost
	acts, kept, mixes        int           // activations; maps stored by killed routers; of both, match no active version
	offs                     int           // updates that routers rejected because they do not follow from their state
	behind                   int           // routers that did not act on the active map in time
	overlap                  time.Duration // longest time with two maps in use that exclude each other
}

func (o *partsOutcome) add(p partsOutcome) {
	o.maps, o.exclusive, o.refused, o.acked, o.gone = o.maps+p.maps, o.exclusive+p.exclusive, o.refused+p.refused, o.acked+p.acked, o.gone+p.gone
	o.acts, o.kept, o.mixes, o.offs, o.behind = o.acts+p.acts, o.kept+p.kept, o.mixes+p.mixes, o.offs+p.offs, o.behind+p.behind
	o.overlap = max(o.overlap, p.overlap)
}

// small is the base rate of tenants without traffic.
const small = 0.01

// newPartsFaultRig starts the fleet with the given number of tenants without traffic besides the usual ones.
// The caller stops the rig, also after an error.
func newPartsFaultRig(bin, dir string, servers, routers, tenants int) (*partsFaultRig, error) {
	r := &partsFaultRig{had: map[string]*configstore.Revision{}, top: map[int]string{}, acked: map[int]bool{}}
	var err error
	r.rulesRig, err = newRulesRigBy(bin, dir, servers, routers, func(m *cells.Map) {
		// Short enough that a move completes within two schedules, and that a delayed move arrives too late.
		m.Lease, m.MaxClockSkew, m.KeyWindow, m.CallerTimeout = 1200*time.Millisecond, 400*time.Millisecond, 3*time.Second, 2*time.Second
		for i := range tenants {
			m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: small, Homes: []cells.Home{{Cell: string('a' + rune(i%3))}}})
		}
	})
	if err != nil {
		return r, err
	}
	r.faults, r.change, r.killed, r.mended = 11, r.changeParts, r.keptBy, r.look
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	b, err := r.g.Client.Config(ctx)
	if err == nil && !b.Store.Documents[configstore.DocMap].Active.InParts {
		err = fmt.Errorf("the group does not store the map of %d tenants in parts", tenants)
	}
	return r, err
}

// changeParts puts the nth change. Six of eight change the map, in one part or in many, the others classes
// and routing.
func (r *partsFaultRig) changeParts(n int) error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	switch n % 8 {
	case 0:
		return r.classes(n%5 + 1)
	case 4:
		return r.routing(n)
	}
	if r.unsure {
		m, err := r.inForce()
		if err != nil {
			return err
		}
		r.Map, r.unsure = m, false
	}
	old := r.Map.Flat()
	m := *old
	m.Version++
	m.Tenants, m.Servers, m.Cells = slices.Clone(old.Tenants), slices.Clone(old.Servers), slices.Clone(old.Cells)
	rates := func(of int) {
		for i := range of {
			t := &m.Tenants[len(brands)+(n*31+i*7)%(len(m.Tenants)-len(brands))]
			t.Rate = small * float64(1+n%9)
		}
	}
	move := func(tenant string) {
		if p, err := m.PlanMove(time.Now(), tenant, []string{"a", "b", "c"}[n/8%3], 0); err == nil { // else it is there or moving
			m = *p.Next.Flat()
			m.Version = old.Version + 1
		}
	}
	server := func(cell string) { // nothing listens at its address; it joins after the schedules
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("later", m.Version), Addr: fmt.Sprint("127.0.0.1:", 1+m.Version%1000), Cell: cell, Weight: 1,
			JoinsAt: time.Now().Add(time.Hour).UnixMilli()})
	}
	switch n % 8 {
	case 1:
		move(brands[n/8%len(brands)])
		rates(1)
	case 2:
		rates(20)
	case 3:
		for i := range 5 {
			move(m.Tenants[len(brands)+(n*5+i)%(len(m.Tenants)-len(brands))].Name)
		}
		rates(1)
	case 5:
		server("b")
	case 6: // excludes the previous version: for one cell, or for all
		if n/8%2 == 0 {
			name := fmt.Sprint("x", m.Version)
			m.Cells = append(m.Cells, cells.Cell{Name: name, Capacity: ServerRate()})
			server(name)
		} else {
			m.CallerTimeout += time.Millisecond
		}
	case 7:
		rates(40)
		move(brands[(n/8+3)%len(brands)])
		server("c")
	}
	file := filepath.Join(r.dir, "next.json")
	if err := proxy.WriteMap(file, &m); err != nil {
		return err
	}
	args, wait := []string{"--wait"}, n%3 > 0
	if !wait {
		args = nil
	}
	said, err := r.puts("map", file, args...)
	r.Map, r.unsure = &m, err != nil || !wait
	if err != nil {
		return err
	}
	is := versionSaid.FindStringSubmatch(said)
	if is == nil {
		return fmt.Errorf("no version in output of rules put: %q", said)
	}
	version, _ := strconv.Atoi(is[1])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked[version] = wait
	return nil
}

var (
	versionSaid = regexp.MustCompile(`map: version (\d+) (?:is in force|proposed)`)
	actsOnMap   = regexp.MustCompile(`(?m) config: active: map (\S+)$`)
	mapHolds    = regexp.MustCompile(`(?m)^.* cells: the old map holds.*$`)
	mapIsOff    = regexp.MustCompile(`(?m) config: map: what came does not follow`)
)

// inForce returns the active map, read by "rules get".
func (r *partsFaultRig) inForce() (*cells.Map, error) {
	cmd := exec.Command(r.bin, "rules", "get", "map", "--group", "test", "--members", strings.Join(r.g.Client.Addrs, ","), "--within", "10s")
	cmd.Env = append(os.Environ(), "LB_CONFIG=")
	text, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("reading the map in force: %w", err)
	}
	return settings.ParseCells(text)
}

// keptBy checks the map that a killed router had stored: the digest of its parts must match the digest of the
// stored version. It returns the failure, or "".
func (r *partsFaultRig) keptBy(router int) string {
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
	r.kept = append(r.kept, fmt.Sprintf("%016x", digest))
	if sum := configstore.TextsDigest(settings.SplitCells(m)); sum != digest {
		return fmt.Sprintf("the map stored with digest %016x has parts with digest %016x", digest, sum)
	}
	return ""
}

// look runs at the end of a schedule, once all faults are repaired. It checks that the group has lost no
// acknowledged change, that all routers act on the active map, and that no router ever acted on or stored a
// map that was never active. It reports failures by broke.
func (r *partsFaultRig) look(broke func(string, ...any)) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	var o partsOutcome
	defer func() { r.sum.add(o) }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	b, err := r.g.Client.Config(ctx)
	if err != nil {
		broke("%v", err)
		return
	}
	d := b.Store.Documents[configstore.DocMap]
	for _, e := range append(slices.Clone(d.History), d.Active) {
		name := e.ID.String()
		if r.had[name] == nil {
			switch {
			case e.ActiveSince == 0:
				o.refused++
			case e.Exclusive:
				o.exclusive++
				fallthrough
			default:
				o.maps++
			}
			if was, other := r.top[e.ID.Version]; other {
				broke("version %d of the map is %s now, was %s before", e.ID.Version, name, was)
			}
		}
		r.had[name], r.top[e.ID.Version] = e, name
	}
	r.mu.Lock()
	acked, kept := r.acked, r.kept
	r.acked, r.kept = map[int]bool{}, nil
	r.mu.Unlock()
	o.acked, o.kept = len(acked), len(kept)
	for _, version := range slices.Sorted(maps.Keys(acked)) {
		if e := r.had[r.top[version]]; e == nil || e.ActiveSince == 0 && (acked[version] || e.Outcome == "") {
			o.gone++
			broke("version %d of the map was acknowledged (as in force: %v) and is lost: %+v", version, acked[version], e)
		} else if acked[version] && d.Active.ID.Version < version {
			o.gone++
			broke("version %d of the map was acknowledged as in force, but the older %v is active", version, d.Active.ID)
		}
	}
	if !r.unsure {
		if m, err := r.inForce(); err != nil {
			broke("%v", err)
		} else if diff := cells.Diff(m, r.Map); len(diff) > 0 || m.Version != r.Map.Version {
			broke("the active map differs from the last one put: %v", diff)
		}
	}
	want := d.Active.ID.String()
	for i, p := range r.Routers {
		for acts, id := "", ""; ; time.Sleep(20 * time.Millisecond) {
			if acts, id = lastMap(p); acts == want && strings.HasSuffix(id, fmt.Sprintf(".%016x", d.Active.ID.Digest)) {
				break
			}
			if ctx.Err() != nil {
				o.behind++
				said := ""
				if all := mapHolds.FindAllString(p.Log(), -1); len(all) > 0 {
					said = all[len(all)-1]
				}
				broke("router %d acts on map %s by its log and %s by its status, active is %s; last log line on holding the map: %q; status of its rules: %.1000s", i, acts, id, want, said, rulesOf(p))
				break
			}
		}
	}
	// The digests of all versions that became active. Routers may act on and store no others.
	digests := map[string]bool{}
	for _, e := range r.had {
		if e.ActiveSince > 0 {
			digests[fmt.Sprintf("%016x", e.ID.Digest)] = true
		}
	}
	for _, digest := range kept {
		if !digests[digest] {
			o.mixes++
			broke("a killed router had stored a map with digest %s, which was never active", digest)
		}
	}
	var acted []harness.Acted
	acts, offs := 0, 0
	for _, p := range r.Routers {
		for k, h := range append(slices.Clone(p.old), p.Process) {
			log := h.Log()
			for _, is := range actsOnMap.FindAllStringSubmatch(log, -1) {
				acts++
				if e := r.had[is[1]]; e == nil || e.ActiveSince == 0 {
					o.mixes++
					broke("a router acted on map %s, which was never active", is[1])
				}
			}
			offs += len(mapIsOff.FindAllString(log, -1))
			acted = append(acted, harness.ActsOf(fmt.Sprint(p.Platform, "-", k), h, configstore.DocMap)...)
		}
	}
	o.acts, o.offs = acts-r.sum.acts, offs-r.sum.offs
	var what string
	if o.overlap, what = harness.OverlapOf(acted, r.excludes); o.overlap > 0 {
		broke("two maps that exclude each other were in use for %v: %s", o.overlap, what)
	}
}

// excludes reports whether two versions of the map exclude each other. They do if an active version after the
// earlier one, up to the later one, excluded its predecessor. An unknown version excludes every other.
func (r *partsFaultRig) excludes(a, b string) bool {
	x, y := r.had[a], r.had[b]
	if x == nil || y == nil {
		return a != b
	}
	from, to := min(x.ID.Version, y.ID.Version), max(x.ID.Version, y.ID.Version)
	for v := from + 1; v <= to; v++ {
		if e := r.had[r.top[v]]; e != nil && e.Exclusive && e.ActiveSince > 0 {
			return true
		}
	}
	return false
}

// rulesOf returns the rules and followed documents in a router's status, for failure messages.
func rulesOf(p *Process) string {
	var s struct {
		Fleet   struct{ Rules json.RawMessage }
		Follows json.RawMessage
	}
	body, err := client.Status(client.Platform, p.Platform)
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s, %s", s.Fleet.Rules, s.Follows)
}

// lastMap returns the version of the map that a router last logged as active, and the map ID in its status.
func lastMap(p *Process) (acts, id string) {
	if all := actsOnMap.FindAllStringSubmatch(p.Log(), -1); len(all) > 0 {
		acts = all[len(all)-1][1]
	}
	var s struct {
		Fleet struct {
			ID string `json:"map_id"`
		}
	}
	if body, err := client.Status(client.Platform, p.Platform); err == nil && json.Unmarshal(body, &s) == nil {
		id = s.Fleet.ID
	}
	return acts, id
}

// PartsSchedules runs schedules of faults over real processes whose map is in parts. SILVERPATH_SCHEDULES is
// their number and SILVERPATH_WORKERS the number of rigs that run them in parallel. Unless SILVERPATH_TENANTS
// sets the size, every second rig has a map that is too large for one reply.
func PartsSchedules(b *testing.B) {
	bin, err := buildAll(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	n, workers := number("SILVERPATH_SCHEDULES", 100), number("SILVERPATH_WORKERS", 2)
	var mu sync.Mutex
	var sum rulesOutcome
	var parts partsOutcome
	ran, twice, next := 0, 0, uint64(0)
	var wg sync.WaitGroup
	began := time.Now()
	for k := range workers {
		wg.Go(func() {
			rig, err := newPartsFaultRig(bin, b.TempDir(), 12, 4, number("SILVERPATH_TENANTS", []int{700, 3000}[k%2]))
			defer rig.Stop()
			if err != nil {
				b.Error(err)
				return
			}
			last := rulesOutcome{}
			for {
				mu.Lock()
				next++
				seed := next
				mu.Unlock()
				if seed > uint64(n) {
					break
				}
				last = rig.schedule(seed)
				mu.Lock()
				sum.add(last)
				mu.Unlock()
			}
			mu.Lock()
			ran, twice = ran+last.ran, twice+last.twice
			parts.add(rig.sum)
			mu.Unlock()
		})
	}
	wg.Wait()
	fmt.Printf("\n%d schedules in %v: %d changes, %d of them rejected or withdrawn, slowest %v; %d sheets ran, %d twice; %d served, %d failed, %d refused; two versions of classes in use at once for at most %v; shares of routers over the capacity of the cell in %d of %d samples\n",
		n, time.Since(began).Round(time.Second), sum.changes, sum.withdrawn, sum.slowest.Round(time.Millisecond), ran, twice, sum.served, sum.failed, sum.refused, sum.overlap, sum.over, sum.samples)
	fmt.Printf("maps: %d became active, %d of them exclusive, %d never did; two that exclude each other in use at once for at most %v; %d puts acknowledged, %d of them lost; %d activations, %d maps stored by killed routers, %d of both match no active version; %d updates did not follow; %d routers behind at the end; %d checks failed\n",
		parts.maps, parts.exclusive, parts.refused, parts.overlap, parts.acked, parts.gone, parts.acts, parts.kept, parts.mixes, parts.offs, parts.behind, len(sum.broken))
	for i, s := range sum.broken {
		if i < 20 {
			fmt.Println(s)
		}
	}
	if len(sum.broken) > 0 || sum.over > 0 {
		b.Errorf("%d checks failed, shares of routers over the capacity of the cell in %d samples", len(sum.broken), sum.over)
	}
}
