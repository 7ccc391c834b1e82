package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/testkit/standin/faults"
)

// Starter starts the program with arguments, in an environment with more.
type Starter func(args []string, env ...string) (*Process, error)

// Group is a group of processes of the program. Each is heard, by the others and by those who ask, by a way of its own.
type Group struct {
	Dir     string
	Addrs   []string // where the members listen
	Ways    []*faults.Between
	Members []*Process
	Client  *quorum.Client
	begin   Starter
	tick    time.Duration
	files   int

	reserved []*Reservation // of Addrs, until Close
}

// NewGroup starts and founds a group of n members in a folder.
func NewGroup(dir string, n int, terms lease.Terms, tick time.Duration, begin Starter) (*Group, error) {
	g := &Group{Dir: dir, Client: &quorum.Client{Group: "test"}, Members: make([]*Process, n), begin: begin, tick: tick}
	for i := range n {
		reserved, err := Reserve()
		if err != nil {
			return g, err
		}
		g.reserved = append(g.reserved, reserved)
		way, err := faults.Listen(reserved.Addr, true, uint64(i))
		if err != nil {
			return g, err
		}
		g.Addrs, g.Ways = append(g.Addrs, reserved.Addr), append(g.Ways, way)
		g.Client.Addrs = append(g.Client.Addrs, way.Addr())
	}
	for i := range n {
		if err := g.Start(i); err != nil {
			return g, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := g.Client.Found(ctx, terms); err != nil {
		return g, err
	}
	_, err := g.Leader()
	return g, err
}

// Close ends the group and all ways.
func (g *Group) Close() {
	for _, w := range g.Ways {
		w.Close()
	}
	for _, m := range g.Members {
		if m != nil {
			m.Kill()
		}
	}
	g.Client.Close()
	for _, r := range g.reserved {
		r.Release()
	}
}

// Disk is a member's folder.
func (g *Group) Disk(i int) string { return filepath.Join(g.Dir, fmt.Sprint("q", i)) }

// file writes settings into a file of their own.
func (g *Group) file(text string) (string, error) {
	g.files++
	path := filepath.Join(g.Dir, fmt.Sprintf("settings-%d.json", g.files))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Start starts a member, on the disk that it has.
func (g *Group) Start(i int, env ...string) error {
	list, _ := json.Marshal(g.Client.Addrs)
	file, err := g.file(fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q,"tick_ms":%d}}`,
		i, list, g.Addrs[i], g.Ways[i].Addr(), g.Disk(i), g.tick.Milliseconds()))
	if err != nil {
		return err
	}
	if g.Members[i], err = g.begin([]string{"quorum", "--config", file}, append(env, "SILVERPATH_DISK="+g.Disk(i)+".fault")...); err != nil {
		return err
	}
	_, err = g.Members[i].Await(10*time.Second, 0, "group.listening")
	return err
}

// Owner starts a process that owns duties of a map, and asks the group at the given addresses; nil: as everybody.
func (g *Group) Owner(name, dir string, list, members, routers []string, env ...string) (*Process, error) {
	if members == nil {
		members = g.Client.Addrs
	}
	ds, _ := json.Marshal(list)
	ms, _ := json.Marshal(members)
	rs, _ := json.Marshal(append([]string{}, routers...))
	file, err := g.file(fmt.Sprintf(`{"name":%q,"group":"test","members":%s,"owner":{"duties":%s,"map":%q,"routers":%s,"gone_after_ms":1500}}`,
		name, ms, ds, dir, rs))
	if err != nil {
		return nil, err
	}
	return g.begin([]string{"duty", "run", "--config", file}, env...)
}

// Fault has a member's disk fail, or stall for a time with every write; empty: well again. It works where the program looks
// for such a file.
func (g *Group) Fault(i int, text string) {
	if text == "" {
		_ = os.Remove(g.Disk(i) + ".fault")
	} else {
		_ = os.WriteFile(g.Disk(i)+".fault", []byte(text), 0o600)
	}
}

// Leader waits for a member that leads, and says which.
func (g *Group) Leader() (int, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, a := range g.Client.Addrs {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			s, err := g.Client.StatusOf(ctx, a)
			if err == nil && s.State == "leader" {
				_, err = g.Client.Read(ctx, "") // it may be one that does not know yet
				cancel()
				if err == nil {
					return i, nil
				}
				continue
			}
			cancel()
		}
	}
	return 0, fmt.Errorf("no member leads")
}

// View reads what the group has agreed on.
func (g *Group) View() (quorum.StateView, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return g.Client.Read(ctx, "*")
}

// Do has the group agree on a command.
func (g *Group) Do(c statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return g.Client.Do(ctx, c)
}

// Submit queues a request to a duty.
func (g *Group) Submit(duty, id, kind string, args any) error {
	raw, err := json.Marshal(args)
	if err != nil {
		return err
	}
	r, err := g.Do(statemachine.Command{Submit: &statemachine.SubmitItem{Duty: duty, ID: id, Kind: kind, Args: raw}})
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s", r.Error)
	}
	return err
}

// Over waits until nothing more becomes of an item.
func (g *Group) Over(duty, id string, within time.Duration) (it controller.Item, err error) {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		v, e := g.View()
		if e == nil && v.Journals[duty].Item(id) != nil {
			if it = *v.Journals[duty].Item(id); it.State.Finished() {
				return it, nil
			}
		}
		if time.Now().After(end) {
			return it, fmt.Errorf("%s is %s (%s) after %v: %v", id, it.State, it.Note, within, e) //nolint:errorlint // e may be nil, which %w does not take
		}
	}
}
