package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/client"
)

// floodTarget is a process with both fronts that a test floods.
type floodTarget struct {
	*process
	scgiAddr string
}

// floodMemoryMB is the memory limit of the processes of these tests, and floodMaxBody the largest body that their SCGI fronts accept.
const (
	floodMemoryMB = 96
	floodMaxBody  = 8 << 20
)

// startFloodTargets starts a server and a router in front of it, both with both fronts.
func startFloodTargets(t *testing.T) map[string]floodTarget {
	t.Helper()
	targets, _ := startFloodTargetsWithWork(t, 8, 5*time.Millisecond)
	return targets
}

// startFloodTargetsWithWork is startFloodTargets with an interpreter of the given cores, on which a run takes the given time. It returns the
// interpreter too.
func startFloodTargetsWithWork(t *testing.T, cores int, work time.Duration) (map[string]floodTarget, *builtinworker.Interpreter) {
	t.Helper()
	interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: cores, Shape: builtinworker.Shape{Knee: float64(cores), Speed: 1}, Audit: true,
		DefaultClass: builtinworker.Class{MinWork: work, MaxWork: 2 * work}, RunFactor: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(interpreter.Close)
	config := func(name, vm string) string {
		return writeFile(t, name+".json", fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","vm":%q,"stop_ms":1000,"seed":"%x",
 "limits":{"memory_mb":%d,"sockets":1024},"scgi":{"listen":"127.0.0.1:0","max_body":%d},
 "settings":{"classes":[{"name":"oddaja","target":900000,"deadline":2000000,"worth":3,"effect":"token","memory_span":2000000},
  {"name":"zapis","target":900000,"deadline":2000000,"worth":1,"effect":"side_effect"},
  {"name":"krog","target":900000,"deadline":2000000,"worth":1,"effect":"pure"}],
 "family_info":{"below":"none","callers":2,"cpus":%d,"gauges":["core_use","on_cores","heap_share","links"],"key_kb":0.1,
 "memory_kb":65536,"run_factor":1},"rules":{"cold_from":1,"fall_multiple":8,"overload_for":3000000,"drain_grace":500000},
 "limits":{"retry_after":true,"max_retry_after":100000},"servers":1}}`, name, vm, name, floodMemoryMB, floodMaxBody, cores))
	}
	start := func(args ...string) floodTarget {
		p := startServing(t, args...)
		addr, err := p.TextAfter(0, "scgi: listening on ")
		if err != nil {
			t.Fatal(err)
		}
		return floodTarget{p, addr}
	}
	server := start("serve", "--config", config("s1", interpreter.Addr()), "--edge", writeFile(t, "cell.json", `{"cell":true,"status":true}`))
	mapFile := writeFile(t, "cells.json", fmt.Sprintf(`{"version":1,"window_ms":2000,"skew_ms":200,"lease_ms":5000,"patience_ms":1000,
 "cells":[{"name":"a","capacity":1000}],"servers":[{"name":"s1","addr":%q,"cell":"a","from_ms":%d}],
 "tenants":[{"name":"","rate":1000,"homes":[{"cell":"a"}]}]}`, server.addr, time.Now().UnixMilli()+1))
	router := start("route", "--config", config("r1", ""), "--edge", writeFile(t, "route.json", fmt.Sprintf(`{"status":true,"fleet":{"map":%q,"probe_ms":100}}`, mapFile)))
	return map[string]floodTarget{"server": server, "router": router}, interpreter
}

// peakMemoryMB returns the largest resident set of a process so far.
func peakMemoryMB(t testing.TB, p *process) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return float64(kb) / 1024
}

// flood runs count clients, each of which calls write with a new connection again and again until the duration is over.
func flood(addr string, count int, duration time.Duration, write func(c net.Conn)) {
	deadline := time.Now().Add(duration)
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				c.SetDeadline(deadline)
				write(c)
				c.Close()
			}
		})
	}
	wg.Wait()
}

// scgiHead returns the head of an SCGI request with a body of the given size.
func scgiHead(class string, bodyBytes int, headers ...string) string {
	var block strings.Builder
	for _, s := range append([]string{"CONTENT_LENGTH", strconv.Itoa(bodyBytes), "SCGI", "1", "PATH_INFO", "/" + class}, headers...) {
		block.WriteString(s + "\x00")
	}
	return fmt.Sprintf("%d:%s,", block.Len(), block.String())
}

// checkServes sends a keyed request over each front until it is served, and fails the test if one is not within 5 s.
func (f floodTarget) checkServes(t testing.TB) {
	t.Helper()
	for front, addr := range map[string]string{client.MessagePack: f.addr, client.SCGI: f.scgiAddr} {
		deadline := time.Now().Add(5 * time.Second)
		for n := 0; ; n++ {
			key := fmt.Sprintf("after %s %d %d", front, f.Pid(), n)
			a, err := client.Do(front, addr, client.Request{Class: "oddaja", Key: key, Body: []byte(key), Timeout: 1900 * time.Millisecond})
			if err == nil && a.Outcome == "served" {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s of process %d: outcome %q, error %v", front, f.Pid(), a.Outcome, err)
			}
		}
	}
}

// waitUntilClosed reads until the peer closes the connection.
func waitUntilClosed(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// wideRequest encodes a MessagePack request with a map of more fields than AppendRequest writes: the given ones and 50 long unknown ones.
func wideRequest(id uint64, fields ...string) []byte {
	for i := range 50 {
		fields = append(fields, fmt.Sprintf("%0500d", i), strings.Repeat("v", 500))
	}
	str := func(b []byte, s string) []byte { return append(append(b, 0xda, byte(len(s)>>8), byte(len(s))), s...) }
	b := []byte{0x94, 0x00, 0xcd, byte(id >> 8), byte(id)}
	b = append(str(b, "oddaja"), 0x92, 0xde, byte(len(fields)/2>>8), byte(len(fields)/2))
	for _, s := range fields {
		b = str(b, s)
	}
	return append(append(b, 0xc5, 0, 4), "body"...)
}

// Guards against a process that hundreds of clients bring over its memory limit: with large bodies that stop half way or are whole, and with
// requests of very many fields. The SCGI front allocated each body at its stated size, and nothing bounded the sum.
func TestCrowdOfLargeRequestsStaysWithinMemory(t *testing.T) {
	const duration = 800 * time.Millisecond
	megabyte := make([]byte, 1<<20)
	fields := func(id string) []string {
		return []string{"i", id, "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "1900", "m", "1", "k", id}
	}
	targets := startFloodTargets(t)
	for name, target := range targets {
		for kind, flooding := range map[string]func(){
			"bodies that stop half way": func() {
				flood(target.scgiAddr, 250, duration, func(c net.Conn) {
					c.Write([]byte(scgiHead("krog", floodMaxBody)))
					c.Write(megabyte)
					waitUntilClosed(c)
				})
			},
			"whole bodies": func() {
				flood(target.scgiAddr, 250, duration, func(c net.Conn) {
					c.Write([]byte(scgiHead("krog", len(megabyte))))
					c.Write(megabyte)
					waitUntilClosed(c)
				})
			},
			"bodies written slowly": func() {
				flood(target.scgiAddr, 250, duration, func(c net.Conn) {
					c.Write([]byte(scgiHead("oddaja", floodMaxBody, "HTTP_IDEMPOTENCY_KEY", "k")))
					for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
						_, err = c.Write(megabyte[:64<<10])
					}
				})
			},
			"many fields, incomplete": func() {
				flood(target.addr, 400, duration, func(c net.Conn) {
					m := wideRequest(1, fields("incomplete")...)
					c.Write(m[:len(m)-1])
					waitUntilClosed(c)
				})
			},
			"many fields": func() {
				flood(target.addr, 400, duration, func(c net.Conn) {
					for n := range uint64(60) {
						c.Write(wideRequest(n+1, fields(fmt.Sprintf("%v %d", c.LocalAddr(), n))...))
					}
					waitUntilClosed(c)
				})
			},
		} {
			flooding()
			if mb := peakMemoryMB(t, target.process); mb > floodMemoryMB {
				t.Errorf("%s, %s: %.0f MB of %d", name, kind, mb, floodMemoryMB)
			} else {
				t.Logf("%s, %s: %.0f MB of %d", name, kind, mb, floodMemoryMB)
			}
		}
	}
	for _, target := range targets {
		target.checkServes(t)
	}
}
