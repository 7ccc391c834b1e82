package configstore

import (
	"encoding/json"
	"slices"
	"strings"
)

// Scopes of exclusive changes: only requests that a change affects pause while processes quiesce. A scope names classes and cells.
const (
	ScopeClass = "class:" // followed by the class's name
	ScopeCell  = "cell:"  // followed by the cell's name
)

// ScopeOf returns the classes and cells that the exclusive differences of a change affect, sorted. It returns nil if
// they affect everything.
func ScopeOf(doc string, list []Difference) (scope []string) {
	for _, d := range list {
		if d.kind != KindExclusive && d.kind != KindUnknown {
			continue
		}
		name := ""
		for _, rule := range []struct{ doc, array, field, prefix string }{
			{DocClasses, "classes[", "].name", ScopeClass}, {DocClasses, "classes[", "].effect", ScopeClass}, {DocMap, "cells[", "].name", ScopeCell},
		} {
			if rest, ok := strings.CutPrefix(d.Path, rule.array); ok && doc == rule.doc && d.kind == KindExclusive {
				if element, ok := strings.CutSuffix(rest, rule.field); ok {
					name = rule.prefix + element
				}
			}
		}
		if name == "" {
			return nil
		}
		if !slices.Contains(scope, name) {
			scope = append(scope, name)
		}
	}
	slices.Sort(scope)
	return scope
}

// PauseScope is the set of requests that pause at a process while an exclusive change quiesces.
type PauseScope struct {
	all          bool
	classes      map[string]bool
	tenants      map[string]bool // paused tenants; "" is every tenant that the map does not name
	namedTenants map[string]bool
}

// Add adds the scope of a change. Texts are those of its document before and after, or of their parts, which name the tenants of each cell.
// If one of them can't be parsed, everything pauses.
func (s *PauseScope) Add(scope []string, texts []string) {
	if s.classes == nil {
		s.classes, s.tenants, s.namedTenants = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	if len(scope) == 0 {
		s.all = true
		return
	}
	cells := map[string]bool{}
	for _, name := range scope {
		if class, ok := strings.CutPrefix(name, ScopeClass); ok {
			s.classes[class] = true
		} else if cell, ok := strings.CutPrefix(name, ScopeCell); ok {
			cells[cell] = true
		} else {
			s.all = true // a scope of a newer build
		}
	}
	if len(cells) == 0 || s.all {
		return
	}
	for _, text := range texts {
		var doc struct {
			Tenants []struct {
				Name  string
				Homes []struct{ Cell string }
			}
		}
		if json.Unmarshal([]byte(text), &doc) != nil {
			s.all = true // the tenants of the cells are unknown
			return
		}
		for _, tenant := range doc.Tenants {
			s.namedTenants[tenant.Name] = true
			for _, home := range tenant.Homes {
				if cells[home.Cell] {
					s.tenants[tenant.Name] = true
				}
			}
		}
	}
}

// Pauses reports whether requests with an idempotency key, of a class and a tenant, pause.
func (s *PauseScope) Pauses(class, tenant string) bool {
	return s.all || s.classes[class] || s.tenants[tenant] || s.tenants[""] && !s.namedTenants[tenant]
}
