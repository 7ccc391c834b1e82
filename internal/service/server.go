package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/controlplane/command"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
	"silverpath/internal/transport/interpreter"
	"silverpath/internal/transport/scgi"
	"silverpath/internal/transport/vault"
)

// buildServer opens the components of a server. Requests run on the interpreter, with the vault as its back end if one is
// configured, or on an SCGI application server. The store and the heartbeat open before the back end, because they decide which
// requests the core may run.
func (s *Service) buildServer(b DescriptorBudget) error {
	if s.cfg.BuiltinWorker {
		var err error
		if s.builtinWorker, err = startBuiltinWorker(s.cfg); err != nil {
			return err
		}
		s.cfg.Interpreter = s.builtinWorker.Addr()
		events.Log(s.log, "worker", s.cfg.Interpreter)
	}
	if err := s.openCommands(); err != nil {
		return err
	}
	if err := s.openStore(); err != nil {
		return err
	}
	if err := s.openHeartbeat(); err != nil {
		return err
	}
	if err := s.watchConfig(roleConfig{documents: map[string]configwatch.Document{configstore.DocPools: s.poolsDocument()}, goodput: s.goodput}); err != nil {
		return err
	}
	s.trackServerRecovery()
	cfg := s.cfg
	if cfg.SCGI.Upstream != "" {
		upstream := scgi.NewUpstream(cfg.SCGI.Upstream, cfg.Server.Cores, b.Upstream, cfg.SCGI.Timeout, s.core, s.log, s.stats)
		s.tasks = append(s.tasks, upstream.ReportUp)
		return s.core.Attach(upstream, nil)
	}
	s.interpreter = interpreter.New(cfg.Interpreter, cfg.Gauges, s.core, s.log, s.stats)
	s.tasks = append(s.tasks, s.interpreter.Maintain)
	var vaultCaller core.Caller
	if cfg.Vault != "" {
		s.vault = vault.New(cfg.Vault, b.Vault)
		vaultCaller = s.vault
	}
	return s.core.Attach(s.interpreter, vaultCaller)
}

// openCommands opens the executor of fenced commands, which arrive over the admin API, if the edge file configures it (orders).
func (s *Service) openCommands() (err error) {
	config := s.cfg.Edge.Commands
	if config == nil {
		return nil
	}
	if s.cfg.Admin == "" {
		return errors.New("orders: commands arrive over the admin API, but mgmt is not set")
	}
	group := &quorum.Client{Group: config.Group.Name, Addrs: config.Group.Members}
	if s.commands, err = command.Open(config.State, s.cfg.Name, group, s.log); err != nil {
		return fmt.Errorf("orders.state: %w", err)
	}
	return nil
}

// startBuiltinWorker starts the built-in worker, which is used if the process is started without a configuration. It is an
// interpreter that echoes each request body, after as long as the operators' own requests typically take.
func startBuiltinWorker(cfg settings.Config) (*builtinworker.Interpreter, error) {
	cores := cfg.Server.Cores
	return builtinworker.Listen(builtinworker.Config{
		Listen: "127.0.0.1:0", Cores: cores, Shape: builtinworker.Shape{Knee: float64(cores), Thrash: 1, Speed: 1},
		DefaultClass: builtinworker.Class{MinWork: 60 * time.Millisecond, MaxWork: 100 * time.Millisecond},
		MemoryKB:     cfg.Server.MemoryKB, RunFactor: cfg.Server.RunFactor, Seed: uint64(cfg.Seed),
	})
}
