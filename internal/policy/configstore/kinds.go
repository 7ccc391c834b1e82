package configstore

import (
	"strings"
	"time"
)

// Kind is the conflict between processes that act on different values of a field. It determines how a change of the field is rolled out.
type Kind int

// The kinds of fields.
const (
	KindUnknown     Kind = iota // not in the table: treated as KindExclusive
	KindLocal                   // local to a process: no other process acts on it
	KindIndependent             // no conflict: processes behave slightly differently
	KindMonotonic               // a time window: it may grow at once, and shrinks only after the longer window has run out
	KindShared                  // shares are granted with a lease, and never sum to more than the whole
	KindAnnounced               // exclusive, and kept apart by the times written in the document
	KindExclusive               // the old value must stop everywhere before the new one begins anywhere
)

// String returns the kind's name as commands print it.
func (k Kind) String() string {
	return [...]string{"unknown", "own", "free", "monotone", "shared", "announced", "exclusive"}[k]
}

// The names of the documents.
const (
	DocMap     = "map"     // the cell map
	DocRouting = "routing" // a router's retries, hedges and health
	DocClasses = "classes" // the request classes of a site
	DocPools   = "pools"   // the pools of an edge file
)

// DocumentNames lists the names of all documents.
var DocumentNames = []string{DocMap, DocRouting, DocClasses, DocPools}

// fieldKinds holds the kind of each field, by document and path, with array indexes left out.
var fieldKinds = func() map[string]Kind {
	kinds := map[string]Kind{}
	add := func(k Kind, doc, fields string) {
		for _, field := range strings.Fields(fields) {
			kinds[doc+":"+field] = k
		}
	}
	for _, doc := range DocumentNames {
		add(KindIndependent, doc, "format")
	}
	add(KindIndependent, DocMap, "version epoch servers[].mgmt")
	add(KindMonotonic, DocMap, "window_ms")
	add(KindExclusive, DocMap, "skew_ms lease_ms patience_ms cells[].name")
	add(KindShared, DocMap, "cells[].capacity tenants[].rate")
	add(KindAnnounced, DocMap, `servers[].name servers[].addr servers[].cell servers[].weight servers[].from_ms servers[].until_ms
		tenants[].name tenants[].homes[].cell tenants[].homes[].shard tenants[].homes[].from_ms tenants[].homes[].abort`)
	add(KindIndependent, DocRouting, "probe_ms retries hedges most_out panic slow_start_ms")
	add(KindIndependent, DocPools, `pools[].name pools[].classes pools[].weight pools[].floor limit.least limit.start limit.fixed memory.tight
		memory.scarce memory.critical`)
	add(KindExclusive, DocClasses, "classes[].name classes[].effect")
	add(KindMonotonic, DocClasses, "classes[].memory_span")
	add(KindIndependent, DocClasses, "classes[].target classes[].aim_stretch classes[].deadline classes[].worth classes[].late_worth")
	// Fields of a process's own configuration files. Classes, routing and pools there have the kinds of their documents. Classes
	// there apply to processes without a group; differences between such processes are not detected.
	add(KindLocal, "config", `name listen mgmt vm announce vault seed stop_ms limits.memory_mb limits.sockets scgi.listen scgi.upstream
		scgi.max_body scgi.class scgi.tenant scgi.deadline_ms scgi.held_kb scgi.half_close scgi.upstream_timeout_ms snmp.listen
		snmp.community settings.family_info.below settings.family_info.callers settings.family_info.calls_by_class
		settings.family_info.cold settings.family_info.cpus settings.family_info.dep_share settings.family_info.dep_window
		settings.family_info.fresh_for settings.family_info.gauges settings.family_info.keepalive_max settings.family_info.key_kb
		settings.family_info.linger settings.family_info.memory_kb settings.family_info.preemption settings.family_info.readiness
		settings.family_info.run_factor settings.family_info.say settings.family_info.worth_without settings.rules.cold_from
		settings.rules.drain_grace settings.rules.fall_multiple settings.rules.overload_for settings.rules.warm_within
		settings.tenants[].name settings.tenants[].allowance_per_s settings.servers settings.tier`)
	add(KindIndependent, "config", `settings.client_habits.marks_retry settings.limits.retry_after settings.limits.max_retry_after
		settings.over_share_worth settings.worth_by settings.scoring_mix.whole settings.scoring_mix.worst_class
		settings.scoring_mix.worst_tenant settings.scoring_mix.worst_window`)
	for _, field := range []string{"classes[].name", "classes[].effect", "classes[].memory_span", "classes[].target", "classes[].aim_stretch",
		"classes[].deadline", "classes[].worth", "classes[].late_worth"} {
		kinds["config:settings."+field] = kinds[DocClasses+":"+field]
	}
	add(KindLocal, "edge", `status cell reserve.connections reserve.cheap_per_s reserve.cheap_each_per_s orders.state orders.group
		orders.members rules.group rules.members rules.documents rules.most_routers fleet.map fleet.state
		store.dir store.size_mb store.result_kb store.gather_us life.file life.valid_ms`)
	for _, field := range strings.Fields("probe_ms retries hedges most_out panic slow_start_ms") {
		kinds["edge:fleet."+field] = kinds[DocRouting+":"+field]
	}
	for _, field := range strings.Fields(`pools[].name pools[].classes pools[].weight pools[].floor limit.least limit.start limit.fixed
		memory.tight memory.scarce memory.critical`) {
		kinds["edge:"+field] = kinds[DocPools+":"+field]
	}
	add(KindLocal, "quorum", `name group members log member.listen member.addr member.dir member.tick_ms member.snmp.listen
		member.snmp.community owner.duties owner.map owner.routers owner.gone_after_ms`)
	return kinds
}()

// KindOf returns the kind of a field of a document. The path may have array indexes or not.
func KindOf(doc, path string) Kind { return fieldKinds[doc+":"+fieldPath(path)] }

// fieldPath removes array indexes and element names from a path.
func fieldPath(path string) string {
	var b strings.Builder
	inBrackets := false
	for _, c := range path {
		if c == ']' {
			inBrackets = false
		}
		if !inBrackets {
			b.WriteRune(c)
		}
		if c == '[' {
			inBrackets = true
		}
	}
	return b.String()
}

// TransitionWindow returns the window in effect while it changes from old to next, and how long until next takes effect. A window that
// shrinks does so after the old one and callerTimeout have passed, as requests that ran under the old one may be repeated until then.
func TransitionWindow(old, next, callerTimeout time.Duration) (now, until time.Duration) {
	if next >= old {
		return next, 0
	}
	return old, old + callerTimeout
}
