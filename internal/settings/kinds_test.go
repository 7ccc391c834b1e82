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

// Every field that any file of settings has is of a stated kind: a reader that asks for one without fails here. The files are
// those under deploy, and documents with all there is.
func TestEveryFieldHasAKind(t *testing.T) {
	defer func() { lookedUp = nil }()
	file := func(name string) []byte {
		data, err := os.ReadFile("../../deploy/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	total, site := 0, sheets()
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
		"edge":               func() error { _, err := ParseEdge(file("edge.json"), site); return err },
		"edge of a router":   func() error { _, err := ParseEdge(file("route.json"), site); return err },
		"edge with orders":   func() error { _, err := ParseEdge(file("orders.json"), site); return err },
		"edge with rules":    func() error { _, err := ParseEdge(file("rules.json"), site); return err },
		"edge with a store":  func() error { _, err := ParseEdge(file("durable.json"), site); return err },
		"edge of such a one": func() error { _, err := ParseEdge(file("route-rules.json"), site); return err },
	} {
		seen := map[string]bool{}
		lookedUp = func(path string) { seen[path] = true }
		if err := read(); err != nil {
			t.Errorf("%s: %v", doc, err)
		}
		lookedUp = nil
		doc, _, _ := strings.Cut(doc, " ")
		for _, path := range slices.Sorted(maps.Keys(seen)) {
			total++
			// An object is of no kind, what is in it is; one that is not there is looked at elsewhere.
			leaf := !slices.Contains([]string{"fleet", "orders", "rules", "pools", "reserve", "store", "life", "member.snmp"}, path)
			for other := range seen {
				leaf = leaf && !strings.HasPrefix(other, path+".") && !strings.HasPrefix(other, path+"[")
			}
			if k := configstore.KindOf(doc, path); leaf && k == configstore.KindUnknown {
				t.Errorf("%s: %s has no kind", doc, path)
			}
		}
	}
	if total < 150 {
		t.Errorf("%d fields were looked for", total)
	}
	if configstore.KindOf("config", "nothing") != configstore.KindUnknown {
		t.Error("what is not there has a kind")
	}
}

// sheets are the settings of a site with the classes of the files under deploy.
func sheets() silverpath.Settings {
	data, _ := os.ReadFile("../../deploy/scgi.json")
	c, _ := ParseConfig(data, "n", "127.0.0.1:0")
	return c.Server
}
