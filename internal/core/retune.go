package core

import (
	"time"

	"silverpath"
)

// bounded are the settings as this host can keep them: the interpreter's protocol stops no run and goes on without no
// call, whatever a site would allow.
func bounded(set silverpath.Settings) silverpath.Settings {
	set.Preemption = silverpath.PreemptNone
	set.Classes = append([]silverpath.Class(nil), set.Classes...)
	for i := range set.Classes {
		set.Classes[i].DegradedWeight = 0
	}
	return set
}

// Retune takes up other settings, whole or not at all. Requests in hand keep the class they came with.
func (c *Core) Retune(settings silverpath.Settings) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retune(bounded(settings))
}

func (c *Core) retune(set silverpath.Settings) error {
	if c.module == nil {
		return nil
	}
	var err error
	c.decide(func(m *silverpath.Shedder, now time.Duration) { err = m.Reconfigure(now, c.planned(set)) })
	if err != nil {
		return err
	}
	c.set.Store(&set)
	if c.guard != nil {
		c.hang(set)
	}
	return nil
}
