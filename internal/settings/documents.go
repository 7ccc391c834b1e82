package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
)

// ConfigWatch sets up a process that acts on documents of a group ("rules"): see docs/rules.md.
type ConfigWatch struct {
	Group      GroupRef
	Documents  []string
	MaxRouters int // routers that there can be at once, which share the quotas of the cells; 0: quotas are not shared
}

// Uses reports whether the process acts on a document of the group.
func (r *ConfigWatch) Uses(doc string) bool { return r != nil && slices.Contains(r.Documents, doc) }

// readConfigWatch reads the documents of a group that the process acts on; nil: none.
func readConfigWatch(f fields) *ConfigWatch {
	if f.v == nil {
		return nil
	}
	f.only("group", "members", "documents", "most_routers")
	set := &ConfigWatch{Group: f.group(), Documents: f.texts("documents"), MaxRouters: int(f.integer("most_routers"))}
	if set.MaxRouters < 0 || set.MaxRouters > 0 && !set.Uses(configstore.DocMap) {
		f.fail("most_routers", "negative, or there is no map among the documents")
	}
	for i, doc := range set.Documents {
		if !slices.Contains(configstore.DocumentNames, doc) {
			f.fail(fmt.Sprintf("documents[%d]", i), "no such document: %q", doc)
		}
	}
	if len(set.Documents) == 0 {
		f.fail("documents", "none")
	}
	return set
}

// ParseRouting reads the document of how routers balance load and retry; map and state are empty.
func ParseRouting(text string) (Router, error) {
	var err error
	f := object([]byte(text), &err)
	if err != nil {
		return Router{}, err
	}
	f.only("format", "probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms")
	set := readRouting(f)
	return set, err
}

// ParsePools reads the document of a site's pools and checks it for the site.
func ParsePools(text string, site silverpath.Settings) (admission.Config, error) {
	var err error
	f := object([]byte(text), &err)
	if err != nil {
		return admission.Config{}, err
	}
	f.only("format", "pools", "limit", "memory")
	set := readPools(f, site)
	if err != nil {
		return set, err
	}
	return set, set.Check()
}

// ParseClasses reads the document of a site's classes, and returns the site's settings with them. What a class may call
// below, and is worth without, stays the site's own.
func ParseClasses(text string, site silverpath.Settings) (silverpath.Settings, error) {
	return parseClasses(text, site, true)
}

// parseClasses is ParseClasses; with check the module is asked whether it takes the settings.
func parseClasses(text string, site silverpath.Settings, check bool) (silverpath.Settings, error) {
	var err error
	f := object([]byte(text), &err)
	if err != nil {
		return site, err
	}
	f.only("format", "classes")
	old := site.Classes
	site.Classes = nil
	f.each("classes", func(_ int, c fields) {
		c.only("name", "target", "aim_stretch", "deadline", "worth", "late_worth", "effect", "memory_span")
		class := readClass(c)
		for _, o := range old {
			if o.Name == class.Name {
				class.CallsDependency, class.DegradedWeight = o.CallsDependency, o.DegradedWeight
			}
		}
		switch {
		case class.Name == "":
			c.fail("name", "missing")
		case slices.ContainsFunc(site.Classes, func(k silverpath.Class) bool { return k.Name == class.Name }):
			c.fail("name", "%q given twice", class.Name)
		case class.Deadline <= 0:
			c.fail("deadline", "not above 0")
		case class.Effect == silverpath.Idempotent && class.IdempotencyWindow <= 0:
			c.fail("memory_span", "not above 0")
		}
		site.Classes = append(site.Classes, class)
	})
	if err != nil {
		return site, err
	}
	if len(site.Classes) == 0 {
		return site, errors.New("classes: none")
	}
	if check {
		_, err = silverpath.New(0, site, silent{})
	}
	return site, err
}

// documentKeys are the members of each document but the map, and in which object of a file they stand, at its top where that is empty.
var documentKeys = map[string]struct {
	object string
	keys   []string
}{
	configstore.DocRouting: {"fleet", []string{"probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms"}},
	configstore.DocClasses: {"settings", []string{"classes"}},
	configstore.DocPools:   {"", []string{"pools", "limit", "memory"}},
}

// ExtractDocument returns the text of a document from a file, with its format. The file may be the document itself, or, for
// installations that had files alone, an edge file or a configuration: then the part is taken that the document is. It is called by
// the operators' commands; an error says what is wrong with the file.
func ExtractDocument(name string, data []byte) (text string, format int, err error) {
	f := object(data, &err)
	if err != nil {
		return "", 0, err
	}
	if name == configstore.DocMap {
		m, err := ParseCells(data)
		if err != nil {
			return "", 0, err
		}
		return string(FormatCells(m)), 1, nil
	}
	doc, known := documentKeys[name]
	if !known {
		return "", 0, fmt.Errorf("no such document: %q", name)
	}
	v, keys := f.v, doc.keys
	if doc.object != "" {
		if part := f.v.Get(doc.object); part != nil {
			v = part
		}
	}
	format = 1
	if n := f.integer("format"); n > 0 {
		format = int(n)
		keys = append(slices.Clone(keys), "format")
	}
	if format > 1 { // of a build that knows more: the process that reads it says what is wrong with it
		return string(v.MarshalTo(nil)), format, err
	}
	if text, err = subset(v, keys); err != nil {
		return "", 0, err
	}
	switch name {
	case configstore.DocRouting:
		_, err = ParseRouting(text)
	case configstore.DocClasses:
		_, err = parseClasses(text, silverpath.Settings{}, false)
	}
	return text, format, err
}

// subset is the text of an object with some members of another one, for people to read.
func subset(v *fastjson.Value, keys []string) (string, error) {
	var a fastjson.Arena
	o := a.NewObject()
	for _, key := range keys {
		if part := v.Get(key); part != nil {
			o.Set(key, part)
		}
	}
	var b bytes.Buffer
	if err := json.Indent(&b, o.MarshalTo(nil), "", "  "); err != nil {
		return "", err
	}
	return b.String() + "\n", nil
}
