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
	reportInterval = time.Second        // between two questions to all routers
	maxReportAge   = 3 * reportInterval // two reports in a row may be lost
)

// pollRouters asks the routers for what they know of the servers and for the weight that they were asked for and served, until the
// context ends.
func (r *Runner) pollRouters(ctx context.Context) {
	for ctx.Err() == nil {
		var all sync.WaitGroup
		for _, router := range r.cfg.Set.Routers {
			all.Go(func() { r.pollRouter(router) })
		}
		all.Wait()
		pause(ctx, reportInterval)
	}
}

// pollRouter asks one router, and notes its answer; one that does not answer has reported nothing.
func (r *Runner) pollRouter(router string) {
	at := r.clock()
	body, err := client.Status(client.Platform, router)
	if err != nil {
		return
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Get("fleet") == nil {
		return
	}
	fleet := v.Get("fleet")
	report := controller.HealthReport{Router: router, RequestedAt: at, Dead: map[string]bool{}}
	for _, s := range fleet.GetArray("servers") {
		report.Dead[string(s.GetStringBytes("name"))] = string(s.GetStringBytes("health")) == "dead"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitor.AddReport(report)
	r.loads[router] = controller.WeightedLoad{Requested: fleet.GetFloat64("worth_asked"), Served: fleet.GetFloat64("worth_served")}
}

// reportDeadServers logs verdicts that have changed, and queues a request to the placement duty for each server that is dead.
func (d *duty) reportDeadServers(paused bool) error {
	verdicts, before, mapVersion := d.lookAtVerdicts()
	for _, name := range controller.SortedServers(verdicts) {
		verdict := verdicts[name]
		if verdict != before[name] && (verdict != controller.Alive || before != nil) {
			// monitor.alive, monitor.partly, monitor.unsure, monitor.dying or monitor.dead
			d.log.Info().Str("event", "monitor."+string(verdict)).Str("server", name).Send()
		}
		id, gone, ok := controller.GoneRequest(name, mapVersion, verdict, d.cfg.Set.DeadAfter)
		if !ok || paused || before[name] == verdict {
			continue
		}
		if err := d.submitGone(id, gone); err != nil {
			d.Runner.mu.Lock()
			d.verdicts = nil // submitted again with the next look
			d.Runner.mu.Unlock()
			return err
		}
	}
	return nil
}

// lookAtVerdicts returns the verdicts now and those of the look before, nil at the first.
func (r *Runner) lookAtVerdicts() (now, before map[string]controller.Verdict, mapVersion int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, s := range r.servers {
		names = append(names, s.Name)
	}
	now, before = r.monitor.Verdicts(names, r.clock()), r.verdicts
	r.verdicts = now
	return now, before, r.mapVersion
}

func (d *duty) submitGone(id string, gone controller.ServerGone) error {
	args, err := json.Marshal(gone)
	if err != nil {
		return err
	}
	asking, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, err = d.cfg.Group.Do(asking, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.PlacementDuty, ID: id, Kind: controller.KindGone, Args: args}})
	return err
}
