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
	commandTimeout = 3 * time.Second        // of a command to a server, which persists it before it answers
	probeInterval  = 200 * time.Millisecond // between rounds of readiness probes
	probeTimeout   = time.Second            // of a probe; each server has at most one in progress
	loadInterval   = time.Second            // between samples of the requested and served load
)

// decideRollout returns the rollout controller's next action. A pause of the duty also pauses an active rollout.
func (d *duty) decideRollout(j *controller.Journal, epoch lease.Epoch, paused bool) controller.Action {
	item := j.Current()
	d.Runner.mu.Lock()
	d.rolloutActive = item != nil
	servers, readiness := d.servers, maps.Clone(d.readiness)
	d.Runner.mu.Unlock()
	if item == nil || paused && item.State == controller.Queued {
		return controller.Action{}
	}
	if paused && item.Directive == "" {
		item.Directive = controller.DirectivePause
	}
	d.observeLoad(item)
	return d.rollout.Next(j, uint64(epoch), servers, readiness, d.clock())
}

// isRolloutActive reports whether the last call of decideRollout found an unfinished rollout.
func (d *duty) isRolloutActive() bool {
	d.Runner.mu.Lock()
	defer d.Runner.mu.Unlock()
	return d.rolloutActive
}

// observeLoad passes the load that was requested and served since the last sample to the rollout, once in loadInterval.
func (d *duty) observeLoad(it *controller.Item) {
	now := d.clock()
	elapsed := now - d.loadSampledAt
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
	delta := controller.WeightedLoad{Requested: total.Requested - d.sampledLoad.Requested, Served: total.Served - d.sampledLoad.Served}
	// The difference is not meaningful for the first sample, after a router has restarted (its counters start at 0 again) or
	// after missed samples (three intervals).
	if d.sampledLoad.Requested > 0 && elapsed < 3*loadInterval && delta.Requested >= 0 && delta.Served >= 0 {
		d.rollout.ObserveLoad(delta, spec.MinServedShare)
	}
	d.sampledLoad, d.loadSampledAt = total, now
}

// sendCommand sends a command with its epoch and step, which the server's fence checks, and reports whether the server
// accepted it.
func (d *duty) sendCommand(ctx context.Context, epoch lease.Epoch, step uint64, c controller.ServerCommand) (accepted bool) {
	operation := "rejoin"
	if c.Evacuate {
		operation = "evacuate"
	}
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	accepted, reason, err := admin.Call(callCtx, c.Admin, fmt.Sprintf("POST /api/%s?duty=%s&epoch=%d&step=%d", operation, d.name, uint64(epoch), step))
	if err != nil {
		reason = err.Error()
	}
	d.rollout.RecordCommand(c.Server, accepted)
	// The event is command.evacuate or command.rejoin.
	d.log.Info().Str("event", "command."+operation).Stringer("epoch", epoch).Uint64("step", step).Str("server", c.Server).Bool("yes", accepted).Str("why", reason).Send()
	d.cfg.Stats.Inc("orders_sent", operation, map[bool]string{true: "yes", false: "no"}[accepted])
	if higher, ok := parseRefusedEpoch(reason, d.name); ok {
		// The server has seen a higher epoch than the group knows, for example because the group was restored from an old
		// snapshot. The group raises its epoch above the server's, so that the next lease gets a higher one. If this request
		// fails, the next command is refused in the same way and the request is repeated.
		_, _ = d.cfg.Group.Do(callCtx, statemachine.Command{Lease: &lease.Request{Op: lease.RaiseEpoch, Duty: d.name, Epoch: higher}})
	}
	return accepted
}

// parseRefusedEpoch parses the epoch that a server's fence has seen from the text by which the fence refuses a stale epoch. It
// returns false for any other text.
func parseRefusedEpoch(reason, duty string) (lease.Epoch, bool) {
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

// probeServers probes the servers' readiness while a rollout is active, until the context ends. A probe ends with the
// context or after probeTimeout.
func (r *Runner) probeServers(ctx context.Context) {
	var mu sync.Mutex
	inProgress := map[string]bool{}
	for ctx.Err() == nil {
		r.mu.Lock()
		servers := r.servers
		if !r.rolloutActive {
			servers = nil
		}
		r.mu.Unlock()
		for _, s := range servers {
			mu.Lock()
			skip := inProgress[s.Name] || s.Admin == ""
			inProgress[s.Name] = true
			mu.Unlock()
			if skip {
				continue
			}
			go func() {
				r.probe(ctx, s)
				mu.Lock()
				delete(inProgress, s.Name)
				mu.Unlock()
			}()
		}
		sleep(ctx, probeInterval)
	}
}

// probe probes one server's readiness and records the result.
func (r *Runner) probe(ctx context.Context, s controller.RolloutServer) {
	probedAt := r.clock() // taken before the probe is sent: the answer need not reflect what happens after it
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	ready, _, err := admin.Call(probeCtx, s.Admin, "GET /api/ready")
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readiness[s.Name] = controller.Readiness{ProbedAt: probedAt, Reachable: err == nil, Ready: ready}
}
