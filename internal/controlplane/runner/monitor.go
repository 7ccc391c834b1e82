package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/client"
)

const (
	reportInterval = time.Second        // between polls of all routers
	maxReportAge   = 3 * reportInterval // tolerates the loss of two consecutive reports
)

// pollRouters polls the routers for the health of the servers and for their requested and served weighted load, until the
// context ends.
func (r *Runner) pollRouters(ctx context.Context) {
	for ctx.Err() == nil {
		var polls sync.WaitGroup
		for _, router := range r.cfg.Set.Routers {
			polls.Go(func() { r.pollRouter(router) })
		}
		polls.Wait()
		sleep(ctx, reportInterval)
	}
}

// pollRouter polls one router and records its report. Without a valid answer nothing is recorded.
func (r *Runner) pollRouter(router string) {
	requestedAt := r.clock()
	body, err := client.Status(client.MessagePack, router)
	if err != nil {
		return
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Get("fleet") == nil {
		return
	}
	fleet := v.Get("fleet")
	report := controller.HealthReport{Router: router, RequestedAt: requestedAt, Dead: map[string]bool{}}
	for _, s := range fleet.GetArray("servers") {
		report.Dead[string(s.GetStringBytes("name"))] = string(s.GetStringBytes("health")) == "dead"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitor.AddReport(report)
	r.loads[router] = controller.WeightedLoad{Requested: fleet.GetFloat64("worth_asked"), Served: fleet.GetFloat64("worth_served")}
}

// reportVerdicts logs each changed verdict and submits a removal request to the placement duty for each server that has
// become dead. While the duty is paused it submits none.
func (d *duty) reportVerdicts(paused bool) error {
	verdicts, previous, mapVersion := d.updateVerdicts()
	for _, name := range controller.SortedServers(verdicts) {
		verdict := verdicts[name]
		if verdict != previous[name] && (verdict != controller.Alive || previous != nil) {
			// The event is monitor.alive, monitor.partly, monitor.unsure, monitor.dying or monitor.dead.
			d.log.Info().Str("event", "monitor."+string(verdict)).Str("server", name).Send()
		}
		id, removal, ok := controller.RemovalRequest(name, mapVersion, verdict, d.cfg.Set.DeadAfter)
		if !ok || paused || previous[name] == verdict {
			continue
		}
		if err := d.submitRemoval(id, removal); err != nil {
			d.Runner.mu.Lock()
			d.verdicts = nil // the next check submits all removal requests again
			d.Runner.mu.Unlock()
			return err
		}
	}
	return nil
}

// updateVerdicts returns the current verdicts, those of the previous check (nil at the first) and the version of the map.
func (r *Runner) updateVerdicts() (now, previous map[string]controller.Verdict, mapVersion int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, s := range r.servers {
		names = append(names, s.Name)
	}
	now, previous = r.monitor.Verdicts(names, r.clock()), r.verdicts
	r.verdicts = now
	return now, previous, r.mapVersion
}

// submitRemoval submits a removal request to the placement duty. A request that was submitted before, with the same id, has
// no further effect.
func (d *duty) submitRemoval(id string, removal controller.ServerRemoval) error {
	args, err := json.Marshal(removal)
	if err != nil {
		return err
	}
	requestCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, err = d.cfg.Group.Do(requestCtx, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.PlacementDuty, ID: id, Kind: controller.KindServerRemoval, Args: args}})
	return err
}
