package service

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/transport/msgpackrpc"
)

// start starts a service whose settings are changed by set. It is stopped at the end of the test.
func start(t *testing.T, set func(c *silverpath.Settings)) *Service {
	t.Helper()
	vm, _, release := startInterpreter(t)
	cfg := config(vm)
	cfg.StopTimeout = time.Second
	set(&cfg.Server)
	s, err := New(cfg, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	shutdown, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(shutdown) }()
	t.Cleanup(func() {
		release()
		close(shutdown)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// send sends one request and returns its reply, skipping notifications.
func (s *Service) send(t *testing.T, class, tenant, key, id, body string) msgpackrpc.Reply {
	t.Helper()
	fields := []string{"i", id, "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "20000", "m", "1"}
	if tenant != "" {
		fields = append(fields, "t", tenant)
	}
	if key != "" {
		fields = append(fields, "k", key)
	}
	p := dial(t, s.Addrs()[0], msgpackrpc.AppendRequest(nil, 1, class, []byte(body), fields...))
	defer p.Close()
	for {
		reply, err := msgpackrpc.ReadReply(p.r)
		if err != nil {
			t.Fatal(err)
		}
		if reply.Notification == "" {
			return reply
		}
	}
}

// runs returns the number of successful runs of a class.
func (s *Service) runs(class string) uint64 { return s.stats.Get("runs", class, "ok") }

// Two services in one process must not share state. They define a class of the same name differently and have different tenants.
// Each must use its own settings, also after one of them is reloaded.
func TestServicesShareNoState(t *testing.T) {
	tenants := func(names ...string) (list []silverpath.Tenant) {
		for _, n := range names {
			list = append(list, silverpath.Tenant{Name: n, Rate: 1000})
		}
		return list
	}
	one := start(t, func(c *silverpath.Settings) {
		c.Classes = append(c.Classes, silverpath.Class{Name: "mark", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 1,
			Effect: silverpath.Idempotent, IdempotencyWindow: time.Minute})
		c.Tenants = tenants("north", "both")
	})
	two := start(t, func(c *silverpath.Settings) {
		c.Classes = append(c.Classes, silverpath.Class{Name: "mark", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 1})
		c.Tenants = tenants("south", "both")
	})
	sendKeyed := func(s *Service, n int) {
		t.Helper()
		if reply := s.send(t, "mark", "both", "key", fmt.Sprintf("%016x", n), "body"); reply.Error != "" || string(reply.Body) != "BODY" {
			t.Fatalf("got reply %+v, want body BODY", reply)
		}
	}
	for n := range 3 {
		sendKeyed(one, n)
		sendKeyed(two, n)
	}
	if runsOfOne, runsOfTwo := one.runs("mark"), two.runs("mark"); runsOfOne != 1 || runsOfTwo != 3 {
		t.Errorf("got %d runs of the idempotent class and %d of the other; want 1 and 3", runsOfOne, runsOfTwo)
	}
	if reply := one.send(t, "mark", "south", "", "a", "x"); reply.Error != "Error" {
		t.Errorf("tenant of the other service: got reply %+v, want an error", reply)
	}
	// Reloading one with reordered classes and without one of its tenants must not affect two.
	next := one.cfg
	next.Server.Classes = []silverpath.Class{
		{Name: "new", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 5}, one.cfg.Server.Classes[1], one.cfg.Server.Classes[0]}
	next.Server.Tenants = tenants("both", "east")
	if err := one.Reload(next); err != nil {
		t.Fatal(err)
	}
	sendKeyed(one, 10)
	sendKeyed(two, 10)
	if runsOfOne, runsOfTwo := one.runs("mark"), two.runs("mark"); runsOfOne != 1 || runsOfTwo != 4 {
		t.Errorf("after the reload: got %d and %d runs, want 1 and 4", runsOfOne, runsOfTwo)
	}
	for s, want := range map[*Service][3]string{one: {"", "Error", ""}, two: {"Full", "", "Error"}} {
		got := [3]string{s.send(t, "new", "both", "", "n", "x").Error, s.send(t, "krog", "south", "", "s", "x").Error, s.send(t, "krog", "east", "", "e", "x").Error}
		if got != want {
			t.Errorf("errors for the new class, tenant south and tenant east: got %q, want %q", got, want)
		}
	}
	if reply := one.send(t, "krog", "north", "", "g", "x"); reply.Error != "Error" {
		t.Errorf("removed tenant: got reply %+v, want an error", reply)
	}
}

// All services of a process share the buffer pools. Under concurrent requests no reply may contain the data of another request.
func TestServicesShareNoBuffer(t *testing.T) {
	services := []*Service{start(t, func(*silverpath.Settings) {}), start(t, func(*silverpath.Settings) {})}
	var clients sync.WaitGroup
	for client := range 16 {
		s := services[client%2]
		clients.Go(func() {
			for n := range 20 {
				body := strings.Repeat(fmt.Sprintf("%c%x-", 'a'+client, n), 1+100*((client+n)%5))
				if reply := s.send(t, "krog", "", "", fmt.Sprintf("%08x%08x", client, n), body); reply.Error == "" && !bytes.Equal(reply.Body, bytes.ToUpper([]byte(body))) {
					t.Errorf("sent %.20q, got reply %.20q", body, reply.Body)
				}
			}
		})
	}
	clients.Wait()
	for _, s := range services {
		if n := s.runs("krog"); n == 0 {
			t.Error("a service has served no request")
		}
	}
}
