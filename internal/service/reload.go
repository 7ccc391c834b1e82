package service

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// Reload applies a new configuration while the service runs: the settings of the module, the addresses of the interpreter, the
// vault and the announce service, and the pools. Requests in progress finish under the settings they started with. All other
// fields take effect only at the next start: Reload logs each of them that differs and keeps its current value. Main calls Reload
// at each SIGHUP. An error names the configuration field; in that case nothing has changed.
func (s *Service) Reload(cfg settings.Config) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	old := s.cfg
	if err := old.CheckReplacement(cfg); err != nil {
		return err
	}
	if s.classesFromGroup {
		cfg.Server.Classes = old.Server.Classes
	}
	if s.cfg.SettingsChanged(cfg) {
		if err := s.applySettings(cfg.Server); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	if s.builtinWorker != nil {
		cfg.Interpreter = old.Interpreter
	}
	s.updateAddresses(cfg)
	for _, field := range s.cfg.RestartOnlyChanges(cfg) {
		events.Log(s.log, "reload.differs", field)
	}
	s.reloadPools(cfg.Edge)
	if s.router != nil {
		s.router.Reload()
	}
	s.stats.Inc("reloads", "done")
	events.Log(s.log, "reload.done")
	return nil
}

// updateAddresses applies new addresses of the interpreter, the vault and the announce service. An empty address of the interpreter or the
// vault is ignored; an empty address of the announce service turns load reports off. The caller holds settingsMu.
func (s *Service) updateAddresses(cfg settings.Config) {
	if old := s.cfg.Interpreter; s.interpreter != nil && cfg.Interpreter != "" && cfg.Interpreter != old {
		events.Log(s.log, "reload.moved", "vm", old, cfg.Interpreter)
		s.cfg.Interpreter = cfg.Interpreter
		s.interpreter.Redirect(cfg.Interpreter)
	}
	if old := s.cfg.Vault; s.vault != nil && cfg.Vault != "" && cfg.Vault != old {
		events.Log(s.log, "reload.moved", "vault", old, cfg.Vault)
		s.cfg.Vault = cfg.Vault
		s.vault.Redirect(cfg.Vault)
	}
	if old := s.cfg.Announce; cfg.Announce != old {
		events.Log(s.log, "reload.moved", "announce", strconv.Quote(old), strconv.Quote(cfg.Announce))
		s.cfg.Announce = cfg.Announce
		s.loadReporter.Redirect(cfg.Announce)
	}
}

// reloadPools applies the pools of a new edge file if the old and the new edge file both have pools and no document of the group
// sets them. If the new pools are invalid, it logs the error and keeps the old ones. The caller holds settingsMu.
func (s *Service) reloadPools(edge settings.Edge) {
	old := s.cfg.Edge
	if !edge.HasPools() || !old.HasPools() || edge.ConfigWatch.Watches(configstore.DocPools) || reflect.DeepEqual(edge.Pools, old.Pools) {
		return
	}
	if err := s.core.ReloadPools(edge.Pools); err != nil {
		events.Log(s.log, "reload.pools_bad", err)
		return
	}
	events.Log(s.log, "reload.pools")
	s.cfg.Edge.Pools = edge.Pools
}

// describeClasses lists the names of the classes in cfg, for the log.
func describeClasses(cfg silverpath.Settings) string {
	var names []string
	for _, class := range cfg.Classes {
		names = append(names, class.Name)
	}
	return "classes " + strings.Join(names, ", ")
}
