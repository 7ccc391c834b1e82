package service

import (
	"runtime/debug"

	"silverpath/internal/events"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/listener"
)

// softMemoryRatio is the part of limits.memory_mb that the Go runtime has as its soft limit: above it the collector works harder
// rather than let the heap grow. The rest is for what the limit does not count, as the kernel's socket buffers.
const softMemoryRatio = 0.6

// reservedDescriptors are set aside of limits.sockets for logs, listening sockets, the links and the Go runtime.
const reservedDescriptors = 16

// softMemoryLimit is the Go runtime's soft memory limit, in bytes.
func softMemoryLimit(cfg settings.Config) int64 {
	return int64(cfg.MemoryMB * softMemoryRatio * (1 << 20))
}

// DescriptorBudget is the number of connections that each user of descriptors may have open; 0 where it is off.
type DescriptorBudget struct {
	RPC      int // MessagePack-RPC front
	SCGI     int // SCGI front
	Vault    int // client of the vault
	Upstream int // client of the application server, or of a router's servers
}

// descriptorBudget shares limits.sockets out, less what is reserved, so that clients can take no descriptor that the interpreter,
// the operators or the announce service need. Balancers open up to half of the limit, so that their front has 3/5 of what is
// left, or 2/5 beside web fronts, which have 1/5; 2/5 are for calls that the process makes itself.
func descriptorBudget(c settings.Config) DescriptorBudget {
	reserved := reservedDescriptors
	if c.Admin != "" {
		reserved += admin.ConnectionLimit(c.Descriptors) // whatever clients do
	}
	if c.ListenFD > 0 {
		reserved *= 2 // another process starts beside this one, before any share is given up
	}
	n := max(8, c.Descriptors-reserved)
	b := DescriptorBudget{RPC: n * 3 / 5}
	if c.SCGI.Listen != "" {
		b.RPC, b.SCGI = n*2/5, n/5
	}
	if c.Listen == "" {
		b.RPC, b.SCGI = 0, n*3/5
	}
	if c.SCGI.Upstream != "" || c.Edge.Router != nil {
		b.Upstream = n * 2 / 5
	} else if c.Vault != "" {
		b.Vault = n * 2 / 5
	}
	if c.ListenFD > 0 {
		b.Vault, b.Upstream = b.Vault/2, b.Upstream/2 // each of two processes has as many
	}
	return b
}

// listenerBudget is the number of connections of a listener while no other process shares the limits.
type listenerBudget struct {
	ln       *listener.Listener
	maxConns int
}

// splitLimits gives this process half of memory and connections while two processes of the service run, and all of them
// otherwise. The restart link calls it under the core's lock at each change; a listener that has to evict connections takes
// longer than that lock may be held, so that each goes on by itself.
func (s *Service) splitLimits(withPeer bool) {
	processes := 1
	if withPeer {
		processes = 2
	}
	debug.SetMemoryLimit(softMemoryLimit(s.cfg) / int64(processes))
	events.Log(s.log, "hotrestart.limits_shared", processes)
	for _, budget := range s.listenerBudgets {
		go budget.ln.SetMaxConnections(budget.maxConns / processes)
	}
}
