package benchmarks

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/msgpackrpc"
)

// Operators measures how long operators wait for an answer while clients keep the service's one core busy: 0, 40 or 400
// connections send requests as fast as they are read, and 50 callers of the management port never finish a call.
func Operators(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	variants := map[string]string{"this": bin}
	if old := os.Getenv(baselineEnv); old != "" {
		variants["baseline"] = old
	}
	fmt.Println("\n| build | connections | requests read a second | calls | p50 ms | p99 ms | longest ms | over 1 s |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, connections := range []int{0, 40, 400} {
		for _, name := range []string{"baseline", "this"} {
			if variants[name] != "" {
				measureOperators(b, name, variants[name], connections)
			}
		}
	}
}

func measureOperators(b *testing.B, name, bin string, connections int) {
	const duration = 12 * time.Second
	interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 6, Shape: builtinworker.Shape{Knee: 6, Thrash: 1, Speed: 1},
		DefaultClass: builtinworker.Class{MinWork: 60 * time.Millisecond, MaxWork: 100 * time.Millisecond}, MemoryKB: 1 << 18, RunFactor: 4, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer interpreter.Close()
	p, err := Start(bin, b.TempDir(), Site{Cores: 6, MemoryKB: 1 << 18, ProcMB: 192, Sockets: 1024}, interpreter.Addr(), "")
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	read := make([]int, connections)
	for c := range connections {
		wg.Go(func() {
			conn, err := net.Dial("tcp", p.Platform)
			if err != nil {
				return
			}
			defer conn.Close()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			conn.SetWriteDeadline(end)
			for time.Now().Before(end) {
				if _, err := conn.Write(msgpackrpc.AppendRequest(nil, uint64(read[c]+1), "krog", make([]byte, 1024),
					"i", fmt.Sprintf("%08x%08x", c, read[c]), "s", fmt.Sprint(time.Now().UnixMilli()), "d", "1000", "m", "1")); err != nil {
					return
				}
				read[c]++
			}
		})
	}
	for i := range 50 {
		wg.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", p.Mgmt)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, "POST /api/evacuate HTTP/1.1\r\nContent-Length: 9\r\n\r\n"[:i])
				conn.SetReadDeadline(time.Now().Add(4 * time.Second))
				_, _ = io.Copy(io.Discard, conn)
				conn.Close()
				time.Sleep(20 * time.Millisecond) // pause before a caller that was refused calls again
			}
		})
	}
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	slow := 0
	time.Sleep(time.Second)
	for time.Now().Before(end.Add(-time.Second)) {
		startedAt := time.Now()
		code := p.Call("GET /api/ready")
		took := time.Since(startedAt)
		if code != 200 || took > time.Second {
			slow++
		}
		_ = h.RecordValue(took.Microseconds())
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	total := 0
	for _, k := range read {
		total += k
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("| %s | %d | %.0f | %d | %.1f | %.1f | %.1f | %d |\n", name, connections, float64(total)/duration.Seconds(), h.TotalCount(),
		ms(50), ms(99), ms(100), slow)
	b.ReportMetric(ms(99), fmt.Sprintf("p99-ms-%s-%d", name, connections))
}
