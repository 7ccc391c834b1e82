package benchmarks

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
	"silverpath/internal/transport/client"
)

var tenantNames = []string{"t0", "t1", "t2", "t3", "t4", "t5"}

// tenantRate returns the request rate of each tenant. All six tenants together use half the capacity of 12 servers.
func tenantRate() float64 { return ServerRate() }

// tenantsIn returns the tenants, assigned to the named cells in turn.
func tenantsIn(names []string, shard int) []cells.Tenant {
	var list []cells.Tenant
	for n, b := range tenantNames {
		list = append(list, cells.Tenant{Name: b, Rate: tenantRate(), Homes: []cells.Home{{Cell: names[n%len(names)], ShardSize: shard}}})
	}
	return list
}

// Cells measures a tenant that exceeds its rate, the move of a tenant under load, and the cost of a router.
func Cells(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("flood", func(b *testing.B) { measureFlood(b, bin) })
	b.Run("move", func(b *testing.B) { measureMove(b, bin) })
	b.Run("router", func(b *testing.B) { measureRouter(b, bin) })
}

// measureFlood measures the other tenants while one tenant sends ten times its rate, with one cell, with three, and with
// shards, and the same fleets without the flood.
func measureFlood(b *testing.B, bin string) {
	const d = 30 * time.Second
	fmt.Println("\n| fleet | flood | others' worth, mean | worst | cell mates' worst | flooder | refused of others | failed | lost |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name  string
		cells []string
		shard int
	}{{"one for all", []string{"all"}, 0}, {"three cells", []string{"a", "b", "c"}, 0}, {"three cells, shards of two", []string{"a", "b", "c"}, 2}} {
		for _, factor := range []float64{1, 10} {
			f, err := NewFleet(bin, b.TempDir(), 12, 2, c.cells, tenantsIn(c.cells, c.shard))
			if err != nil {
				b.Fatal(err)
			}
			var loads []TenantLoad
			for n, t := range tenantNames {
				l := TenantLoad{Tenant: t, Rate: tenantRate(), For: d}
				if n == 0 {
					l.Rate *= factor
				}
				loads = append(loads, l)
			}
			res, err := f.Run(f.Routers, loads, false, 11)
			if err != nil {
				b.Fatal(err)
			}
			sum, worst, sameCell := 0.0, 1.0, 1.0
			var refused, failed, lost int
			for n, t := range tenantNames[1:] {
				v := res[t].Share()
				sum += v
				worst = min(worst, v)
				if (n+1)%len(c.cells) == 0 {
					sameCell = min(sameCell, v)
				}
				refused, failed, lost = refused+res[t].Refused, failed+res[t].Failed, lost+res[t].Lost
			}
			fmt.Printf("| %s | %.0f times | %.3f | %.3f | %.3f | %.3f | %d | %d | %d |\n", c.name, factor, sum/float64(len(tenantNames)-1), worst,
				sameCell, res["t0"].Share(), refused, failed, lost)
			b.ReportMetric(sum/float64(len(tenantNames)-1), fmt.Sprintf("worth-%d-%.0f", len(c.cells)+c.shard, factor))
			f.Stop()
		}
	}
}

// measureMove moves a tenant under load while every idempotent request (class oddaja) is sent again before its key expires. The last
// row of the table also kills one of the cell's four servers during the move.
func measureMove(b *testing.B, bin string) {
	names := []string{"a", "b", "c"}
	fmt.Println("\n| evening | worth of the moved | of all others | sheets run | twice | repeats | same answer | missed | failed | move took |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name       string
		move, kill bool
	}{{"calm", false, false}, {"a move", true, false}, {"a move, one of four servers killed half way and back cold", true, true}} {
		f, err := NewFleet(bin, b.TempDir(), 12, 2, names, tenantsIn(names, 0))
		if err != nil {
			b.Fatal(err)
		}
		var loads []TenantLoad
		for _, t := range tenantNames {
			loads = append(loads, TenantLoad{Tenant: t, Rate: tenantRate() * 0.8, For: 45 * time.Second})
		}
		var wg sync.WaitGroup
		moveTime := time.Duration(0)
		if c.move {
			wg.Go(func() {
				time.Sleep(3 * time.Second)
				p, err := f.Map.PlanMove(time.Now(), "t0", "b", 0)
				if err == nil {
					err = proxy.WriteMap(f.MapFile, p.Next)
				}
				if err != nil {
					b.Error(err)
					return
				}
				moveTime = time.Until(p.SettledAt)
				if c.kill {
					time.Sleep(time.Until(p.EffectiveAt.Add(5 * time.Second)))
					if err := f.Restart(0, 4*time.Second); err != nil { // s0 is in cell a
						b.Error(err)
					}
				}
			})
		}
		res, err := f.Run(f.Routers, loads, true, 12)
		if err != nil {
			b.Fatal(err)
		}
		wg.Wait()
		var others, asked float64
		var repeats, same, missed, gone int
		for t, r := range res {
			if t != "t0" {
				others, asked = others+r.ServedWorth, asked+r.OfferedWorth
			}
			repeats, same, missed, gone = repeats+r.Repeats, same+r.SameAnswer, missed+r.OtherAnswer, gone+r.RepeatsFailed
		}
		twice, ran := f.CountRepeatedRuns()
		fmt.Printf("| %s | %.3f | %.3f | %d | %d | %d | %d | %d | %d | %v |\n", c.name, res["t0"].Share(), others/asked, ran, twice, repeats,
			same, missed, gone, moveTime.Round(time.Second/10))
		if twice > 0 {
			b.Errorf("%d oddaja requests ran more than once", twice)
		}
		b.ReportMetric(float64(twice), fmt.Sprintf("twice-%v-%v", c.move, c.kill))
		f.Stop()
	}
}

// measureRouter compares servers that are called directly with the same servers behind a router, at half their capacity. With
// one server it shows the cost of forwarding alone, and with twelve the cost of choosing a server too.
func measureRouter(b *testing.B, bin string) {
	fmt.Println("\n| servers | way | requests | p50 | p99 | router CPU a request | allocations a request |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for k, path := range []string{"straight", "through a router", "straight", "through a router"} {
		n := []int{1, 1, 12, 12}[k]
		f, err := NewFleet(bin, b.TempDir(), n, 1, []string{"a"}, []cells.Tenant{{Name: "t0", Rate: 400, Homes: []cells.Home{{Cell: "a"}}}})
		if err != nil {
			b.Fatal(err)
		}
		to := f.Routers
		if path == "straight" {
			to = f.Servers
		}
		allocs := func() float64 {
			var st struct{ Allocations float64 }
			if body, err := client.Status(client.MessagePack, f.Routers[0].Platform); err != nil || json.Unmarshal(body, &st) != nil {
				b.Fatal(err)
			}
			return st.Allocations
		}
		cpu, objects := f.Routers[0].CPU(), allocs()
		res, err := f.Run(to, []TenantLoad{{"t0", float64(n) / 2 * ServerRate(), 20 * time.Second}}, false, 13)
		if err != nil {
			b.Fatal(err)
		}
		r := res["t0"]
		cpu, objects = f.Routers[0].CPU()-cpu, allocs()-objects
		if path == "straight" {
			fmt.Printf("| %d | %s | %d | %v | %v | (idle: %v) | (idle: %.0f) |\n", n, path, r.Sent, Percentile(r.Times, 50), Percentile(r.Times, 99), cpu, objects)
		} else {
			fmt.Printf("| %d | %s | %d | %v | %v | %v | %.0f |\n", n, path, r.Sent, Percentile(r.Times, 50), Percentile(r.Times, 99),
				(cpu / time.Duration(max(1, r.Sent))).Round(time.Microsecond), objects/float64(max(1, r.Sent)))
		}
		b.ReportMetric(float64(Percentile(r.Times, 50).Microseconds())/1000, fmt.Sprintf("ms/p50-%d-%s", n, path[:7]))
		f.Stop()
	}
}
