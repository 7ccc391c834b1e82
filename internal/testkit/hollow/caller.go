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
	Name  string
	IP    string // of the loopback range
	To    string // the server that it looks after
	Every time.Duration
	First time.Duration // it waits so long, that many do not speak at once
	Rules string        // the document that it says it goes by; empty: it is a balancer that says nothing of itself
	Terms configstore.Terms
}

// Caller is what sends to a server, a router or a platform's balancer, of which only the health checks are there: each on a connection of
// its own, with what a router says of itself.
type Caller struct {
	Traffic
	run *running
}

const probeWithin = time.Second // as a router waits

// NewCaller starts one.
func NewCaller(cfg CallerConfig) *Caller {
	c := &Caller{run: run()}
	var fields []string
	if cfg.Rules != "" {
		ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
		t := cfg.Terms
		fields = []string{"g", cfg.Rules, "gn", cfg.Name, "gl", ms(t.Lease), "gs", ms(t.ClockSkew), "gp", ms(cfg.Every), "gw", ms(probeWithin), "gd", ms(t.OverlapWindow), "fl", "0"}
	}
	c.run.keep(func(ctx context.Context) {
		for wait := cfg.First; ; wait = cfg.Every {
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
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	to, err := c.dial(ctx, cfg.IP, cfg.To)
	if err != nil {
		return
	}
	defer to.Close()
	if _, reply, err := to.Send(func(id uint64) []byte { return msgpackrpc.AppendProbe(nil, id, fields...) }); err == nil {
		select {
		case <-reply:
		case <-ctx.Done():
		}
	}
}

// Close ends it and waits until nothing of it runs.
func (c *Caller) Close() { c.run.end() }
