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

// A file that lacks any one key, or is truncated at any byte, does not replace the configuration in force.
func TestReplaces(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "scgi.json"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.TrimSpace(string(data))
	replace := func(text string) error {
		old, err := settings.ParseConfig([]byte(strings.TrimSpace(string(data))), "", "")
		if err != nil {
			t.Fatal(err)
		}
		c, err := settings.ParseConfig([]byte(text), "n", "127.0.0.1:1")
		if err == nil {
			err = old.CheckReplacement(c)
		}
		return err
	}
	if err := replace(text); err != nil {
		t.Fatalf("the file itself: %v", err)
	}
	variants := benchmarks.WithoutEachKey(text)
	if len(variants) < 60 {
		t.Fatalf("%d keys, want at least 60", len(variants))
	}
	for removed, variant := range variants {
		err := replace(variant)
		name := removed[strings.LastIndex(removed, ".")+1:]
		if (removed == "scgi" || strings.HasPrefix(removed, "scgi.")) && strings.HasPrefix(fmt.Sprint(err), "vm:") {
			name = "vm" // without an application server the interpreter is required
		}
		if err == nil || !strings.Contains(err.Error(), name) || strings.Contains(err.Error(), "\n") {
			t.Errorf("without %s: error %v", removed, err)
		}
	}
	for i := range len(text) {
		if replace(text[:i]) == nil {
			t.Errorf("truncated at byte %d: accepted", i)
		}
	}
	for _, bad := range []string{`0`, `-1`, `-0.5`, `"4400000"`, `null`, `true`, `{}`, `[1]`, `1e40`, `"NaN"`} {
		if err := replace(strings.Replace(text, `"deadline": 4400000`, `"deadline": `+bad, 1)); err == nil ||
			!strings.Contains(err.Error(), "deadline") && !strings.Contains(err.Error(), "Deadline") {
			t.Errorf("a deadline of %s: %v", bad, err)
		}
	}
	// A replacement may rename or add classes, add keys and remove all tenants.
	for old, new := range map[string]string{
		`"name": "krog"`:   `"name": "krog-next"`,
		`"classes": [`:     `"classes": [{"name": "new", "target": 1, "deadline": 2, "worth": 1, "late_worth": 0, "effect": "pure"},`,
		`"lestvica", "tar`: `"lestvica", "more": 1, "tar`,
	} {
		if text := strings.Replace(text, old, new, 1); replace(text) != nil || !strings.Contains(text, new) {
			t.Errorf("%s: %v", new, replace(text))
		}
	}
	v := fastjson.MustParse(text)
	v.Get("settings").Set("tenants", fastjson.MustParse("[]"))
	if err := replace(string(v.MarshalTo(nil))); err != nil {
		t.Errorf("no tenants: %v", err)
	}
}
