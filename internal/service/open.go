package service

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/admission"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/loadreport"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/restartlink"
	"silverpath/internal/transport/scgi"
	"silverpath/internal/transport/snmp"
)

// If an address is in use when the service starts, listening is retried: the previous process may still hold it while it drains. The retries are limited
// because a start must be ready within 10 s or report why it is not.
const (
	addressRetryFor      = 8 * time.Second
	addressRetryInterval = 20 * time.Millisecond // well below the connect timeout of clients
)

// openCore creates the core. If the process inherits its socket, openCore opens the link to the other process of a hot restart
// first, because the core shares its idempotency keys over that link.
func (s *Service) openCore() (err error) {
	cfg := s.cfg
	var pair *core.PairConfig
	if cfg.ListenFD > 0 {
		if s.restartLink, err = restartlink.Open(os.TempDir(), cfg.Name, s.log, s.stats); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: failed to open the hot restart link: %w", err)
		}
		pair = s.restartLink.CoreConfig(s.splitLimits)
	}
	s.core, err = core.New(core.Config{
		Pair: pair,
		Name: cfg.Name, Settings: cfg.Server, MemoryMB: cfg.MemoryMB, Status: cfg.Edge.Status, Log: s.log, Stats: s.stats,
		Pools: poolsConfig(cfg), Cell: cfg.Edge.Cell,
	})
	return err
}

// openFronts opens the client fronts: MessagePack-RPC, on the inherited socket if there is one, and SCGI.
func (s *Service) openFronts(b DescriptorBudget) error {
	cfg := s.cfg
	if cfg.Listen != "" {
		front := msgpackrpc.New(s.core, s.log, s.stats)
		if cfg.ListenFD > 0 {
			ln, err := listener.ListenInherited(cfg.ListenFD)
			if err != nil {
				return fmt.Errorf("LB_SOCKET_FD: %w", err)
			}
			inherited := listener.New(msgpackrpc.Name, ln, b.RPC, s.core.IdleAfter, front.Serve, s.log, s.stats)
			inherited.ShareSocket()
			s.addListener(inherited, b.RPC)
		} else if err := s.listen("listen", msgpackrpc.Name, cfg.Listen, b.RPC, front.Serve); err != nil {
			return err
		}
	}
	if cfg.SCGI.Listen == "" {
		return nil
	}
	front := scgi.New(s.core, scgiConfig(cfg), s.bodies, cfg.Seed, s.log, s.stats)
	return s.listen("scgi.listen", scgi.Name, cfg.SCGI.Listen, b.SCGI, front.Serve)
}

// openSNMP opens the SNMP agent if an address is configured for it.
func (s *Service) openSNMP() (err error) {
	if s.cfg.SNMP.Listen == "" {
		return nil
	}
	var control func(network, addr string, raw syscall.RawConn) error
	if s.restartLink != nil {
		control = listener.ReusePort
	}
	err = s.retryAddressInUse(func() (err error) {
		s.snmpAgent, err = snmp.Listen(s.cfg.SNMP.Listen, s.cfg.SNMP.Community, s.cfg.Name, s.core, s.log, s.stats, control)
		return err
	})
	if err != nil {
		return fmt.Errorf("snmp.listen: %w", err)
	}
	return nil
}

// openAdmin opens the admin API if an address is configured for it.
func (s *Service) openAdmin() (err error) {
	if s.cfg.Admin == "" {
		return nil
	}
	err = s.retryAddressInUse(func() (err error) {
		s.admin, err = admin.Listen(s.cfg.Admin, admin.ConnectionLimit(s.cfg.Descriptors), s.core, s.log, s.stats)
		return err
	})
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	if s.commands != nil {
		s.admin.SetCommands(s.commands)
	}
	if s.store != nil {
		s.admin.SetSnapshots(s.store.Snapshot)
	}
	return nil
}

// startReporting adds the task that sends load reports to the announce service and, if the process inherits its socket, starts the
// link to the other process of a hot restart.
func (s *Service) startReporting() error {
	s.loadReporter = loadreport.New(s.cfg.Announce, s.cfg.Name, s.core.Health, s.log)
	s.tasks = append(s.tasks, s.loadReporter.Run)
	if s.restartLink != nil {
		if err := s.restartLink.Start(s.core); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: failed to start the hot restart link: %w", err)
		}
		s.tasks = append(s.tasks, s.restartLink.Run)
	}
	return nil
}

// listen opens a front at addr and adds its listener. Errors start with field, the configuration field that addr comes from.
func (s *Service) listen(field, name, addr string, maxConns int, handle listener.Handler) error {
	var ln *listener.Listener
	err := s.retryAddressInUse(func() (err error) {
		if s.restartLink == nil {
			ln, err = listener.Listen(name, addr, maxConns, s.core.IdleAfter, handle, s.log, s.stats)
			return err
		}
		var socket net.Listener
		if socket, err = listener.ListenShared(addr); err == nil {
			ln = listener.New(name, socket, maxConns, s.core.IdleAfter, handle, s.log, s.stats)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	s.addListener(ln, maxConns)
	return nil
}

// errShutdownBeforeOpen is returned when the shutdown signal interrupts a start. Main treats it as a successful exit.
var errShutdownBeforeOpen = errors.New("shutdown signal received before the service was open")

// retryAddressInUse calls open, and calls it again while it fails with EADDRINUSE and addressRetryUntil has not passed. It returns
// the result of the last call, or errShutdownBeforeOpen if the shutdown signal arrives between two calls. Without the retries a
// start would fail while the previous process still drains.
func (s *Service) retryAddressInUse(open func() error) error {
	for logged := false; ; logged = true {
		err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(s.addressRetryUntil) {
			return err
		}
		if !logged {
			events.Log(s.log, "listener.address_in_use", time.Until(s.addressRetryUntil).Round(time.Second), err)
		}
		select {
		case <-s.shutdown:
			return errShutdownBeforeOpen
		case <-time.After(addressRetryInterval):
		}
	}
}

// addListener adds the listener of a front, limited to maxConns connections. If the edge file configures a reserve, part of these
// connections is reserved for cheap calls.
func (s *Service) addListener(ln *listener.Listener, maxConns int) {
	if reserve := s.cfg.Edge.Reserve; reserve != nil {
		ln.Reserve(*reserve)
	}
	s.listeners = append(s.listeners, ln)
	s.listenerBudgets = append(s.listenerBudgets, listenerBudget{ln, maxConns})
}

// poolsConfig returns the admission pools of cfg, or nil if cfg has none.
func poolsConfig(cfg settings.Config) *admission.Config {
	if !cfg.Edge.HasPools() {
		return nil
	}
	return &cfg.Edge.Pools
}
