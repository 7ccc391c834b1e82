package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

// members are the paths of all members of a configuration, with a way to take each out.
func members(path string, v *fastjson.Value, visit func(path string, from *fastjson.Value, key string)) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, m *fastjson.Value) {
			at := path + "." + string(key)
			visit(at, v, string(key))
			members(at, m, visit)
		})
	case fastjson.TypeArray:
		for i, e := range v.GetArray() {
			members(fmt.Sprintf("%s[%d]", path, i), e, visit)
		}
	}
}

// A file that leaves out any one key, is empty, or is cut at any byte, does not take the place of the one in force.
func TestReplaces(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "scgi.json"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(string(data))
	load := func(text string) error {
		old, err := ParseConfig([]byte(strings.TrimSpace(string(data))), "", "")
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseConfig([]byte(text), "n", "127.0.0.1:1")
		if err == nil {
			err = old.Replaces(c)
		}
		return err
	}
	if err := load(text); err != nil {
		t.Fatalf("the file itself: %v", err)
	}
	var paths []string
	members("", fastjson.MustParse(text), func(path string, _ *fastjson.Value, _ string) { paths = append(paths, path) })
	if len(paths) < 60 {
		t.Fatalf("%d keys", len(paths))
	}
	for _, out := range paths {
		v := fastjson.MustParse(text)
		members("", v, func(path string, from *fastjson.Value, key string) {
			if path == out {
				from.Del(key)
			}
		})
		err := load(string(v.MarshalTo(nil)))
		name := out[strings.LastIndex(out, ".")+1:]
		if strings.HasPrefix(out, ".scgi") && strings.HasPrefix(fmt.Sprint(err), "vm:") {
			name = "vm" // without the application server an interpreter is missing
		}
		if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("without %s: %v", out, err)
		}
	}
	for i := range len(text) {
		if load(text[:i]) == nil {
			t.Errorf("cut at %d: taken", i)
		}
	}
	for _, bad := range []string{`0`, `-1`, `-0.5`, `"4400000"`, `null`, `true`, `{}`, `[1]`, `1e40`, `"NaN"`} {
		if err := load(strings.Replace(text, `"deadline": 4400000`, `"deadline": `+bad, 1)); err == nil ||
			!strings.Contains(err.Error(), "deadline") && !strings.Contains(err.Error(), "Deadline") {
			t.Errorf("a deadline of %s: %v", bad, err)
		}
	}
	// What may differ: classes that come and go, tenants that all go.
	for old, new := range map[string]string{
		`"name": "krog"`:   `"name": "krog-next"`,
		`"classes": [`:     `"classes": [{"name": "new", "target": 1, "deadline": 2, "worth": 1, "late_worth": 0, "effect": "pure"},`,
		`"lestvica", "tar`: `"lestvica", "more": 1, "tar`,
	} {
		if text := strings.Replace(text, old, new, 1); load(text) != nil || !strings.Contains(text, new) {
			t.Errorf("%s: %v", new, load(text))
		}
	}
	v := fastjson.MustParse(text)
	v.Get("settings").Set("tenants", fastjson.MustParse("[]"))
	if err := load(string(v.MarshalTo(nil))); err != nil {
		t.Errorf("no tenants: %v", err)
	}
}
