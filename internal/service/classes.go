package service

import (
	"slices"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// checkClasses reports whether the group's classes could be applied: it names the field that is no good.
func (s *Service) checkClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	_, err := settings.ParseClasses(text, s.cfg.Server)
	return err
}

// applyClasses applies the group's classes. A class whose idempotency window becomes shorter keeps the old length until what ran
// by that can't come again: else a repeat in its last part would run a second time.
func (s *Service) applyClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	next, err := settings.ParseClasses(text, s.cfg.Server)
	if err != nil {
		return err
	}
	s.classesGeneration++
	s.classesFromGroup = true
	interim, delay := transition(s.cfg.Server, next)
	if err := s.core.Reconfigure(interim); err != nil {
		return err
	}
	s.cfg.Server = interim
	if delay > 0 {
		generation := s.classesGeneration
		time.AfterFunc(delay, func() { s.finishTransition(next, generation) })
	}
	events.Log(s.log, "reload.settings", classes(interim))
	return nil
}

// transition returns the settings to go by at first on the way from old to next, and after how long next may hold; 0: at once.
func transition(old, next silverpath.Settings) (interim silverpath.Settings, delay time.Duration) {
	interim = next
	interim.Classes = slices.Clone(next.Classes)
	for i, k := range interim.Classes {
		for _, o := range old.Classes {
			if o.Name == k.Name {
				window, until := configstore.TransitionWindow(o.IdempotencyWindow, k.IdempotencyWindow, max(o.Deadline, k.Deadline))
				interim.Classes[i].IdempotencyWindow, delay = window, max(delay, until)
			}
		}
	}
	return interim, delay
}

// finishTransition applies the settings at the end of their transition, unless other classes have come meanwhile. A timer calls it.
func (s *Service) finishTransition(next silverpath.Settings, generation int) {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	if s.classesGeneration != generation {
		return
	}
	if err := s.core.Reconfigure(next); err != nil {
		events.Log(s.log, "config.rejected", configstore.DocClasses, "", err)
		return
	}
	s.cfg.Server = next
	events.Log(s.log, "reload.settings", classes(next))
}
