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

// ConfigWatch configures a process that applies configuration documents of a group (JSON key "rules"): see docs/rules.md.
type ConfigWatch struct {
	Group      GroupRef
	Documents  []string
	MaxRouters int // largest number of concurrent routers, which share the quotas of the cells; 0: quotas are not shared
}

// Watches reports whether the process applies a document of the group. It may be called on nil.
func (w *ConfigWatch) Watches(doc string) bool { return w != nil && slices.Contains(w.Documents, doc) }

// readConfigWatch reads which documents of a group the process applies. It returns nil if the object is absent.
func readConfigWatch(f fields) *ConfigWatch {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("group", "members", "documents", "most_routers")
	watch := &ConfigWatch{Group: f.group(), Documents: f.texts("documents"), MaxRouters: int(f.integer("most_routers"))}
	if watch.MaxRouters < 0 || watch.MaxRouters > 0 && !watch.Watches(configstore.DocMap) {
		f.fail("most_routers", "negative, or the map is not among the documents")
	}
	for i, doc := range watch.Documents {
		if !slices.Contains(configstore.DocumentNames, doc) {
			f.fail(fmt.Sprintf("documents[%d]", i), "no such document: %q", doc)
		}
	}
	if len(watch.Documents) == 0 {
		f.fail("documents", "none")
	}
	return watch
}

// ParseRouting parses the routing document: how routers balance load, retry and check health. The returned Router has no map file
// and no state file.
func ParseRouting(text string) (Router, error) {
	var err error
	f := parseObject([]byte(text), &err)
	if err != nil {
		return Router{}, err
	}
	f.rejectUnknown("format", "probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms")
	router := readRouting(f)
	return router, err
}

// ParsePools parses the document of a site's pools and validates it against the classes of the site.
func ParsePools(text string, site silverpath.Settings) (admission.Config, error) {
	var err error
	f := parseObject([]byte(text), &err)
	if err != nil {
		return admission.Config{}, err
	}
	f.rejectUnknown("format", "pools", "limit", "memory")
	pools := readPools(f, site)
	if err != nil {
		return pools, err
	}
	return pools, pools.Check()
}

// ParseClasses parses the document of a site's classes and returns the site's settings with these classes. A class keeps its
// CallsDependency and DegradedWeight from the site's settings.
func ParseClasses(text string, site silverpath.Settings) (silverpath.Settings, error) {
	return parseClasses(text, site, true)
}

// parseClasses implements ParseClasses. If check is set, the module validates the resulting settings.
func parseClasses(text string, site silverpath.Settings, check bool) (silverpath.Settings, error) {
	var err error
	f := parseObject([]byte(text), &err)
	if err != nil {
		return site, err
	}
	f.rejectUnknown("format", "classes")
	old := site.Classes
	site.Classes = nil
	f.each("classes", func(_ int, c fields) {
		c.rejectUnknown("name", "target", "aim_stretch", "deadline", "worth", "late_worth", "effect", "memory_span")
		class := readClass(c)
		for _, oldClass := range old {
			if oldClass.Name == class.Name {
				class.CallsDependency, class.DegradedWeight = oldClass.CallsDependency, oldClass.DegradedWeight
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
		_, err = silverpath.New(0, site, noopHost{})
	}
	return site, err
}

// documentKeys has the keys of each document except the map, and the object of a file that contains them; empty: the top level.
var documentKeys = map[string]struct {
	object string
	keys   []string
}{
	configstore.DocRouting: {"fleet", []string{"probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms"}},
	configstore.DocClasses: {"settings", []string{"classes"}},
	configstore.DocPools:   {"", []string{"pools", "limit", "memory"}},
}

// ExtractDocument returns the text of a document from a file, and the document's format. The file is the document itself, or an edge
// file or configuration of an installation without a group: then the keys of the document are copied from it. Operators' commands
// call it. An error names the field that is not valid.
func ExtractDocument(name string, data []byte) (text string, format int, err error) {
	f := parseObject(data, &err)
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
		if member := f.v.Get(doc.object); member != nil {
			v = member
		}
	}
	format = 1
	if n := f.integer("format"); n > 0 {
		format = int(n)
		keys = append(slices.Clone(keys), "format")
	}
	if format > 1 { // written for a newer build: the process that applies the document validates it
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

// subset returns indented JSON of an object with only the given members of v.
func subset(v *fastjson.Value, keys []string) (string, error) {
	var a fastjson.Arena
	o := a.NewObject()
	for _, key := range keys {
		if member := v.Get(key); member != nil {
			o.Set(key, member)
		}
	}
	var b bytes.Buffer
	if err := json.Indent(&b, o.MarshalTo(nil), "", "  "); err != nil {
		return "", err
	}
	return b.String() + "\n", nil
}
