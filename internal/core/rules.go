package core

import (
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// Unfenced leaves the fence of the rules out, in test programs only, which show the harm that it keeps away.
var Unfenced = false

// ObserveRules takes what a router says of its rules in a health check of this server: which document it goes by, from which
// source, and the terms that it names.
func (c *Core) ObserveRules(id, source string, terms configstore.Terms) {
	of, ok := configstore.ParseID(id)
	if !ok || !c.cell || Unfenced {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observedRules.ExtendTerms(terms)
	c.observeRules(of, source)
	c.stats.Set(uint64(c.observedRules.Terms().ConflictBound().Milliseconds()), "rules", "bound_ms")
	c.stats.Set(uint64(c.observedRules.LongestOutdated().Milliseconds()), "rules", "longest_ms")
}

// observeRules notes a document that a router names, and logs a newer one or a contradiction. It is called under the lock.
func (c *Core) observeRules(of configstore.ID, source string) {
	previous, _ := c.observedRules.Newest()
	switch c.observedRules.Observe(c.clock(), of, source) {
	case configstore.NewerVersion:
		events.Log(c.log, "config.newer_seen", of, previous.ID, source)
	case configstore.ConflictFound:
		c.stats.Inc("rules", "contradictions")
		n, text := c.observedRules.Conflict()
		events.Log(c.log, "config.contradiction", n, text)
	}
}

// blockReason is why nothing new may begin by the rules that an idempotent request was sent by, empty for nothing. It is called
// under the lock.
//
// It guards against a router that goes by older rules than others: it would send a request to a server that no longer owns the
// key, and the request would run twice. The guard holds as each server knows the newest document that any router has named to
// it, and rejects what an older one sent; and where nothing has been heard of the rules for long, nothing new begins at all.
func (c *Core) blockReason(r *Request) string {
	if bar := c.blockRule.Load(); bar != nil && !Unfenced {
		if why := (*bar)(r.Class, r.Tenant); why != "" {
			return why
		}
	}
	if r.RulesID == "" || !c.cell || Unfenced {
		return ""
	}
	of, ok := configstore.ParseID(r.RulesID)
	if !ok {
		return ""
	}
	c.observeRules(of, r.RulesSource)
	v := c.observedRules.Check(c.clock(), of)
	if v == configstore.VerdictValid {
		return ""
	}
	return v.String()
}

// SetBlockRule sets who is asked why no idempotent request of a class and a tenant begins; empty where one may. It is called before
// the first request.
func (c *Core) SetBlockRule(why func(class, tenant string) string) { c.blockRule.Store(&why) }

// RulesNotice is what this server has observed of the rules, for a router that probes it. The zero value is nothing.
type RulesNotice struct {
	Newest          string        // id of the newest document that was heard of; empty: of none
	Source          string        // who told of it
	ConflictVersion int           // of which two documents differ
	Conflict        string        // what differs; empty: nothing does
	SuspendedFor    time.Duration // for which nothing exclusive begins; 0: it may
}

// RulesNotice returns what this server has observed of the rules. A front calls it for each probe of a router.
func (c *Core) RulesNotice() (notice RulesNotice) {
	if !c.cell || Unfenced {
		return notice
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if top, ok := c.observedRules.Newest(); ok {
		notice.Newest, notice.Source = top.ID.String(), top.Source
	}
	notice.ConflictVersion, notice.Conflict = c.observedRules.Conflict()
	notice.SuspendedFor = max(0, c.observedRules.SuspendedFor(c.clock()))
	return notice
}

// rulesStatus is what this server has observed of the rules, for operators.
func (c *Core) rulesStatus(a *fastjson.Arena) *fastjson.Value {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RulesStatus(a, &c.observedRules, c.clock())
}

// RulesStatus is what a process has observed of the rules, for operators.
func RulesStatus(a *fastjson.Arena, s *configstore.VersionTracker, now time.Duration) *fastjson.Value {
	o := a.NewObject()
	if top, ok := s.Newest(); ok {
		o.Set("newest", a.NewString(top.ID.String()))
	}
	if _, text := s.Conflict(); text != "" {
		o.Set("contradiction", a.NewString(text))
	}
	o.Set("quiet_ms", a.NewNumberInt(int(s.SuspendedFor(now).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(s.Terms().ConflictBound().Milliseconds())))
	o.Set("longest_ms", a.NewNumberInt(int(s.LongestOutdated().Milliseconds())))
	return o
}
