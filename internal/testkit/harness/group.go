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

// Starter starts the program with arguments and additional environment variables.
type Starter func(args []string, env ...string) (*Process, error)

// Group is a quorum of processes of the program. Each member is reached, by the other members and by clients, through a fault-injecting
// proxy of its own.
type Group struct {
	Dir           string
	Addrs         []string        // listening addresses of the members, behind the proxies
	Proxies       []*faults.Proxy // the proxy in front of each member
	Members       []*Process
	Client        *quorum.Client
	startProcess  Starter
	tick          time.Duration
	settingsFiles int

	reserved []*Reservation // reservations of Addrs, released by Close
}

// NewGroup starts n members with their data in dir, founds the quorum and waits for a leader. After an error the caller still calls Close
// on the returned group.
func NewGroup(dir string, n int, terms lease.Terms, tick time.Duration, startProcess Starter) (*Group, error) {
	g := &Group{Dir: dir, Client: &quorum.Client{Group: "test"}, Members: make([]*Process, n), startProcess: startProcess, tick: tick}
	for i := range n {
		reserved, err := Reserve()
		if err != nil {
			return g, err
		}
		g.reserved = append(g.reserved, reserved)
		proxy, err := faults.Listen(reserved.Addr, true, uint64(i))
		if err != nil {
			return g, err
		}
		g.Addrs, g.Proxies = append(g.Addrs, reserved.Addr), append(g.Proxies, proxy)
		g.Client.Addrs = append(g.Client.Addrs, proxy.Addr())
	}
	for i := range n {
		if err := g.Start(i); err != nil {
			return g, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := g.Client.CreateGroup(ctx, terms); err != nil {
		return g, err
	}
	_, err := g.Leader()
	return g, err
}

// Close kills all members, closes the proxies and the client, and releases the addresses.
func (g *Group) Close() {
	for _, proxy := range g.Proxies {
		proxy.Close()
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

// DataDir returns the data folder of a member.
func (g *Group) DataDir(i int) string { return filepath.Join(g.Dir, fmt.Sprint("q", i)) }

// writeSettings writes settings to a new file and returns its path.
func (g *Group) writeSettings(text string) (string, error) {
	g.settingsFiles++
	path := filepath.Join(g.Dir, fmt.Sprintf("settings-%d.json", g.settingsFiles))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Start starts a member on its existing data folder and waits until it listens.
func (g *Group) Start(i int, env ...string) error {
	membersJSON, _ := json.Marshal(g.Client.Addrs)
	file, err := g.writeSettings(fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q,"tick_ms":%d}}`,
		i, membersJSON, g.Addrs[i], g.Proxies[i].Addr(), g.DataDir(i), g.tick.Milliseconds()))
	if err != nil {
		return err
	}
	if g.Members[i], err = g.startProcess([]string{"quorum", "--config", file}, append(env, "SILVERPATH_DISK="+g.DataDir(i)+".fault")...); err != nil {
		return err
	}
	_, err = g.Members[i].Await(10*time.Second, 0, "group.listening")
	return err
}

// StartController starts a process that runs the listed controllers on the map in dir. It reaches the quorum at the given addresses, or through the
// proxies of all members if members is nil.
func (g *Group) StartController(name, dir string, controllers, members, routers []string, env ...string) (*Process, error) {
	if members == nil {
		members = g.Client.Addrs
	}
	controllersJSON, _ := json.Marshal(controllers)
	membersJSON, _ := json.Marshal(members)
	routersJSON, _ := json.Marshal(append([]string{}, routers...))
	file, err := g.writeSettings(fmt.Sprintf(`{"name":%q,"group":"test","members":%s,"owner":{"duties":%s,"map":%q,"routers":%s,"gone_after_ms":1500}}`,
		name, membersJSON, controllersJSON, dir, routersJSON))
	if err != nil {
		return nil, err
	}
	return g.startProcess([]string{"duty", "run", "--config", file}, env...)
}

// SetDiskFault makes a member's disk fail, or delay every write, as text says. An empty text ends the fault. It only works with a program that
// reads the fault file named by SILVERPATH_DISK.
func (g *Group) SetDiskFault(i int, text string) {
	if text == "" {
		_ = os.Remove(g.DataDir(i) + ".fault")
	} else {
		_ = os.WriteFile(g.DataDir(i)+".fault", []byte(text), 0o600)
	}
}

// Leader waits for a member that leads and serves reads, and returns its index.
func (g *Group) Leader() (int, error) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for i, a := range g.Client.Addrs {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			s, err := g.Client.StatusOf(ctx, a)
			if err == nil && s.State == "leader" {
				_, err = g.Client.Read(ctx, "") // the member may have lost its leadership without having noticed
				cancel()
				if err == nil {
					return i, nil
				}
				continue
			}
			cancel()
		}
	}
	return 0, fmt.Errorf("no member of the group became leader")
}

// View reads the committed state of the group.
func (g *Group) View() (quorum.StateView, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return g.Client.Read(ctx, "*")
}

// Do commits a command through the group and returns its result.
func (g *Group) Do(c statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return g.Client.Do(ctx, c)
}

// Submit queues an item for a controller. It also returns an error if the group rejects the item.
func (g *Group) Submit(controllerName, id, kind string, args any) error {
	raw, err := json.Marshal(args)
	if err != nil {
		return err
	}
	r, err := g.Do(statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controllerName, ID: id, Kind: kind, Args: raw}})
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s", r.Error)
	}
	return err
}

// AwaitItem waits until an item has finished and returns it.
func (g *Group) AwaitItem(controllerName, id string, within time.Duration) (item controller.Item, err error) {
	for deadline := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		view, viewErr := g.View()
		if viewErr == nil && view.Journals[controllerName].Item(id) != nil {
			if item = *view.Journals[controllerName].Item(id); item.State.Finished() {
				return item, nil
			}
		}
		if time.Now().After(deadline) {
			return item, fmt.Errorf("item %s is not finished but %s (%s) after %v: %v", id, item.State, item.Note, within, viewErr) //nolint:errorlint // viewErr may be nil, which %w does not support
		}
	}
}
