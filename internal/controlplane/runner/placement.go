package runner

import (
	"fmt"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/settings"
)

// maxPutFailures is the number of consecutive failures to publish a version after which the version is withdrawn and the
// change is planned again for a later time. A higher value lets an unwritable folder block the duty for longer.
const maxPutFailures = 20

var codec = controller.Codec{Format: settings.FormatCells, Parse: settings.ParseCells}

// readPublished reads the map that routers see and records its servers. An invalid version is skipped if a valid one exists.
func (d *duty) readPublished() (controller.PublishedMap, error) {
	m, raw, err := d.maps.Head()
	if m == nil {
		return controller.PublishedMap{}, err
	}
	d.recordServers(m)
	return controller.PublishedMap{Map: m, Raw: raw}, nil
}

// recordServers records the servers of the published map, for probes and health verdicts.
func (r *Runner) recordServers(m *cells.Map) {
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

// decidePlacement returns the placement controller's next action. While the duty is paused, a change that has started is
// still finished and no queued one begins. It returns errClock if this process's clock differs from the leader's by more
// than the map allows.
func (d *duty) decidePlacement(j *controller.Journal, published controller.PublishedMap, epoch lease.Epoch, paused bool, clockOffset time.Duration) (controller.Action, error) {
	item := j.Current()
	if paused && (item == nil || item.State == controller.Queued) {
		return controller.Action{}, nil
	}
	if m := published.Map; m != nil && clockOffset > m.MaxClockSkew {
		return controller.Action{}, fmt.Errorf("%w: by %v, skew_ms allows %v", errClock, clockOffset.Round(time.Millisecond), m.MaxClockSkew)
	}
	var err error
	if published.HighestVersion, err = d.maps.HighestVersion(); err != nil {
		return controller.Action{}, err
	}
	if item != nil && item.State == controller.Intended {
		if plan, err := settings.ParseCells([]byte(item.Plan)); err == nil { // the controller fails an item with an unreadable plan
			if published.VersionEntry, err = d.maps.Read(plan.Version); err != nil {
				return controller.Action{}, err
			}
		}
	}
	d.placement.Codec = codec
	action := d.placement.Next(j, published, uint64(epoch), WallClock())
	if action.Kind == controller.Publish && d.putFailures >= maxPutFailures {
		action = controller.Action{Kind: controller.Withdraw, Version: action.Version}
	}
	return action, nil
}
