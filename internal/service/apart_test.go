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

// start starts a service in this process and returns it with what ends it.
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
	leave, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(leave) }()
	t.Cleanup(func() {
		release()
		close(leave)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// ask brings a try and returns its answer.
func (s *Service) ask(t *testing.T, class, tenant, key, id, body string) msgpackrpc.Reply {
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
		a, err := msgpackrpc.ReadReply(p.r)
		if err != nil {
			t.Fatal(err)
		}
		if a.Notification == "" {
			return a
		}
	}
}

func (s *Service) runs(class string) uint64 { return s.stats.Get("runs", class, "ok") }

// Two services in one process, of two customers that name a class alike and mean something else by it, and of whom only one knows
// a tenant: each goes by its own settings, also after one of them has taken up others.
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
	try := func(s *Service, n int) {
		t.Helper()
		if a := s.ask(t, "mark", "both", "key", fmt.Sprintf("%016x", n), "body"); a.Error != "" || string(a.Body) != "BODY" {
			t.Fatalf("%+v", a)
		}
	}
	for n := range 3 {
		try(one, n)
		try(two, n)
	}
	if a, b := one.runs("mark"), two.runs("mark"); a != 1 || b != 3 {
		t.Errorf("%d runs where it is keyed, %d where it is not; want 1 and 3", a, b)
	}
	if a := one.ask(t, "mark", "south", "", "a", "x"); a.Error != "Error" {
		t.Errorf("the other's tenant: %+v", a)
	}
	// One takes up settings in which the classes stand in another order and a tenant is gone; the other notices nothing.
	next := one.cfg
	next.Server.Classes = []silverpath.Class{
		{Name: "new", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 5}, one.cfg.Server.Classes[1], one.cfg.Server.Classes[0]}
	next.Server.Tenants = tenants("both", "east")
	if err := one.Reload(next); err != nil {
		t.Fatal(err)
	}
	try(one, 10)
	try(two, 10)
	if a, b := one.runs("mark"), two.runs("mark"); a != 1 || b != 4 {
		t.Errorf("after a reload %d and %d runs, want 1 and 4", a, b)
	}
	for s, want := range map[*Service][3]string{one: {"", "Error", ""}, two: {"Full", "", "Error"}} {
		got := [3]string{s.ask(t, "new", "both", "", "n", "x").Error, s.ask(t, "krog", "south", "", "s", "x").Error, s.ask(t, "krog", "east", "", "e", "x").Error}
		if got != want {
			t.Errorf("the new class, the tenants south and east: %q, want %q", got, want)
		}
	}
	if a := one.ask(t, "krog", "north", "", "g", "x"); a.Error != "Error" {
		t.Errorf("a tenant that is gone: %+v", a)
	}
}

// Buffers are pooled by all services of a process: what one of them writes is never another one's, however many at once.
func TestServicesShareNoBuffer(t *testing.T) {
	services := []*Service{start(t, func(*silverpath.Settings) {}), start(t, func(*silverpath.Settings) {})}
	var all sync.WaitGroup
	for c := range 16 {
		s := services[c%2]
		all.Go(func() {
			for n := range 20 {
				body := strings.Repeat(fmt.Sprintf("%c%x-", 'a'+c, n), 1+100*((c+n)%5))
				if a := s.ask(t, "krog", "", "", fmt.Sprintf("%08x%08x", c, n), body); a.Error == "" && !bytes.Equal(a.Body, bytes.ToUpper([]byte(body))) {
					t.Errorf("asked %.20q, told %.20q", body, a.Body)
				}
			}
		})
	}
	all.Wait()
	for _, s := range services {
		if n := s.runs("krog"); n == 0 {
			t.Error("nothing was served")
		}
	}
}
