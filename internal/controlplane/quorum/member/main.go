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
	// maxConnections bounds the connections of a member, of others and of those who ask: each process that follows has one, to whoever
	// leads, and a restarted one a second for a while.
	maxConnections = configstore.MaxProcesses + 512
	memoryLimit    = 192 << 20 // bytes, at which the collector works harder
)

// ClockRate is the rate of this process's clock for leases, in test programs only; 0: 1.
var ClockRate float64

// Logger is the log of a process of the group: for people, or for machines.
func Logger(out io.Writer, asJSON bool) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	if !asJSON {
		out = zerolog.ConsoleWriter{Out: out, NoColor: true, TimeFormat: "15:04:05.000000", TimeLocation: time.UTC}
	}
	return zerolog.New(out).With().Timestamp().Logger()
}

// Run runs a member of the group, an owner of duties, or both in one process, until a signal to leave. A member whose
// disk can't be trusted ends with an error.
func Run(set settings.Quorum, signals <-chan os.Signal, out io.Writer) error {
	debug.SetMemoryLimit(memoryLimit)
	l := Logger(out, set.JSON)
	counters := &metrics.Counters{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	failed := make(chan error, 1)
	stopMember := func() {}
	if set.Member != nil {
		m, ln, err := openMember(set, l, counters)
		if err != nil {
			return err
		}
		defer ln.Close()
		l.Info().Str("event", "group.listening").Str("process", set.Name).Stringer("addr", ln.Addr()).Send()
		go ln.Serve()
		if a := set.Member.SNMP; a.Listen != "" {
			agent, err := snmp.Listen(a.Listen, a.Community, set.Name, snmpView{m}, log.New(l, "", 0), counters, nil)
			if err != nil {
				return errors.Join(fmt.Errorf("member.snmp.listen: %w", err), m.Close())
			}
			defer agent.Close()
			l.Info().Str("event", "group.snmp").Str("process", set.Name).Stringer("addr", agent.Addr()).Send()
			go agent.Serve()
		}
		member, stop := context.WithCancel(context.Background())
		defer stop()
		stopMember = stop
		all.Go(func() { failed <- m.Run(member) })
	}
	owning := make(chan struct{})
	if set.Runner != nil {
		group := &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}
		defer group.Close()
		o := runner.New(runner.Config{Name: set.Name, Set: *set.Runner, Group: group, Log: l, Stats: counters, Rate: ClockRate})
		go func() {
			defer close(owning)
			o.Run(ctx)
		}()
	} else {
		close(owning)
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
				l.Info().Str("event", "group.reload").Str("why", "its settings hold from a start to its end").Send()
				continue
			}
			l.Info().Str("event", "group.leaving").Str("process", set.Name).Stringer("signal", sig).Send()
			cancel()
			<-owning // its duties are handed on first
			stopMember()
			counters.Print(out)
			return nil
		}
	}
}

// snmpView is what the SNMP agent shows of a member: healthy while it has its vote and knows a leader.
type snmpView struct{ m *Member }

func (s snmpView) Health() bool { st := s.m.Status(); return st.Confirmed && st.Leader != "" }
func (s snmpView) Phase() lifecycle.State {
	if s.m.Status().Confirmed {
		return lifecycle.Serving
	}
	return lifecycle.Starting
}
func (s snmpView) PendingAnswers() int { return 0 }
func (s snmpView) View() core.View     { return core.View{} }

func openMember(set settings.Quorum, l zerolog.Logger, counters *metrics.Counters) (*Member, *listener.Listener, error) {
	if err := os.MkdirAll(set.Member.Dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("member.dir: %w", err)
	}
	m, err := Open(Config{Name: set.Name, Group: set.Group.Name, Addr: set.Member.Addr, Dir: set.Member.Dir,
		Tick: set.Member.Tick, Log: l, Stats: counters, Rate: ClockRate})
	if err != nil {
		return nil, nil, fmt.Errorf("member.dir: %w", err)
	}
	words := msgpackrpc.NewCallServer(Name, counters, m.Answer)
	ln, err := listener.Listen(Name, set.Member.Listen, maxConnections, func() time.Duration { return time.Minute }, words.Serve,
		log.New(l, "", 0), counters)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("member.listen: %w", err), m.Close())
	}
	return m, ln, nil
}
