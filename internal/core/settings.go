package core

import (
	"time"

	"silverpath"
)

// supportedSettings returns the settings without the features that this host lacks: the interpreter's protocol can neither stop a
// run nor continue it without its call. It copies the slice of classes, which another service in the same process may share.
func supportedSettings(settings silverpath.Settings) silverpath.Settings {
	settings.Preemption = silverpath.PreemptNone
	settings.Classes = append([]silverpath.Class(nil), settings.Classes...)
	for i := range settings.Classes {
		settings.Classes[i].DegradedWeight = 0
	}
	return settings
}

// Reconfigure applies new settings completely or not at all. Requests in progress keep the class that they arrived with. Runs that are
// remembered are retained by the new settings if these are longer than the old ones. The error names the invalid field.
func (c *Core) Reconfigure(settings silverpath.Settings) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconfigure(supportedSettings(settings))
}

func (c *Core) reconfigure(settings silverpath.Settings) error {
	if c.module == nil {
		return nil
	}
	if c.lifecycle.current().ShuttingDown() { // the drain window began under the shorter one
		settings.DrainGrace = min(settings.DrainGrace, c.settings.Load().DrainGrace)
	}
	var err error
	c.decide(func(m *silverpath.Shedder, now time.Duration) { err = m.Reconfigure(now, c.plannedSettings(settings)) })
	if err != nil {
		return err
	}
	c.settings.Store(&settings)
	c.applyTerms()
	if c.pools != nil {
		c.setGates(settings)
	}
	return nil
}
