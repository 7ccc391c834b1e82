package service

import (
	"errors"

	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/settings"
)

// poolsDocument returns the functions with which a server checks and applies the group's pools document.
func (s *Service) poolsDocument() configwatch.Document {
	check := func(text string) error {
		s.settingsMu.Lock()
		defer s.settingsMu.Unlock()
		if !s.cfg.Edge.HasPools() {
			return errors.New("this server has no pools")
		}
		_, err := settings.ParsePools(text, s.cfg.Server)
		return err
	}
	return configwatch.Document{Format: 1, Check: check, Apply: func(text string) error {
		if err := check(text); err != nil {
			return err
		}
		s.settingsMu.Lock()
		defer s.settingsMu.Unlock()
		pools, err := settings.ParsePools(text, s.cfg.Server)
		if err == nil {
			err = s.core.ReloadPools(pools)
		}
		if err == nil {
			s.cfg.Edge.Pools = pools
		}
		return err
	}}
}
