package core

import (
	"time"

	"silverpath"
)

// supportedSettings are the settings as this host can keep them: the interpreter's protocol has no way to stop a run, nor to go
// on without a call, whatever a site would allow. The slice of classes is copied, as another service in the process may have the
// same.
func supportedSettings(set silverpath.Settings) silverpath.Settings {
	set.Preemption = silverpath.PreemptNone
	set.Classes = append([]silverpath.Class(nil), set.Classes...)
	for i := range set.Classes {
		set.Classes[i].DegradedWeight = 0
	}
	return set
}

// Reconfigure takes up other settings, whole or not at all. Requests in hand keep the class they came with. The error names the
// field that no server can have.
func (c *Core) Reconfigure(settings silverpath.Settings) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconfigure(supportedSettings(settings))
}

func (c *Core) reconfigure(set silverpath.Settings) error {
	if c.module == nil {
		return nil
	}
	var err error
	c.decide(func(m *silverpath.Shedder, now time.Duration) { err = m.Reconfigure(now, c.plannedSettings(set)) })
	if err != nil {
		return err
	}
	c.settings.Store(&set)
	if c.pools != nil {
		c.setGates(set)
	}
	return nil
}
