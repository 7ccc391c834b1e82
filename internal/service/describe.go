package service

import (
	"fmt"
	"strings"

	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
)

// Describe returns a human-readable summary of a configuration.
func Describe(c settings.Config) string {
	b := descriptorBudget(c)
	s := fmt.Sprintf("%s: ok, %d classes, %d cores, %.0f MB, %d descriptors, stops within %v\n",
		c.Name, len(c.Server.Classes), c.Server.Cores, c.MemoryMB, c.Descriptors, c.StopTimeout)
	for _, component := range []struct {
		name, addr string
		maxConns   int
	}{
		{"MessagePack-RPC front", c.Listen, b.RPC}, {"SCGI front", c.SCGI.Listen, b.SCGI},
		{"interpreter", c.Interpreter, 1}, {"fleet", mapFile(c), b.Upstream}, {"SCGI application server", c.SCGI.Upstream, b.Upstream},
		{"vault", c.Vault, b.Vault}, {"announce service", c.Announce, 1}, {"SNMP agent", c.SNMP.Listen, 1},
		{"management front", c.Admin, admin.ConnectionLimit(c.Descriptors)},
	} {
		if component.addr == "" {
			s += fmt.Sprintf("  %s: off\n", component.name)
		} else {
			s += fmt.Sprintf("  %s: %s, at most %d connections\n", component.name, component.addr, component.maxConns)
		}
	}
	return s + describeEdge(c.Edge)
}

// mapFile returns the path of a router's cell map file, or "" if c does not configure a router.
func mapFile(c settings.Config) string {
	if c.Edge.Router == nil {
		return ""
	}
	return c.Edge.Router.Map
}

// describeEdge returns the lines of Describe for an edge file.
func describeEdge(e settings.Edge) string {
	if !e.Enabled {
		return "  edge: off\n"
	}
	s := fmt.Sprintf("  edge: status requests %s\n", onOff(e.Status))
	for _, p := range e.Pools.Pools {
		classes := strings.Join(p.Classes, ", ")
		if classes == "" {
			classes = "all other classes"
		}
		s += fmt.Sprintf("  pool %s: %s, weight %g, floor %.0f%% of the runs\n", p.Name, classes, p.Weight, 100*p.Floor)
	}
	if !e.HasPools() {
		s += "  pools: off\n"
	}
	if store := e.Store; store != nil {
		s += fmt.Sprintf("  store: %s\n", store.Dir)
	}
	if reserve := e.Reserve; reserve != nil {
		s += fmt.Sprintf("  reserve: %s\n", reserve)
	} else {
		s += "  reserve: off\n"
	}
	return s
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
