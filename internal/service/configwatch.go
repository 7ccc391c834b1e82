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

// roleConfig sets up the config watcher for a role. Every role applies the classes document in addition to the documents here.
type roleConfig struct {
	documents    map[string]configwatch.Document // documents that the role applies, by name
	goodput      func() configstore.Goodput      // goodput since the start, which the group uses to judge a rollout
	onConfirmed  func(requestedAt time.Time)     // called when the group confirms the documents as of that time; may be nil
	maxClockSkew func() time.Duration            // maximum clock skew in the fleet; may be nil
	quota        configwatch.QuotaClient         // requests a quota of the cells; may be nil
}

// watchConfig creates the watcher that applies the documents of a group, if the edge file configures it (rules). It returns an error
// if a configured document is neither the classes document nor one that the role applies.
func (s *Service) watchConfig(role roleConfig) error {
	config := s.cfg.Edge.ConfigWatch
	if config == nil {
		return nil
	}
	watched := map[string]configwatch.Document{}
	for i, name := range config.Documents {
		document, ok := role.documents[name]
		if name == configstore.DocClasses {
			document, ok = configwatch.Document{Format: 1, Check: s.checkClasses, Apply: s.applyClasses}, true
		}
		if !ok {
			return fmt.Errorf("rules.documents[%d]: document %q does not apply to this role", i, name)
		}
		watched[name] = document
	}
	s.configWatch = configwatch.New(configwatch.Config{
		Name: s.cfg.Name, Group: &quorum.Client{Group: config.Group.Name, Addrs: config.Group.Members}, Documents: watched,
		Goodput: role.goodput, OnConfirmed: role.onConfirmed, MaxClockSkew: role.maxClockSkew, Quota: role.quota,
		Log: s.log, Stats: s.stats,
	})
	s.core.SetBlockRule(s.configWatch.StopReasonFor)
	s.core.AddStatus("follows", s.configWatch.Status)
	s.tasks = append(s.tasks, s.configWatch.Run)
	return nil
}

// goodput returns the total weight of the requests that this server received and of those that it served since its start, from the
// counters of its fronts.
func (s *Service) goodput() (w configstore.Goodput) {
	for _, class := range s.core.Classes() {
		for _, front := range []string{msgpackrpc.Name, scgi.Name} {
			w.Offered += class.Weight * float64(s.stats.Get("read", front, class.Name))
			w.Served += class.Weight * float64(s.stats.Get("answered", front, class.Name, core.Served.String()))
		}
	}
	return w
}
