package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/fence"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/admin"
)

const (
	commandTimeout = 3 * time.Second        // of a command to a server, which stores it before it answers
	probeInterval  = 200 * time.Millisecond // between two looks at which servers are to be probed
	probeTimeout   = time.Second            // of a probe; a server has one under way at most
	loadInterval   = time.Second            // between two looks at what was served
)

// decideRollout asks for the next step of a rollout. A pause of the duty pauses a rollout that is under way.
func (d *duty) decideRollout(j *controller.Journal, epoch lease.Epoch, paused bool) controller.Action {
	it := j.Current()
	d.Runner.mu.Lock()
	d.rolloutActive = it != nil
	servers, readiness := d.servers, maps.Clone(d.readiness)
	d.Runner.mu.Unlock()
	if it == nil || paused && it.State == controller.Queued {
		return controller.Action{}
	}
	if paused && it.Directive == "" {
		it.Directive = controller.DirectPause
	}
	d.observeLoad(it)
	return d.rollout.Next(j, uint64(epoch), servers, readiness, d.clock())
}

func (d *duty) isRolloutActive() bool {
	d.Runner.mu.Lock()
	defer d.Runner.mu.Unlock()
	return d.rolloutActive
}

// observeLoad tells the rollout what was requested and served since it was last told, once in loadInterval.
func (d *duty) observeLoad(it *controller.Item) {
	now := d.clock()
	elapsed := now - d.loadAt
	if elapsed < loadInterval {
		return
	}
	var spec controller.RolloutSpec
	if json.Unmarshal(it.Args, &spec) != nil {
		return
	}
	var total controller.WeightedLoad
	d.Runner.mu.Lock()
	for _, l := range d.loads {
		total.Requested, total.Served = total.Requested+l.Requested, total.Served+l.Served
	}
	d.Runner.mu.Unlock()
	since := controller.WeightedLoad{Requested: total.Requested - d.totalLoad.Requested, Served: total.Served - d.totalLoad.Served}
	// At the first look, after a router has started anew, and where looks were missed (three intervals), the difference says nothing.
	if d.totalLoad.Requested > 0 && elapsed < 3*loadInterval && since.Requested >= 0 && since.Served >= 0 {
		d.rollout.ObserveLoad(since, spec.MinServedShare)
	}
	d.totalLoad, d.loadAt = total, now
}

// sendCommand sends a command to a server, with the epoch and step that its fence judges it by, and reports whether it was accepted.
func (d *duty) sendCommand(ctx context.Context, epoch lease.Epoch, step uint64, c controller.ServerCommand) (accepted bool) {
	call := "rejoin"
	if c.Evacuate {
		call = "evacuate"
	}
	calling, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	accepted, reason, err := admin.Call(calling, c.Admin, fmt.Sprintf("POST /api/%s?duty=%s&epoch=%d&step=%d", call, d.name, uint64(epoch), step))
	if err != nil {
		reason = err.Error()
	}
	d.rollout.RecordCommand(c.Server, accepted)
	// command.evacuate or command.rejoin
	d.log.Info().Str("event", "command."+call).Stringer("epoch", epoch).Uint64("step", step).Str("server", c.Server).Bool("yes", accepted).Str("why", reason).Send()
	d.cfg.Stats.Inc("orders_sent", call, map[bool]string{true: "yes", false: "no"}[accepted])
	if higher, ok := refusedEpoch(reason, d.name); ok {
		// The group knows less than the server, as after its snapshot was put back from a copy: it rises above the server's epoch, and
		// the next holding has a higher one. If it does not learn of it now, the next command is refused in the same way.
		_, _ = d.cfg.Group.Do(calling, statemachine.Command{Lease: &lease.Request{Op: lease.RaiseEpoch, Duty: d.name, Epoch: higher}})
	}
	return accepted
}

// refusedEpoch reads the epoch that a server's fence has seen out of its refusal of a stale one; the text is the fence's.
func refusedEpoch(reason, duty string) (lease.Epoch, bool) {
	_, observed, ok := strings.Cut(reason, duty+": ")
	if !ok || !strings.HasPrefix(reason, fence.ErrStaleEpoch.Error()) {
		return 0, false
	}
	var generation, number uint64
	if _, err := fmt.Sscanf(observed, "%d.%d was seen", &generation, &number); err != nil {
		return 0, false
	}
	return lease.BaseEpoch(uint32(generation)) | lease.Epoch(number), true
}

// probeServers asks the servers whether they are ready, while a rollout is under way, until the context ends. Probes end with the
// context, or probeTimeout.
func (r *Runner) probeServers(ctx context.Context) {
	var mu sync.Mutex
	underWay := map[string]bool{}
	for ctx.Err() == nil {
		r.mu.Lock()
		servers := r.servers
		if !r.rolloutActive {
			servers = nil
		}
		r.mu.Unlock()
		for _, s := range servers {
			mu.Lock()
			skip := underWay[s.Name] || s.Admin == ""
			underWay[s.Name] = true
			mu.Unlock()
			if skip {
				continue
			}
			go func() {
				r.probe(ctx, s)
				mu.Lock()
				delete(underWay, s.Name)
				mu.Unlock()
			}()
		}
		pause(ctx, probeInterval)
	}
}

// probe asks one server whether it is ready, and notes what it shows.
func (r *Runner) probe(ctx context.Context, s controller.RolloutServer) {
	at := r.clock() // from before it is asked: an answer says nothing of what happened after that
	probing, cancel := context.WithTimeout(ctx, probeTimeout)
	ready, _, err := admin.Call(probing, s.Admin, "GET /api/ready")
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readiness[s.Name] = controller.Readiness{ProbedAt: at, Reachable: err == nil, Ready: ready}
}
