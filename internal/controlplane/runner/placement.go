package runner

import (
	"fmt"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/settings"
)

// After maxPutFailures failures in a row to publish a version its place is withdrawn, and the change is planned anew for a later time. Found by
// trial; raising it has a folder that can't be written hold up the duty for longer.
const maxPutFailures = 20

var codec = controller.Codec{Format: settings.FormatCells, Parse: settings.ParseCells}

// readPublished reads the map that routers can read, and notes its servers. A version that is no good beside a good one is passed over.
func (d *duty) readPublished() (controller.PublishedMap, error) {
	m, raw, err := d.maps.Head()
	if m == nil {
		return controller.PublishedMap{}, err
	}
	d.noteServers(m)
	return controller.PublishedMap{Map: m, Raw: raw}, nil
}

// noteServers notes the servers of the map that is in force, for probes and verdicts.
func (r *Runner) noteServers(m *cells.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers, r.mapVersion = nil, m.Version
	now := time.Now().UnixMilli()
	for s := range m.AllServers() {
		if s.LeavesAt == 0 || s.LeavesAt > now {
			r.servers = append(r.servers, controller.RolloutServer{Name: s.Name, Cell: s.Cell, Admin: s.AdminAddr})
		}
	}
}

// decidePlacement asks for the next step of a change of the map. While the duty is paused, what is under way is finished. A clock that
// differs from the leader's by more than the map allows is errClock.
func (d *duty) decidePlacement(j *controller.Journal, published controller.PublishedMap, epoch lease.Epoch, paused bool, clockOffset time.Duration) (controller.Action, error) {
	it := j.Current()
	if paused && (it == nil || it.State == controller.Queued) {
		return controller.Action{}, nil
	}
	if m := published.Map; m != nil && clockOffset > m.MaxClockSkew {
		return controller.Action{}, fmt.Errorf("%w: by %v, skew_ms allows %v", errClock, clockOffset.Round(time.Millisecond), m.MaxClockSkew)
	}
	var err error
	if published.HighestVersion, err = d.maps.HighestVersion(); err != nil {
		return controller.Action{}, err
	}
	if it != nil && it.State == controller.Intended {
		if plan, err := settings.ParseCells([]byte(it.Plan)); err == nil { // one that can't be read is the controller's to give up
			if published.Occupant, err = d.maps.Read(plan.Version); err != nil {
				return controller.Action{}, err
			}
		}
	}
	d.placement.Codec = codec
	action := d.placement.Next(j, published, uint64(epoch), Wall())
	if action.Kind == controller.Publish && d.putFailures >= maxPutFailures {
		action = controller.Action{Kind: controller.Withdraw, Version: action.Version}
	}
	return action, nil
}
