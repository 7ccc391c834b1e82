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

// Reload takes up a new configuration while the service runs, whole or not at all: the settings, and the addresses of
// the interpreter, the vault and the announce service. What is under way goes on as it began. The rest of a
// configuration holds from a start to the end of the process; where it differs, the log says so and the old one holds.
func (s *Service) Reload(cfg settings.Config) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	old := s.cfg
	if err := old.Replaces(cfg); err != nil {
		return err
	}
	if s.classesFromGroup {
		cfg.Server.Classes = old.Server.Classes
	}
	if s.cfg.Retuned(cfg) {
		if err := s.core.Reconfigure(cfg.Server); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		s.cfg.Server = cfg.Server
		events.Log(s.log, "reload.settings", classes(cfg.Server))
	}
	if s.builtinWorker != nil {
		cfg.Interpreter = old.Interpreter
	}
	if s.interpreter != nil && cfg.Interpreter != "" && cfg.Interpreter != old.Interpreter {
		events.Log(s.log, "reload.moved", "vm", old.Interpreter, cfg.Interpreter)
		s.cfg.Interpreter = cfg.Interpreter
		s.interpreter.Redirect(cfg.Interpreter)
	}
	if s.vault != nil && cfg.Vault != "" && cfg.Vault != old.Vault {
		events.Log(s.log, "reload.moved", "vault", old.Vault, cfg.Vault)
		s.cfg.Vault = cfg.Vault
		s.vault.Redirect(cfg.Vault)
	}
	if cfg.Announce != old.Announce {
		events.Log(s.log, "reload.moved", "announce", strconv.Quote(old.Announce), strconv.Quote(cfg.Announce))
		s.cfg.Announce = cfg.Announce
		s.loadReporter.Redirect(cfg.Announce)
	}
	for _, field := range s.cfg.Differs(cfg) {
		events.Log(s.log, "reload.differs", field)
	}
	if cfg.Edge.PoolsOn() && old.Edge.PoolsOn() && !cfg.Edge.ConfigWatch.Uses(configstore.DocPools) && !reflect.DeepEqual(cfg.Edge.Pools, old.Edge.Pools) {
		if err := s.core.ReloadPools(cfg.Edge.Pools); err != nil {
			events.Log(s.log, "reload.pools_bad", err)
		} else {
			events.Log(s.log, "reload.pools")
			s.cfg.Edge.Pools = cfg.Edge.Pools
		}
	}
	if s.router != nil {
		s.router.Reload()
	}
	s.stats.Inc("reloads", "done")
	events.Log(s.log, "reload.done")
	return nil
}

// classes names the classes of settings.
func classes(set silverpath.Settings) string {
	var names []string
	for _, k := range set.Classes {
		names = append(names, k.Name)
	}
	return "classes " + strings.Join(names, ", ")
}
