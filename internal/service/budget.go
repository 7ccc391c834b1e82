package service

import (
	"runtime/debug"

	"silverpath/internal/events"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// softMemoryRatio is the fraction of limits.memory_mb that the Go runtime gets as its soft memory limit. Above that limit the garbage
// collector works harder instead of letting the heap grow. The rest is for memory outside the Go runtime, such as the kernel's socket
// buffers.
const softMemoryRatio = 0.6

// bodyMemoryDivisor is the part of limits.memory_mb that request bodies may take. A running request holds its body up to four times, as it is
// encoded for the interpreter, so the part has to be small.
const bodyMemoryDivisor = 8

// bodyMemory returns the memory of a process for request bodies, in bytes.
func bodyMemory(cfg settings.Config) int { return int(cfg.MemoryMB * (1 << 20) / bodyMemoryDivisor) }

// scgiConfig returns the settings of the SCGI front, whose largest body is limited to what the process has memory for and, for a router,
// to what servers accept.
func scgiConfig(cfg settings.Config) settings.SCGI {
	front := cfg.SCGI
	front.MaxBody = min(front.MaxBody, bodyMemory(cfg))
	if cfg.Edge.Router != nil {
		front.MaxBody = min(front.MaxBody, msgpackrpc.MaxBodyBytes)
	}
	return front
}

// reservedDescriptors is the number of descriptors of limits.sockets that are reserved for logs, listening sockets, the links and
// the Go runtime.
const reservedDescriptors = 16

// softMemoryLimit returns the soft memory limit of the Go runtime in bytes.
func softMemoryLimit(cfg settings.Config) int64 {
	return int64(cfg.MemoryMB * softMemoryRatio * (1 << 20))
}

// DescriptorBudget holds the maximum number of connections of each component. It is 0 for a disabled component.
type DescriptorBudget struct {
	RPC      int // MessagePack-RPC front
	SCGI     int // SCGI front
	Vault    int // client of the vault
	Upstream int // client of the application server, or of the servers of a router
}

// descriptorBudget divides limits.sockets among the components. The reserved descriptors are excluded, so that clients can't use up
// those that the interpreter, the operators and the announce service need. Load balancers open up to half of the limit, so the
// MessagePack-RPC front gets 3/5 of the remaining descriptors, or 2/5 if there is also an SCGI front, which then gets 1/5. The
// other 2/5 are for outgoing connections.
func descriptorBudget(c settings.Config) DescriptorBudget {
	reserved := reservedDescriptors
	if c.Admin != "" {
		reserved += admin.ConnectionLimit(c.Descriptors) // clients must not block operators
	}
	if c.ListenFD > 0 {
		reserved *= 2 // during a hot restart the successor opens its own before this process gives any up
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
		b.Vault, b.Upstream = b.Vault/2, b.Upstream/2 // during a hot restart two processes run, and each may open this many connections
	}
	return b
}

// listenerBudget holds the connection limit of a listener while no other process shares the limits.
type listenerBudget struct {
	ln       *listener.Listener
	maxConns int
}

// splitLimits halves the memory and connection limits of this process while two processes of the service run, and restores them
// when only one runs. The restart link calls it at each change, with the core's lock held. The limits of the listeners change in
// goroutines of their own, because evicting connections takes longer than that lock may be held.
func (s *Service) splitLimits(withPeer bool) {
	processes := 1
	if withPeer {
		processes = 2
	}
	debug.SetMemoryLimit(softMemoryLimit(s.cfg) / int64(processes))
	s.bodies.SetLimit(bodyMemory(s.cfg) / processes)
	events.Log(s.log, "hotrestart.limits_shared", processes)
	for _, budget := range s.listenerBudgets {
		go budget.ln.SetMaxConnections(budget.maxConns / processes)
	}
}
