package service

import (
	"fmt"
	"time"

	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/scgi"
)

// roleConfig is what a role does with a group's documents, beside the classes, which every role applies.
type roleConfig struct {
	documents map[string]configwatch.Document // by name: what the role applies
	goodput   func() configstore.Goodput      // since the start, for the group's view of a rollout
	confirmed func(requestedAt time.Time)     // nil, or called when the group has confirmed what was current at that time
	clockSkew func() time.Duration            // nil, or the most by which the fleet's clocks differ
	quota     configwatch.QuotaClient         // nil, or asks the group for a quota of the cells
}

// watchConfig has the process act on documents of a group, where the edge file sets that up (rules). A document that neither the
// role nor every process has a use for is an error.
func (s *Service) watchConfig(role roleConfig) error {
	set := s.cfg.Edge.ConfigWatch
	if set == nil {
		return nil
	}
	watched := map[string]configwatch.Document{}
	for i, name := range set.Documents {
		d, ok := role.documents[name]
		if name == configstore.DocClasses {
			d, ok = configwatch.Document{Format: 1, Check: s.checkClasses, Apply: s.applyClasses}, true
		}
		if !ok {
			return fmt.Errorf("rules.documents[%d]: this process has no use for %q", i, name)
		}
		watched[name] = d
	}
	s.configWatch = configwatch.New(configwatch.Config{
		Name: s.cfg.Name, Group: &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}, Documents: watched,
		Goodput: role.goodput, OnConfirmed: role.confirmed, MaxClockSkew: role.clockSkew, Quota: role.quota,
		Log: s.log, Stats: s.stats,
	})
	s.core.SetBlockRule(s.configWatch.StopReasonFor)
	s.core.AddStatus("follows", s.configWatch.Status)
	s.tasks = append(s.tasks, s.configWatch.Run)
	return nil
}

// goodput is the weight of all requests that this server was offered and that it served since its start, by the counters of its
// fronts.
func (s *Service) goodput() (w configstore.Goodput) {
	for _, k := range s.core.Classes() {
		for _, front := range []string{msgpackrpc.Name, scgi.Name} {
			w.Offered += k.Weight * float64(s.stats.Get("read", front, k.Name))
			w.Served += k.Weight * float64(s.stats.Get("answered", front, k.Name, core.Served.String()))
		}
	}
	return w
}
