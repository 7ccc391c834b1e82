package settings

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"silverpath"
	"silverpath/internal/policy/configstore"
)

// Every field that any parser reads has a kind in configstore. A parser that reads a field without one fails here. The inputs are the
// files under deploy and the documents extracted from them.
func TestEveryFieldHasAKind(t *testing.T) {
	defer func() { onLookup = nil }()
	file := func(name string) []byte {
		data, err := os.ReadFile("../../deploy/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	lookups, site := 0, deployedSettings()
	for doc, read := range map[string]func() error{
		"config":               func() error { _, err := ParseConfig(file("scgi.json"), "n", "127.0.0.1:0"); return err },
		"quorum":               func() error { _, err := ParseQuorum(file("quorum.json")); return err },
		configstore.DocMap:     func() error { _, err := ParseCells(file("cells.json")); return err },
		configstore.DocRouting: func() error { _, err := ParseRouting(`{}`); return err },
		configstore.DocPools: func() error {
			text, _, _ := ExtractDocument(configstore.DocPools, file("edge.json"))
			_, err := ParsePools(text, site)
			return err
		},
		configstore.DocClasses: func() error {
			text, _, _ := ExtractDocument(configstore.DocClasses, file("scgi.json"))
			_, err := ParseClasses(text, site)
			return err
		},
		"edge":                                 func() error { _, err := ParseEdge(file("edge.json"), site); return err },
		"edge of a router":                     func() error { _, err := ParseEdge(file("route.json"), site); return err },
		"edge with commands":                   func() error { _, err := ParseEdge(file("orders.json"), site); return err },
		"edge with a config watch":             func() error { _, err := ParseEdge(file("rules.json"), site); return err },
		"edge with a store":                    func() error { _, err := ParseEdge(file("durable.json"), site); return err },
		"edge of a router with a config watch": func() error { _, err := ParseEdge(file("route-rules.json"), site); return err },
	} {
		seen := map[string]bool{}
		onLookup = func(path string) { seen[path] = true }
		if err := read(); err != nil {
			t.Errorf("%s: %v", doc, err)
		}
		onLookup = nil
		doc, _, _ := strings.Cut(doc, " ")
		for _, path := range slices.Sorted(maps.Keys(seen)) {
			lookups++
			// Only members have a kind, objects have none. An object that is absent in one file is read in another.
			leaf := !slices.Contains([]string{"fleet", "orders", "rules", "pools", "reserve", "store", "life", "member.snmp"}, path)
			for other := range seen {
				leaf = leaf && !strings.HasPrefix(other, path+".") && !strings.HasPrefix(other, path+"[")
			}
			if k := configstore.KindOf(doc, path); leaf && k == configstore.KindUnknown {
				t.Errorf("%s: %s has no kind", doc, path)
			}
		}
	}
	if lookups < 150 {
		t.Errorf("%d fields were read, want at least 150", lookups)
	}
	if configstore.KindOf("config", "nothing") != configstore.KindUnknown {
		t.Error("a field that does not exist has a kind")
	}
}

// deployedSettings returns the module's settings of deploy/scgi.json, which have the classes that the edge files name.
func deployedSettings() silverpath.Settings {
	data, _ := os.ReadFile("../../deploy/scgi.json")
	c, _ := ParseConfig(data, "n", "127.0.0.1:0")
	return c.Server
}
