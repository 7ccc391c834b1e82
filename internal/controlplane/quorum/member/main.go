package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/controlplane/runner"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lifecycle"
	"silverpath/internal/settings"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/snmp"
)

const (
	// maxConnections bounds the connections that a member accepts from other members and from clients. Each registered process has one
	// connection to the leader, and for a while a second one after it restarts.
	maxConnections = configstore.MaxProcesses + 512
	memoryLimit    = 192 << 20 // bytes, the soft limit of the Go runtime: several times the largest snapshot
)

// ClockRate scales the clock that this process uses for leases. Only test programs set it. 0 means 1, the unscaled clock.
var ClockRate float64

// Logger returns the logger of a member or runner process. It writes JSON, or plain text for people.
func Logger(out io.Writer, asJSON bool) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if !asJSON {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: "15:04:05.000000", TimeLocation: time.UTC}
	}
	return zerolog.New(out).With().Timestamp().Logger()
}

// Run runs a member of the group, a runner of duties, or both in one process, until a terminating signal arrives. It returns an error if
// the settings cannot be used, or if the member stops because its disk is no longer reliable.
func Run(cfg settings.Quorum, signals <-chan os.Signal, out io.Writer) error {
	debug.SetMemoryLimit(memoryLimit)
	logger := Logger(out, cfg.JSONLog)
	counters := &metrics.Counters{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	failed := make(chan error, 1)
	stopMember := func() {}
	if cfg.Member != nil {
		m, ln, err := openMember(cfg, logger, counters)
		if err != nil {
			return err
		}
		defer ln.Close()
		logger.Info().Str("event", "group.listening").Str("process", cfg.Name).Stringer("addr", ln.Addr()).Send()
		go ln.Serve()
		stopAgent, err := serveSNMP(cfg, m, logger, counters)
		if err != nil {
			return errors.Join(err, m.Close())
		}
		defer stopAgent()
		memberCtx, stop := context.WithCancel(context.Background())
		defer stop()
		stopMember = stop
		tasks.Go(func() { failed <- m.Run(memberCtx) })
	}
	runnerDone := make(chan struct{})
	if cfg.Runner != nil {
		group := &quorum.Client{Group: cfg.Group.Name, Addrs: cfg.Group.Members}
		defer group.Close()
		r := runner.New(runner.Config{Name: cfg.Name, Set: *cfg.Runner, Group: group, Log: logger, Stats: counters, Rate: ClockRate})
		go func() {
			defer close(runnerDone)
			r.Run(ctx)
		}()
	} else {
		close(runnerDone)
	}
	for {
		select {
		case err := <-failed:
			counters.Print(out)
			return err
		case sig := <-signals:
			if sig == syscall.SIGUSR1 {
				counters.Print(out)
				continue
			}
			if sig == syscall.SIGHUP {
				logger.Info().Str("event", "group.reload").Str("why", "settings are read at the start only: restart the process to apply changes").Send()
				continue
			}
			logger.Info().Str("event", "group.leaving").Str("process", cfg.Name).Stringer("signal", sig).Send()
			cancel()
			<-runnerDone // the runner releases its duties before the member stops, so that another process takes them over at once
			stopMember()
			counters.Print(out)
			return nil
		}
	}
}

// serveSNMP starts the member's SNMP agent if the settings configure one. The returned function stops the agent.
func serveSNMP(cfg settings.Quorum, m *Member, logger zerolog.Logger, counters *metrics.Counters) (stop func(), err error) {
	agentConfig := cfg.Member.SNMP
	if agentConfig.Listen == "" {
		return func() {}, nil
	}
	agent, err := snmp.Listen(agentConfig.Listen, agentConfig.Community, cfg.Name, snmpView{m}, log.New(logger, "", 0), counters, nil)
	if err != nil {
		return nil, fmt.Errorf("member.snmp.listen: %w", err)
	}
	logger.Info().Str("event", "group.snmp").Str("process", cfg.Name).Stringer("addr", agent.Addr()).Send()
	go agent.Serve()
	return func() { agent.Close() }, nil
}

// snmpView is the state of a member that its SNMP agent reports.
type snmpView struct{ m *Member }

// Health reports whether the member is confirmed and knows a leader.
func (s snmpView) Health() bool { st := s.m.Status(); return st.Confirmed && st.Leader != "" }

// Phase returns Starting until the member is confirmed, and Serving after that.
func (s snmpView) Phase() lifecycle.State {
	if s.m.Status().Confirmed {
		return lifecycle.Serving
	}
	return lifecycle.Starting
}

// PendingAnswers returns 0: a member handles no requests of the fleet's clients.
func (s snmpView) PendingAnswers() int { return 0 }

// View returns an empty view: a member has no module.
func (s snmpView) View() core.View { return core.View{} }

// openMember opens the database of a member and its listener. Errors name the setting that is at fault.
func openMember(cfg settings.Quorum, logger zerolog.Logger, counters *metrics.Counters) (*Member, *listener.Listener, error) {
	if err := os.MkdirAll(cfg.Member.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("member.dir: %w", err)
	}
	m, err := Open(Config{Name: cfg.Name, Group: cfg.Group.Name, Addr: cfg.Member.Addr, Dir: cfg.Member.Dir,
		Tick: cfg.Member.Tick, Log: logger, Stats: counters, Rate: ClockRate})
	if err != nil {
		return nil, nil, fmt.Errorf("member.dir: %w", err)
	}
	server := msgpackrpc.NewCallServer(ListenerName, counters, m.HandleCall)
	ln, err := listener.Listen(ListenerName, cfg.Member.Listen, maxConnections, func() time.Duration { return time.Minute }, server.Serve,
		log.New(logger, "", 0), counters)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("member.listen: %w", err), m.Close())
	}
	return m, ln, nil
}
