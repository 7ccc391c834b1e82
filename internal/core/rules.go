package core

import (
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// Unfenced disables fencing. Only test programs set it, to show the failures that fencing prevents.
var Unfenced = false

// ObserveRules records which routing document a router uses, where the router got it, and the terms in that document. It is called
// for each health check by a router.
func (c *Core) ObserveRules(id, source string, terms configstore.Terms) {
	document, ok := configstore.ParseID(id)
	if !ok || !c.cell || Unfenced {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observedRules.ExtendTerms(c.clock(), terms)
	c.observeRules(document, source)
	c.stats.Set(uint64(c.observedRules.Terms().ConflictBound().Milliseconds()), "rules", "bound_ms")
	c.stats.Set(uint64(c.observedRules.LongestOutdated().Milliseconds()), "rules", "longest_ms")
}

// observeRules records a document that a router names. It logs newer versions and contradictions. It is called under the lock.
func (c *Core) observeRules(document configstore.ID, source string) {
	previous, _ := c.observedRules.Newest()
	switch c.observedRules.Observe(c.clock(), document, source) {
	case configstore.NewerVersion:
		events.Log(c.log, "config.newer_seen", document, previous.ID, source)
	case configstore.ConflictFound:
		c.stats.Inc("rules", "contradictions")
		n, text := c.observedRules.Conflict()
		events.Log(c.log, "config.contradiction", n, text)
	}
}

// blockReason returns why the routing rules forbid a new run of an idempotent request, or an empty string. It is called under the
// lock.
//
// It guards against a router that uses an older document than the others. That router could send a request to a server that no
// longer owns the key, and the request would run twice. Each server tracks the newest document that any router has named to it and
// rejects requests sent by an older one. If the server has had no confirmation of its own rules for too long, the block rule stops
// all new runs.
func (c *Core) blockReason(r *Request) string {
	if rule := c.blockRule.Load(); rule != nil && !Unfenced {
		if reason := (*rule)(r.Class, r.Tenant); reason != "" {
			return reason
		}
	}
	if r.RulesID == "" || !c.cell || Unfenced {
		return ""
	}
	document, ok := configstore.ParseID(r.RulesID)
	if !ok {
		return ""
	}
	c.observeRules(document, r.RulesSource)
	v := c.observedRules.Check(c.clock(), document)
	if v == configstore.VerdictValid {
		return ""
	}
	return v.String()
}

// SetBlockRule sets the function that returns why no new idempotent request of a class and a tenant may run, or an empty string.
// It is called before the first request.
func (c *Core) SetBlockRule(rule func(class, tenant string) string) { c.blockRule.Store(&rule) }

// RulesNotice is the part of a health check's reply that tells a router what this server has observed of the routing documents.
// The zero value means that nothing was observed.
type RulesNotice struct {
	Newest          string        // id of the newest document that any router has named; empty if there is none
	Source          string        // the router's source of that document
	ConflictVersion int           // the version of which two documents differ
	Conflict        string        // how the two documents differ; empty without a conflict
	SuspendedFor    time.Duration // how long no exclusive run may start; 0 if runs may start
}

// RulesNotice returns what this server has observed of the routing documents. A front calls it for each health check by a router.
func (c *Core) RulesNotice() (notice RulesNotice) {
	if !c.cell || Unfenced {
		return notice
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest, ok := c.observedRules.Newest(); ok {
		notice.Newest, notice.Source = newest.ID.String(), newest.Source
	}
	notice.ConflictVersion, notice.Conflict = c.observedRules.Conflict()
	notice.SuspendedFor = max(0, c.observedRules.SuspendedFor(c.clock()))
	return notice
}

// rulesStatus returns the status of this server's version tracker.
func (c *Core) rulesStatus(a *fastjson.Arena) *fastjson.Value {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RulesStatus(a, &c.observedRules, c.clock())
}

// RulesStatus returns the status of a version tracker as a JSON object, for operators.
func RulesStatus(a *fastjson.Arena, tracker *configstore.VersionTracker, now time.Duration) *fastjson.Value {
	o := a.NewObject()
	if newest, ok := tracker.Newest(); ok {
		o.Set("newest", a.NewString(newest.ID.String()))
	}
	if _, text := tracker.Conflict(); text != "" {
		o.Set("contradiction", a.NewString(text))
	}
	o.Set("quiet_ms", a.NewNumberInt(int(tracker.SuspendedFor(now).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(tracker.Terms().ConflictBound().Milliseconds())))
	o.Set("longest_ms", a.NewNumberInt(int(tracker.LongestOutdated().Milliseconds())))
	return o
}
