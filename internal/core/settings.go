package core

import (
	"time"

	"silverpath"
)

// supportedSettings returns the settings without the features that this host lacks: the interpreter's protocol can neither stop a
// run nor continue it without its call. It copies the slice of classes, which another service in the same process may share.
func supportedSettings(set silverpath.Settings) silverpath.Settings {
	set.Preemption = silverpath.PreemptNone
	set.Classes = append([]silverpath.Class(nil), set.Classes...)
	for i := range set.Classes {
		set.Classes[i].DegradedWeight = 0
	}
	return set
}

// Reconfigure applies new settings completely or not at all. Requests in progress keep the class that they arrived with. The error
// names the invalid field.
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
