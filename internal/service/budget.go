package service

import (
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
)

// Budget is how the descriptors are shared out.
type Budget struct{ Platform, SCGI, Vault, Upstream int }

// budget shares out the descriptors, those that the configuration needs.
func budget(c settings.Config) Budget {
	own := spareFDs
	if c.Mgmt != "" {
		own += admin.ConnectionLimit(c.Sockets) // its own, whatever clients do
	}
	if c.Socket > 0 {
		own *= 2 // another process starts beside this one, before any share is given up
	}
	n := max(8, c.Sockets-own)
	b := Budget{Platform: n * 3 / 5} // balancers open up to half of the limit
	if c.SCGI.Listen != "" {
		b.Platform, b.SCGI = n*2/5, n/5
	}
	if c.Listen == "" {
		b.Platform, b.SCGI = 0, n*3/5
	}
	if c.SCGI.Upstream != "" || c.Edge.Fleet != nil {
		b.Upstream = n * 2 / 5
	} else if c.Vault != "" {
		b.Vault = n * 2 / 5
	}
	if c.Socket > 0 {
		b.Vault, b.Upstream = b.Vault/2, b.Upstream/2 // each of two processes has as many
	}
	return b
}
