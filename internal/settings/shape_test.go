package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"silverpath/internal/settings"
	"silverpath/internal/testkit/benchmarks"
)

// A file that leaves out any one key, is empty, or is cut at any byte, does not take the place of the one in force.
func TestReplaces(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "scgi.json"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(string(data))
	load := func(text string) error {
		old, err := settings.ParseConfig([]byte(strings.TrimSpace(string(data))), "", "")
		if err != nil {
			t.Fatal(err)
		}
		c, err := settings.ParseConfig([]byte(text), "n", "127.0.0.1:1")
		if err == nil {
			err = old.Replaces(c)
		}
		return err
	}
	if err := load(text); err != nil {
		t.Fatalf("the file itself: %v", err)
	}
	lacking := benchmarks.Without(text)
	if len(lacking) < 60 {
		t.Fatalf("%d keys", len(lacking))
	}
	for out, less := range lacking {
		err := load(less)
		name := out[strings.LastIndex(out, ".")+1:]
		if (out == "scgi" || strings.HasPrefix(out, "scgi.")) && strings.HasPrefix(fmt.Sprint(err), "vm:") {
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
