package configstore

import (
	"encoding/json"
	"slices"
	"strings"
)

// What an exclusive change pauses: only requests that it touches stop while all processes quiesce. A scope names classes and cells.
const (
	ScopeClass = "class:" // and the class's name
	ScopeCell  = "cell:"  // and the cell's name
)

// ScopeOf names what the exclusive differences of a change touch, in order; nil where that is everything.
func ScopeOf(doc string, list []Difference) (touched []string) {
	for _, d := range list {
		if d.kind != KindExclusive && d.kind != KindUnknown {
			continue
		}
		name := ""
		for _, f := range []struct{ doc, array, field, as string }{
			{DocClasses, "classes[", "].name", ScopeClass}, {DocClasses, "classes[", "].effect", ScopeClass}, {DocMap, "cells[", "].name", ScopeCell},
		} {
			if rest, ok := strings.CutPrefix(d.Path, f.array); ok && doc == f.doc && d.kind == KindExclusive {
				if in, ok := strings.CutSuffix(rest, f.field); ok {
					name = f.as + in
				}
			}
		}
		if name == "" {
			return nil
		}
		if !slices.Contains(touched, name) {
			touched = append(touched, name)
		}
	}
	slices.Sort(touched)
	return touched
}

// PauseScope is what pauses at a process while an exclusive change quiesces.
type PauseScope struct {
	all          bool
	classes      map[string]bool
	tenants      map[string]bool // of those that a map names; "" is all the others
	namedTenants map[string]bool
}

// Add adds what a change touches. Texts are those of its document before and after, or of their parts, by which it is known which
// tenants live in a cell: where one can't be read, everything pauses.
func (t *PauseScope) Add(touches []string, texts []string) {
	if t.classes == nil {
		t.classes, t.tenants, t.namedTenants = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	if len(touches) == 0 {
		t.all = true
		return
	}
	cells := map[string]bool{}
	for _, name := range touches {
		if class, ok := strings.CutPrefix(name, ScopeClass); ok {
			t.classes[class] = true
		} else if cell, ok := strings.CutPrefix(name, ScopeCell); ok {
			cells[cell] = true
		} else {
			t.all = true // of a newer build
		}
	}
	if len(cells) == 0 || t.all {
		return
	}
	for _, text := range texts {
		var of struct {
			Tenants []struct {
				Name  string
				Homes []struct{ Cell string }
			}
		}
		if json.Unmarshal([]byte(text), &of) != nil {
			t.all = true // it can't be known who lives there
			return
		}
		for _, one := range of.Tenants {
			t.namedTenants[one.Name] = true
			for _, h := range one.Homes {
				if cells[h.Cell] {
					t.tenants[one.Name] = true
				}
			}
		}
	}
}

// Pauses reports whether requests with an idempotency key of a class and a tenant pause.
func (t *PauseScope) Pauses(class, tenant string) bool {
	return t.all || t.classes[class] || t.tenants[tenant] || t.tenants[""] && !t.namedTenants[tenant]
}
