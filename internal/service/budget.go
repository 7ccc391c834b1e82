package service

import (
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
)

// DescriptorBudget is how the descriptors are shared out.
type DescriptorBudget struct{ RPC, SCGI, Vault, Upstream int }

// descriptorBudget shares out the descriptors, those that the configuration needs.
func descriptorBudget(c settings.Config) DescriptorBudget {
	own := reservedDescriptors
	if c.Admin != "" {
		own += admin.ConnectionLimit(c.Descriptors) // its own, whatever clients do
	}
	if c.ListenFD > 0 {
		own *= 2 // another process starts beside this one, before any share is given up
	}
	n := max(8, c.Descriptors-own)
	b := DescriptorBudget{RPC: n * 3 / 5} // balancers open up to half of the limit
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
