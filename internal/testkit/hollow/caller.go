package hollow

import (
	"context"
	"strconv"
	"time"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/msgpackrpc"
)

// CallerConfig sets up a Caller.
type CallerConfig struct {
	Name         string
	IP           string        // loopback address that it connects from
	ServerAddr   string        // address of the server that it health-checks
	Interval     time.Duration // interval of the health checks
	InitialDelay time.Duration // delay of the first health check, which spreads the checks of many callers
	ConfigID     string        // ID of the document that it reports to act on; empty: it is a balancer, which reports nothing
	Terms        configstore.Terms
}

// Caller stands in for a router or a platform's balancer that sends to a server. It only sends health checks, each on a new connection. As a
// router it adds the fields that a router reports about itself.
type Caller struct {
	Traffic
	tasks *taskGroup
}

const probeTimeout = time.Second // the same as a router's

// NewCaller starts a caller.
func NewCaller(cfg CallerConfig) *Caller {
	c := &Caller{tasks: newTaskGroup()}
	var fields []string
	if cfg.ConfigID != "" {
		ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
		t := cfg.Terms
		fields = []string{"g", cfg.ConfigID, "gn", cfg.Name, "gl", ms(t.Lease), "gs", ms(t.ClockSkew), "gp", ms(cfg.Interval), "gw", ms(probeTimeout), "gd", ms(t.OverlapWindow), "fl", "0"}
	}
	c.tasks.start(func(ctx context.Context) {
		for wait := cfg.InitialDelay; ; wait = cfg.Interval {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			c.probe(ctx, cfg, fields)
		}
	})
	return c
}

func (c *Caller) probe(ctx context.Context, cfg CallerConfig, fields []string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.dial(ctx, cfg.IP, cfg.ServerAddr)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, reply, err := conn.Send(func(id uint64) []byte { return msgpackrpc.AppendProbe(nil, id, fields...) }); err == nil {
		select {
		case <-reply:
		case <-ctx.Done():
		}
	}
}

// Close stops the caller and waits until its goroutine has ended.
func (c *Caller) Close() { c.tasks.stop() }
