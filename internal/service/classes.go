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

// applyClasses applies the group's classes.
func (s *Service) applyClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	next, err := settings.ParseClasses(text, s.cfg.Server)
	if err != nil {
		return err
	}
	s.classesFromGroup = true
	return s.applySettings(next)
}

// applySettings applies new settings of the module, of a reload or of the group. A class whose idempotency window becomes shorter keeps
// the old window until no request that ran under it can be repeated. Otherwise a request repeated late in the old window would run a
// second time. The caller holds settingsMu. After an error nothing has changed.
func (s *Service) applySettings(next silverpath.Settings) error {
	now := s.clock()
	windows := s.windows.Change(now, classWindows(next.Classes))
	if err := s.core.Reconfigure(withWindows(next, windows, now)); err != nil {
		return err
	}
	s.cfg.Server, s.windows = next, windows
	s.extendUnknownRuns()
	s.scheduleWindowEnd(now)
	events.Log(s.log, "reload.settings", describeClasses(next))
	return nil
}

// keepStoredWindows applies the windows with which the store was last in use: a restart with a shorter window is a change like a reload,
// and clients may still act on the longer one.
func (s *Service) keepStoredWindows() error {
	if s.store == nil {
		return nil
	}
	previous := map[string]configstore.ClassWindow{}
	for class, terms := range s.store.LastTerms() {
		previous[class] = configstore.ClassWindow{Window: terms.Window, Deadline: terms.Deadline}
	}
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	now := s.clock()
	s.windows = configstore.WindowTransitions{}.Change(now, previous).Change(now, classWindows(s.cfg.Server.Classes))
	s.scheduleWindowEnd(now)
	return s.core.Reconfigure(withWindows(s.cfg.Server, s.windows, now))
}

// scheduleWindowEnd schedules the end of the next window that a class keeps from earlier settings. The caller holds settingsMu.
func (s *Service) scheduleWindowEnd(now time.Duration) {
	if end, ok := s.windows.NextEnd(now); ok {
		time.AfterFunc(end-now, s.endWindow)
	}
}

// endWindow applies the current settings again, because a class may have reached the end of a window from earlier settings. A timer calls
// it.
func (s *Service) endWindow() {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	now := s.clock()
	if err := s.core.Reconfigure(withWindows(s.cfg.Server, s.windows, now)); err != nil {
		events.Log(s.log, "config.rejected", configstore.DocClasses, "", err)
		return
	}
	s.scheduleWindowEnd(now)
	events.Log(s.log, "reload.settings", describeClasses(s.cfg.Server))
}

// classWindows returns the idempotency windows of classes.
func classWindows(classes []silverpath.Class) map[string]configstore.ClassWindow {
	windows := map[string]configstore.ClassWindow{}
	for _, class := range classes {
		if class.Effect == silverpath.Idempotent {
			windows[class.Name] = configstore.ClassWindow{Window: class.IdempotencyWindow, Deadline: class.Deadline}
		}
	}
	return windows
}

// withWindows returns the settings with the windows that are in effect now.
func withWindows(settings silverpath.Settings, windows configstore.WindowTransitions, now time.Duration) silverpath.Settings {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		if class := &settings.Classes[i]; class.Effect == silverpath.Idempotent {
			class.IdempotencyWindow = windows.Window(now, class.Name)
		}
	}
	return settings
}

// clock returns the monotonic time since the service was opened.
func (s *Service) clock() time.Duration { return time.Since(s.openedAt) }
