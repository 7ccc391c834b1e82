package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The target under deploy is valid. Each of its fields is required, and a value of another type or a negative number is an error.
func TestTarget(t *testing.T) {
	data, err := os.ReadFile("../../deploy/target.json")
	if err != nil {
		t.Fatal(err)
	}
	target, err := ParseTarget(data)
	if err != nil || target.Servers != 930 || target.Control.Bandwidth != 21 || target.Failures.Restarts != 3100 || target.Assumed.KeyWindow != 13.17 || target.Readings.CallersPickServers {
		t.Errorf("%+v, %v", target, err)
	}
	var document map[string]any
	if err := json.Unmarshal(data, &document); err != nil {
		t.Fatal(err)
	}
	parse := func() error {
		text, err := json.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseTarget(text)
		return err
	}
	checked := 0
	var walk func(path string, o map[string]any)
	walk = func(path string, o map[string]any) {
		for key, original := range o {
			var replacements map[string]any
			switch v := original.(type) {
			case map[string]any:
				walk(path+key+".", v)
				replacements = map[string]any{"a number where a object belongs": 1}
				if key != "readings" { // required even if all of its fields are false: checked below
					delete(o, key)
					if err := parse(); err == nil || err.Error() != path+key+": missing" {
						t.Errorf("without %s%s: %v", path, key, err)
					}
					o[key] = original
				}
			case bool:
				replacements = map[string]any{"neither true nor false": 1}
			default:
				checked++
				replacements = map[string]any{"a string where a number belongs": "1", ": -1": -1}
				delete(o, key)
				if err := parse(); err == nil || err.Error() != path+key+": missing" {
					t.Errorf("without %s%s: %v", path, key, err)
				}
			}
			for want, v := range replacements {
				if v == nil {
					continue
				}
				o[key] = v
				if err := parse(); err == nil || !strings.HasPrefix(err.Error(), path+key+": ") || !strings.Contains(err.Error(), want) {
					t.Errorf("%s%s: %v is %v, want %q", path, key, v, err, want)
				}
			}
			o[key] = original
		}
		o["more"] = 1
		if err := parse(); err == nil || err.Error() != path+"more: unknown" {
			t.Errorf("%smore: %v", path, err)
		}
		delete(o, "more")
	}
	walk("", document)
	if checked != 36 {
		t.Errorf("%d numbers, want 36", checked)
	}
	delete(document, "readings")
	if err := parse(); err == nil || err.Error() != "readings: missing" {
		t.Error(err)
	}
	bad := filepath.Join(t.TempDir(), "t.json")
	if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadTarget(bad); err == nil || !strings.HasPrefix(err.Error(), bad+": not JSON: ") {
		t.Error(err)
	}
	if _, err := LoadTarget(bad + "x"); err == nil {
		t.Error("a missing file is not an error")
	}
}
