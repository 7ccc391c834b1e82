package service

import (
	"slices"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// checkClasses returns an error that names the invalid field if the group's classes can't be applied.
func (s *Service) checkClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	_, err := settings.ParseClasses(text, s.cfg.Server)
	return err
}

// applyClasses applies the group's classes. A class whose idempotency window becomes shorter keeps the old window until no request
// that ran under it can be repeated. Otherwise a request repeated late in the old window would run a second time.
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
	events.Log(s.log, "reload.settings", describeClasses(interim))
	return nil
}

// transition returns the settings to apply first when the settings change from old to next, and the delay after which next may be
// applied. A delay of 0 means that interim equals next.
func transition(old, next silverpath.Settings) (interim silverpath.Settings, delay time.Duration) {
	interim = next
	interim.Classes = slices.Clone(next.Classes)
	for i, class := range interim.Classes {
		for _, prev := range old.Classes {
			if prev.Name == class.Name {
				window, remaining := configstore.TransitionWindow(prev.IdempotencyWindow, class.IdempotencyWindow, max(prev.Deadline, class.Deadline))
				interim.Classes[i].IdempotencyWindow, delay = window, max(delay, remaining)
			}
		}
	}
	return interim, delay
}

// finishTransition applies next at the end of a transition, unless newer classes were applied in the meantime. A timer calls it.
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
	events.Log(s.log, "reload.settings", describeClasses(next))
}
