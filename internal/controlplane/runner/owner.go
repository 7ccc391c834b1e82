// Package runner owns duties of the fleet for a process: it keeps the leases, and carries out what the duties decide. Each
// duty has a goroutine for its lease and one for its work, so that nothing that an act waits for holds up another duty.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/fence"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/client"
)

// Config sets up an owner.
type Config struct {
	Name  string
	Set   settings.Runner
	Group *quorum.Client
	Log   zerolog.Logger
	Stats *metrics.Counters
	Rate  float64 // of its clock, for tests; 0: 1
}

// Boundary is called at every boundary of an act, in test programs only, which stop the process there: check (before it looks
// whether it still owns the duty), write (after that, before a word in the journal), intent (written), act (made, and its
// outcome not written).
var Boundary = func(duty, at string, step uint64) {}

// Wall is the clock by which maps are made, in test programs another one.
var Wall = time.Now

// errClock says that this process's clock and that of the group's leader differ by more than the map allows. What is
// planned by such a clock is for another time than the routers'.
var errClock = errors.New("the clock differs from the group's")

const (
	look       = 20 * time.Millisecond  // between two looks at a lease
	idle       = 250 * time.Millisecond // between two looks at a journal without work
	busy       = 20 * time.Millisecond  // and at one under way
	askFor     = 2 * time.Second
	orderFor   = 3 * time.Second
	seeEvery   = 200 * time.Millisecond
	seeFor     = time.Second
	reportEach = time.Second
	mostFails  = 20 // of publishing a version, before its place is taken from it
)

// Owner is a process that owns duties, or waits for them.
type Owner struct {
	cfg    Config
	who    string
	began  time.Time
	series proxy.VersionDir

	mu      sync.Mutex // of what was seen
	seen    map[string]controller.Readiness
	watched bool // a roll is under way
	servers []controller.RolloutServer
	reports controller.Monitor
	worth   map[string]controller.WeightedLoad // by router, as last told
	verdict map[string]controller.Verdict
	version int
}

// New returns an owner. Its name is that of this start.
func New(cfg Config) *Owner {
	var b [4]byte
	rand.Read(b[:])
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	return &Owner{
		cfg: cfg, who: cfg.Name + "#" + hex.EncodeToString(b[:]), began: time.Now(), series: proxy.VersionDir{Dir: cfg.Set.Map},
		seen: map[string]controller.Readiness{}, worth: map[string]controller.WeightedLoad{},
		reports: controller.Monitor{Routers: cfg.Set.Routers, DeadAfter: cfg.Set.DeadAfter, MaxReportAge: 3 * reportEach},
	}
}

func (o *Owner) clock() time.Duration {
	return time.Duration(float64(time.Since(o.began)) * o.cfg.Rate)
}

// Run owns what it can until the context ends, and hands it on then.
func (o *Owner) Run(ctx context.Context) {
	var terms lease.Terms
	for ctx.Err() == nil && terms.TTL == 0 { // the leases are the group's
		asking, cancel := context.WithTimeout(ctx, askFor)
		v, err := o.cfg.Group.Read(asking, "")
		cancel()
		if terms = v.Terms; err != nil || terms.TTL == 0 {
			o.cfg.Log.Warn().Str("event", "owner.no_group").Err(err).Send()
			pause(ctx, time.Second)
		}
	}
	var all sync.WaitGroup
	for _, name := range o.cfg.Set.Controllers {
		d := &duty{Owner: o, name: name, holder: lease.NewHolder(name, o.who, terms)}
		d.log = o.cfg.Log.With().Str("process", o.cfg.Name).Str("duty", name).Logger()
		all.Go(func() { d.hold(ctx) })
		all.Go(func() { d.work(ctx) })
	}
	if len(o.cfg.Set.Routers) > 0 {
		all.Go(func() { o.report(ctx) })
	}
	all.Go(func() { o.see(ctx) })
	all.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// duty is one duty of an owner.
type duty struct {
	*Owner
	name   string
	log    zerolog.Logger
	mu     sync.Mutex
	holder *lease.Holder
	acting bool // between its check and the end of its act
	keeper controller.Placement
	leads  controller.Rollout
	fails  int
	said   string
	total  controller.WeightedLoad // of all routers, when the conductor last looked
	looked time.Duration
}

// owns reports whether the duty is owned now, and by which epoch.
func (d *duty) owns() (lease.Epoch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Holds(d.clock())
}

// begin reports whether the duty is still owned; then it is not handed on by consent before finish.
func (d *duty) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, d.acting = d.holder.Holds(d.clock())
	return d.acting
}

func (d *duty) finish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acting = false
}

// hold keeps the lease, whatever its work waits for.
func (d *duty) hold(ctx context.Context) {
	type told struct {
		asked time.Duration
		ask   lease.Request
		duty  lease.Duty
		no    bool
	}
	answers := make(chan told, 16)
	tick := time.NewTicker(look)
	defer tick.Stop()
	owned, leaving := false, ctx.Done()
	end := make(<-chan time.Time)
	for {
		select {
		case <-leaving:
			leaving = nil
			d.mu.Lock()
			d.holder.Release(d.clock(), false)
			d.mu.Unlock()
			end = time.After(askFor / 2)
		case <-end:
			return
		case a := <-answers:
			d.mu.Lock()
			d.holder.HandleAnswer(a.asked, a.ask, a.duty, a.no, d.clock())
			d.mu.Unlock()
		case <-tick.C:
		}
		d.mu.Lock()
		now := d.clock()
		st := d.holder.State(now)
		if st == lease.Holding && d.holder.TransferRequested() && !d.acting {
			d.holder.Release(now, true)
		}
		e, has := d.holder.Holds(now)
		a, due := d.holder.NextRequest(now)
		ago := now - d.holder.LostAt()
		d.mu.Unlock()
		if has != owned {
			event, line := "duty.owned", d.log.Info()
			if !has { // a loaded machine, or a stop, may have it seen late
				event, line = "duty.lost", line.Dur("ago", ago)
			}
			owned = has
			line.Str("event", event).Stringer("epoch", e).Send()
			d.cfg.Stats.Inc(strings.ReplaceAll(event, ".", "_"), d.name)
		}
		if st == lease.Stopped && leaving == nil {
			return
		}
		if due {
			go func() {
				asking, cancel := context.WithTimeout(context.Background(), askFor)
				defer cancel()
				r, err := d.cfg.Group.Do(asking, statemachine.Command{Lease: &a})
				if err != nil || r.Duty == nil {
					return // its lease runs out by itself
				}
				select {
				case answers <- told{now, a, *r.Duty, r.Error != ""}:
				default:
				}
			}()
		}
	}
}

// work does what is to be done while the duty is owned.
func (d *duty) work(ctx context.Context) {
	for ctx.Err() == nil {
		epoch, has := d.owns()
		if !has {
			pause(ctx, look)
			continue
		}
		wait := idle
		if did, err := d.one(ctx, epoch); err != nil {
			d.tell(err)
			wait = idle
			if errors.Is(err, errClock) { // somebody else may have a better one
				d.mu.Lock()
				d.holder.Release(d.clock(), true)
				d.mu.Unlock()
				wait = askFor
			}
		} else if did {
			wait = 0
		} else if d.name == controller.RolloutDuty && d.rolling() {
			wait = busy
		}
		pause(ctx, wait)
	}
}

func (d *duty) rolling() bool {
	d.Owner.mu.Lock()
	defer d.Owner.mu.Unlock()
	return d.watched
}

// tell logs what went wrong, once while it stays the same.
func (d *duty) tell(err error) {
	if s := err.Error(); s != d.said {
		d.said = s
		d.log.Warn().Str("event", "duty.held_up").Err(err).Send()
	}
}

// one does one thing, and reports whether there was any.
func (d *duty) one(ctx context.Context, epoch lease.Epoch) (did bool, err error) {
	asking, cancel := context.WithTimeout(ctx, askFor)
	asked := time.Now()
	v, err := d.cfg.Group.Read(asking, d.name)
	cancel()
	if err != nil {
		return false, err
	}
	off := Wall().Sub(time.UnixMilli(v.Wall)).Abs() - time.Since(asked) - time.Millisecond
	if err := v.Table.CheckHolder(d.name, d.who, epoch); err != nil {
		return false, err
	}
	j := v.Journals[d.name]
	if j == nil {
		return false, errors.New("no journal")
	}
	paused := v.Table.Duties[d.name].PauseReason != ""
	act, err := d.decide(j, epoch, paused, off)
	if err != nil {
		return false, err
	}
	if act.Kind == controller.Idle {
		return false, nil
	}
	Boundary(d.name, "check", j.Step)
	if !d.begin() {
		return false, nil // it was stopped for so long that it owns nothing any more
	}
	defer d.finish()
	switch act.Kind {
	case controller.WriteJournal:
		Boundary(d.name, "write", j.Step)
		return true, d.write(ctx, j, epoch, act.Write)
	case controller.Publish, controller.Withdraw:
		Boundary(d.name, "intent", j.Step)
		err := d.series.Put(act.Version, act.Raw)
		if errors.Is(err, proxy.ErrVersionTaken) {
			err = nil // what stands there is seen with the next look
		}
		if err != nil {
			d.fails++
			d.cfg.Stats.Inc("duty_failed", d.name)
			return false, fmt.Errorf("%v: %w", act.Kind, err)
		}
		d.fails = 0
		d.log.Info().Str("event", "map."+act.Kind.String()).Stringer("epoch", epoch).Uint64("step", j.Step).Int("version", act.Version).Send()
		Boundary(d.name, "act", j.Step)
		return true, nil
	case controller.SendCommand:
		it := j.Current()
		Boundary(d.name, "intent", it.Step)
		yes := d.send(ctx, epoch, it.Step, act.Command)
		Boundary(d.name, "act", it.Step)
		return yes, nil
	}
	return false, nil
}

// write puts a write into the journal, by this owner's epoch and as the next step.
func (d *duty) write(ctx context.Context, j *controller.Journal, epoch lease.Epoch, w controller.JournalWrite) error {
	w.Duty, w.Process, w.Epoch, w.Step = d.name, d.who, epoch, j.Step+1
	asking, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	r, err := d.cfg.Group.Do(asking, statemachine.Command{Journal: &w})
	if err != nil {
		return err // whether it is there is seen with the next look
	}
	if r.Error != "" {
		d.cfg.Stats.Inc("duty_refused", d.name, r.ErrorKind)
		d.log.Warn().Str("event", "duty.refused").Stringer("epoch", epoch).Uint64("step", w.Step).Str("why", r.Error).Send()
		return errors.New(r.Error)
	}
	d.log.Info().Str("event", "duty.step").Stringer("epoch", epoch).Uint64("step", w.Step).Str("item", w.Item).
		Str("state", string(w.State)).Str("note", w.Note).Send()
	return nil
}

// send gives an order.
func (d *duty) send(ctx context.Context, epoch lease.Epoch, step uint64, o controller.ServerCommand) (yes bool) {
	call := "rejoin"
	if o.Evacuate {
		call = "evacuate"
	}
	asking, cancel := context.WithTimeout(ctx, orderFor)
	defer cancel()
	yes, why, err := admin.Call(asking, o.Admin, fmt.Sprintf("POST /api/%s?duty=%s&epoch=%d&step=%d", call, d.name, uint64(epoch), step))
	if err != nil {
		why = err.Error()
	}
	d.leads.RecordCommand(o.Server, yes)
	e := d.log.Info().Str("event", "order."+call).Stringer("epoch", epoch).Uint64("step", step).Str("server", o.Server).Bool("yes", yes)
	e.Str("why", why).Send()
	d.cfg.Stats.Inc("orders_sent", call, map[bool]string{true: "yes", false: "no"}[yes])
	if _, saw, ok := strings.Cut(why, d.name+": "); ok && strings.HasPrefix(why, fence.ErrStaleEpoch.Error()) {
		var g, n uint64
		if _, err := fmt.Sscanf(saw, "%d.%d was seen", &g, &n); err == nil {
			// The group knows less than the server: it was set back. It rises above what was seen.
			d.cfg.Group.Do(asking, statemachine.Command{Lease: &lease.Request{Op: lease.RaiseEpoch, Duty: d.name, Epoch: lease.Epoch(g<<32 | n)}})
		}
	}
	return yes
}

var codec = controller.Codec{Format: settings.FormatCells, Parse: settings.ParseCells}

// decide asks the duty's decisions what is next.
func (d *duty) decide(j *controller.Journal, epoch lease.Epoch, paused bool, off time.Duration) (controller.Action, error) {
	m, raw, err := d.series.Head()
	if m == nil && err != nil {
		return controller.Action{}, err
	}
	it := j.Current()
	if m != nil {
		d.Owner.look(m)
	}
	switch d.name {
	case controller.PlacementDuty:
		if paused && (it == nil || it.State == controller.Queued) {
			return controller.Action{}, nil
		}
		if m != nil && off > m.MaxClockSkew {
			return controller.Action{}, fmt.Errorf("%w: by %v, skew_ms allows %v", errClock, off.Round(time.Millisecond), m.MaxClockSkew)
		}
		h := controller.PublishedMap{Map: m, Raw: raw}
		if h.HighestVersion, err = d.series.HighestVersion(); err != nil {
			return controller.Action{}, err
		}
		if it != nil && it.State == controller.Intended {
			if plan, err := settings.ParseCells([]byte(it.Plan)); err == nil {
				if h.Occupant, err = d.series.Read(plan.Version); err != nil {
					return controller.Action{}, err
				}
			}
		}
		d.keeper.Codec = codec
		act := d.keeper.Next(j, h, uint64(epoch), Wall())
		if act.Kind == controller.Publish && d.fails >= mostFails {
			act = controller.Action{Kind: controller.Withdraw, Version: act.Version}
		}
		return act, nil
	case controller.RolloutDuty:
		d.Owner.mu.Lock()
		d.Owner.watched = it != nil
		servers, seen := d.servers, map[string]controller.Readiness{}
		for k, s := range d.seen {
			seen[k] = s
		}
		d.Owner.mu.Unlock()
		if it == nil || paused && it.State == controller.Queued {
			return controller.Action{}, nil
		}
		if paused && it.Directive == "" {
			it.Directive = "pause"
		}
		d.worthOf(it)
		return d.leads.Next(j, uint64(epoch), servers, seen, d.clock()), nil
	case controller.MonitorDuty:
		return controller.Action{}, d.judge(paused)
	}
	return controller.Action{}, nil
}

// worthOf has the conductor look at what was served since it last did, once a second.
func (d *duty) worthOf(it *controller.Item) {
	now := d.clock()
	if now-d.looked < reportEach {
		return
	}
	var r controller.RolloutSpec
	if json.Unmarshal(it.Args, &r) != nil {
		return
	}
	var all controller.WeightedLoad
	d.Owner.mu.Lock()
	for _, w := range d.worth {
		all.Requested, all.Served = all.Requested+w.Requested, all.Served+w.Served
	}
	d.Owner.mu.Unlock()
	w := controller.WeightedLoad{Requested: all.Requested - d.total.Requested, Served: all.Served - d.total.Served}
	if d.total.Requested > 0 && now-d.looked < 3*reportEach && w.Requested >= 0 && w.Served >= 0 { // else a router started anew, or this is the first look
		d.leads.ObserveLoad(w, r.MinServedShare)
	}
	d.total, d.looked = all, now
}

// look notes the servers of the map in force.
func (o *Owner) look(m *cells.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers, o.version = nil, m.Version
	now := time.Now().UnixMilli()
	for s := range m.AllServers() {
		if s.LeavesAt == 0 || s.LeavesAt > now {
			o.servers = append(o.servers, controller.RolloutServer{Name: s.Name, Cell: s.Cell, Admin: s.AdminAddr})
		}
	}
}

// see asks the servers whether they are ready, while a roll is under way.
func (o *Owner) see(ctx context.Context) {
	var mu sync.Mutex
	under := map[string]bool{}
	for ctx.Err() == nil {
		o.mu.Lock()
		servers := o.servers
		if !o.watched {
			servers = nil
		}
		o.mu.Unlock()
		for _, s := range servers {
			mu.Lock()
			skip := under[s.Name] || s.Admin == ""
			under[s.Name] = true
			mu.Unlock()
			if skip {
				continue
			}
			go func() {
				at := o.clock()
				asking, cancel := context.WithTimeout(ctx, seeFor)
				yes, _, err := admin.Call(asking, s.Admin, "GET /api/ready")
				cancel()
				o.mu.Lock()
				o.seen[s.Name] = controller.Readiness{ProbedAt: at, Reachable: err == nil, Ready: yes}
				o.mu.Unlock()
				mu.Lock()
				delete(under, s.Name)
				mu.Unlock()
			}()
		}
		pause(ctx, seeEvery)
	}
}

// report asks the routers for what they know of the servers, and for the worth that they served.
func (o *Owner) report(ctx context.Context) {
	for ctx.Err() == nil {
		var all sync.WaitGroup
		for _, r := range o.cfg.Set.Routers {
			all.Go(func() {
				at := o.clock()
				body, err := client.Status(client.Platform, r)
				if err != nil {
					return
				}
				v, err := fastjson.ParseBytes(body)
				if err != nil || v.Get("fleet") == nil {
					return
				}
				f := v.Get("fleet")
				rep := controller.HealthReport{Router: r, AskedAt: at, Dead: map[string]bool{}}
				for _, s := range f.GetArray("servers") {
					rep.Dead[string(s.GetStringBytes("name"))] = string(s.GetStringBytes("health")) == "dead"
				}
				o.mu.Lock()
				defer o.mu.Unlock()
				o.reports.AddReport(rep)
				o.worth[r] = controller.WeightedLoad{Requested: f.GetFloat64("worth_asked"), Served: f.GetFloat64("worth_served")}
			})
		}
		all.Wait()
		pause(ctx, reportEach)
	}
}

// judge takes the watcher's verdicts to the keeper.
func (d *duty) judge(paused bool) error {
	o := d.Owner
	o.mu.Lock()
	var names []string
	for _, s := range o.servers {
		names = append(names, s.Name)
	}
	verdicts := o.reports.Verdicts(names, o.clock())
	said, version := o.verdict, o.version
	o.verdict = verdicts
	o.mu.Unlock()
	for _, name := range controller.SortedServers(verdicts) {
		v := verdicts[name]
		if v != said[name] && (v != controller.Alive || said != nil) {
			d.log.Info().Str("event", "watcher."+string(v)).Str("server", name).Send()
		}
		id, g, ok := controller.GoneRequest(name, version, v, o.cfg.Set.DeadAfter)
		if !ok || paused || said[name] == v {
			continue
		}
		args, err := json.Marshal(g)
		if err != nil {
			return err
		}
		asking, cancel := context.WithTimeout(context.Background(), askFor)
		_, err = o.cfg.Group.Do(asking, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.PlacementDuty, ID: id, Kind: controller.KindGone, Args: args}})
		cancel()
		if err != nil {
			o.mu.Lock()
			o.verdict = nil // asked again with the next look
			o.mu.Unlock()
			return err
		}
	}
	return nil
}
