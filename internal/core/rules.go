package core

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// Unfenced leaves the fence of the rules out, in test programs only, which show the harm that it keeps away.
var Unfenced = false

// Heard takes what a router says of its rules as it looks after this server: which document it goes by, from which source, and
// the terms that it names.
func (c *Core) Heard(id, source string, terms configstore.Terms) {
	of, ok := configstore.ParseID(id)
	if !ok || !c.cell || Unfenced {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules.Agree(terms)
	c.heard(of, source)
	c.stats.Set(uint64(c.rules.Terms().Bound().Milliseconds()), "rules", "bound_ms")
	c.stats.Set(uint64(c.rules.Longest().Milliseconds()), "rules", "longest_ms")
}

// heard is called under the lock.
func (c *Core) heard(of configstore.ID, source string) {
	was, _ := c.rules.Top()
	switch c.rules.Hear(c.clock(), of, source) {
	case configstore.Newer:
		events.Log(c.log, "rules.newer", of, was.ID, source)
	case configstore.Conflict:
		c.stats.Inc("rules", "contradictions")
		n, words := c.rules.Differ()
		events.Log(c.log, "rules.contradiction", n, words)
	}
}

// judge tells why nothing new may begin by the rules that a sheet was sent by, empty for nothing. It is called under the lock.
func (c *Core) judge(r *Request) string {
	if bar := c.bar.Load(); bar != nil && !Unfenced {
		if why := (*bar)(r.Class, r.Tenant); why != "" {
			return why
		}
	}
	if r.Rules == "" || !c.cell || Unfenced {
		return ""
	}
	of, ok := configstore.ParseID(r.Rules)
	if !ok {
		return ""
	}
	c.heard(of, r.Source)
	v := c.rules.Judge(c.clock(), of)
	if v == configstore.Good {
		return ""
	}
	return v.String()
}

// Bar sets who is asked why no sheet of a class and a tenant begins; empty where one may. It is called before the first request.
func (c *Core) Bar(why func(class, tenant string) string) { c.bar.Store(&why) }

// RulesTold is what a router is told of the rules that this server has heard of, as names and values in turn.
func (c *Core) RulesTold() (pairs []string) {
	if !c.cell || Unfenced {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if top, ok := c.rules.Top(); ok {
		pairs = append(pairs, "g", top.ID.String(), "gn", top.Source)
	}
	if n, words := c.rules.Differ(); words != "" {
		pairs = append(pairs, "gc", strconv.Itoa(n)+" "+words)
	}
	if d := c.rules.Hushed(c.clock()); d > 0 {
		pairs = append(pairs, "gq", strconv.FormatInt(d.Milliseconds(), 10))
	}
	return pairs
}

// rulesStatus is what this server knows of the rules, for operators.
func (c *Core) rulesStatus(a *fastjson.Arena) *fastjson.Value {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RulesStatus(a, &c.rules, c.clock())
}

// RulesStatus is what a process has heard of the rules, for operators.
func RulesStatus(a *fastjson.Arena, s *configstore.Seen, now time.Duration) *fastjson.Value {
	o := a.NewObject()
	if top, ok := s.Top(); ok {
		o.Set("newest", a.NewString(top.ID.String()))
	}
	if _, words := s.Differ(); words != "" {
		o.Set("contradiction", a.NewString(words))
	}
	o.Set("quiet_ms", a.NewNumberInt(int(s.Hushed(now).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(s.Terms().Bound().Milliseconds())))
	o.Set("longest_ms", a.NewNumberInt(int(s.Longest().Milliseconds())))
	return o
}
