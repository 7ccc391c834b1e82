package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silverpath/internal/ask"
	"silverpath/internal/cells"
	"silverpath/internal/harness"
	"silverpath/internal/lease"
)

// Rules measures the documents that a fleet agrees on.
func Rules(b *testing.B) {
	bin, err := buildAll(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("simulated", func(b *testing.B) { rulesTime(b) })
	b.Run("flood", func(b *testing.B) { sharedFlood(b, bin) })
	b.Run("shift", func(b *testing.B) { sharedShift(b, bin) })
	b.Run("cost", func(b *testing.B) { rulesCost(b, bin) })
	b.Run("schedules", func(b *testing.B) { rulesSchedules(b, bin) })
}

var rulesTerms = lease.Terms{TTL: time.Second, Drift: 0.05}

// ruled is a fleet whose routers have their map from a group.
type ruled struct {
	*Fleet
	g *harness.Group
}

// newRuled starts one. Where shares is 0 the routers know nothing of what others let in.
func newRuled(bin, dir string, servers, routers int, names []string, tenants []cells.Tenant, shares int, terms lease.Terms) (*ruled, error) {
	g, err := harness.NewGroup(dir, 3, terms, 20*time.Millisecond, starter(bin))
	if err != nil {
		return nil, err
	}
	r := &ruled{g: g}
	list, _ := json.Marshal(g.Client.Addrs)
	r.Fleet, err = NewFleetWith(bin, dir, servers, 0, names, tenants, func(string) string {
		return fmt.Sprintf(`{"cell":true,"rules":{"group":"test","members":%s,"documents":["classes"]}}`, list)
	})
	if err != nil {
		return r, err
	}
	if err := r.put("map", r.MapFile); err != nil {
		return r, err
	}
	for range routers {
		if err := r.join(shares, list); err != nil {
			return r, err
		}
	}
	time.Sleep(2 * time.Second) // until the routers know all servers
	return r, nil
}

// join starts one more router.
func (r *ruled) join(shares int, members []byte) error {
	dir := r.sub(fmt.Sprint("r", len(r.Routers)))
	p, err := Route(r.bin, dir, r.routerSite(), fmt.Sprintf(
		`{"status":true,"fleet":{"state":%q,"probe_ms":200},"rules":{"group":"test","members":%s,"documents":["map","routing","classes"],"most_routers":%d}}`,
		filepath.Join(dir, "state.db"), members, shares))
	if err == nil {
		r.Routers = append(r.Routers, p)
	}
	return err
}

func (f *Fleet) routerSite() Site {
	site := f.site
	site.Cores, site.Tenants, site.MemoryKB = 16*len(f.Servers)*fleetCores, "", 1<<20
	return site
}

func (r *ruled) Stop() {
	if r.Fleet != nil {
		r.Fleet.Stop()
	}
	r.g.Close()
}

// put runs the command that changes a document and waits until it is in force.
func (r *ruled) put(doc, file string, more ...string) error {
	args := append([]string{"rules", "put", doc, file, "--group", "test", "--members", strings.Join(r.g.Client.Addrs, ","), "--wait", "--within", "30s"}, more...)
	p, err := starter(r.bin)(args)
	if err == nil {
		if err = p.Wait(); err != nil {
			err = fmt.Errorf("%s", p.Log())
		}
	}
	return err
}

// parts are those that a router says it has of a cell, by tenant.
func parts(p *Process, cell string) (map[string]float64, error) {
	body, err := ask.Status(ask.Platform, p.Platform)
	if err != nil {
		return nil, err
	}
	var s struct {
		Fleet struct{ Parts map[string]map[string]float64 }
	}
	err = json.Unmarshal(body, &s)
	return s.Fleet.Parts[cell], err
}

// sharedFlood has one tenant flood by four routers: half of it by one of them alone, with shares and as each router shares for
// itself.
func sharedFlood(b *testing.B, bin string) {
	d := time.Duration(number("SILVERPATH_SECONDS", 20)) * time.Second
	fmt.Println("\n| fleet | parts | flood | others' worth, mean | cell mates' worst | flooder | of its rate | refused of others | failed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name  string
		cells []string
		shard int
	}{{"three cells", []string{"a", "b", "c"}, 0}, {"three cells, shards of two", []string{"a", "b", "c"}, 2}} {
		for _, shares := range []int{0, 8} {
			for _, times := range []float64{1, 10} {
				r, err := newRuled(bin, b.TempDir(), 12, 4, c.cells, brandsIn(c.cells, c.shard), shares, rulesTerms)
				if err != nil {
					b.Fatal(err)
				}
				var loads []TenantLoad
				for n, t := range brands {
					l := TenantLoad{Tenant: t, Rate: brandRate(), For: d}
					if n == 0 {
						l.Rate *= times
					}
					loads = append(loads, l)
				}
				res, err := r.Run(r.Routers, loads, false, 11)
				if err != nil {
					b.Fatal(err)
				}
				sum, mates := 0.0, 1.0
				var refused, failed int
				for n, t := range brands[1:] {
					v := res[t].Share()
					sum += v
					if (n+1)%len(c.cells) == 0 {
						mates = min(mates, v)
					}
					refused, failed = refused+res[t].Refused, failed+res[t].Failed
				}
				flooder := res["t0"]
				fmt.Printf("| %s | %v | %.0f times | %.3f | %.3f | %.3f | %.2f | %d | %d |\n", c.name, shares > 0, times, sum/float64(len(brands)-1),
					mates, flooder.Share(), float64(flooder.Served)/d.Seconds()/brandRate(), refused, failed)
				b.ReportMetric(mates, fmt.Sprintf("mate-%d-%d-%.0f", c.shard, shares, times))
				r.Stop()
			}
		}
	}
}

// sharedShift has a tenant's load move from one router to another, and measures how long its part takes to follow.
func sharedShift(b *testing.B, bin string) {
	names := []string{"a"}
	r, err := newRuled(bin, b.TempDir(), 4, 4, names, brandsIn(names, 0)[:2], 8, rulesTerms)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Stop()
	rate := 1.5 * ServerRate()
	var follows []time.Duration
	for n := range 6 {
		at := r.Routers[n%2]
		done := make(chan error, 1)
		go func() {
			_, err := r.Run([]*Process{at}, []TenantLoad{{"t0", rate, 6 * time.Second}}, false, uint64(n))
			done <- err
		}()
		began := time.Now()
		for {
			p, err := parts(at, "a")
			if err != nil {
				b.Fatal(err)
			}
			if p["t0"] >= rate {
				break
			}
			if time.Since(began) > 6*time.Second {
				b.Errorf("after 6 s the part is %.1f of %.1f", p["t0"], rate)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		follows = append(follows, time.Since(began).Round(10*time.Millisecond))
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	fmt.Printf("\nload of %.0f a second moves to another router: its part has followed after %v, with a lease of %v\n", rate, follows, rulesTerms.TTL)
}

// rulesCost measures what a router's path costs with documents and without, and the program as it was.
func rulesCost(b *testing.B, bin string) {
	fmt.Println("\n| router | requests | p50 | p99 | CPU a request | allocations a request |")
	fmt.Println("|---|---|---|---|---|---|")
	base := os.Getenv("SILVERPATH_BASELINE")
	for range 2 {
		for _, way := range []string{"as it was", "files alone", "a group", "a group and shares"} {
			var f *Fleet
			var stop func()
			if way == "as it was" && base == "" {
				continue
			}
			if strings.HasPrefix(way, "a group") {
				shares := 0
				if strings.HasSuffix(way, "shares") {
					shares = 4
				}
				r, err := newRuled(bin, b.TempDir(), 4, 1, []string{"a"}, []cells.Tenant{{Name: "t0", Rate: 400, Homes: []cells.Home{{Cell: "a"}}}}, shares, rulesTerms)
				if err != nil {
					b.Fatal(err)
				}
				f, stop = r.Fleet, r.Stop
			} else {
				program := bin
				if way == "as it was" {
					program = base
				}
				var err error
				if f, err = NewFleet(program, b.TempDir(), 4, 1, []string{"a"}, []cells.Tenant{{Name: "t0", Rate: 400, Homes: []cells.Home{{Cell: "a"}}}}); err != nil {
					b.Fatal(err)
				}
				stop = f.Stop
			}
			allocs := func() float64 {
				var st struct{ Allocations float64 }
				if body, err := ask.Status(ask.Platform, f.Routers[0].Platform); err != nil || json.Unmarshal(body, &st) != nil {
					b.Fatal(err)
				}
				return st.Allocations
			}
			cpu, objects := f.Routers[0].CPU(), allocs()
			time.Sleep(4 * time.Second)
			idleCPU, idleObjects := f.Routers[0].CPU()-cpu, allocs()-objects
			cpu, objects = f.Routers[0].CPU(), allocs()
			const d = 12 * time.Second
			res, err := f.Run(f.Routers, []TenantLoad{{"t0", 2 * ServerRate(), d}}, false, 13)
			if err != nil {
				b.Fatal(err)
			}
			x := res["t0"]
			n := float64(max(1, x.Sent))
			cpu = f.Routers[0].CPU() - cpu - idleCPU*3
			fmt.Printf("| %s | %d | %v | %v | %v | %.0f |\n", way, x.Sent, At(x.Times, 50), At(x.Times, 99),
				time.Duration(float64(cpu)/n).Round(time.Microsecond), (allocs()-objects-3*idleObjects)/n)
			stop()
		}
	}
}

func rulesSchedules(b *testing.B, bin string) {}
