package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The file under deploy is good, and every field of it is needed, a number, and of a size that can be.
func TestTarget(t *testing.T) {
	data, err := os.ReadFile("../../deploy/target.json")
	if err != nil {
		t.Fatal(err)
	}
	of, err := ParseTarget(data)
	if err != nil || of.Servers != 930 || of.Control.Bytes != 21 || of.Day.Restart != 3100 || of.Assumed.Window != 13.17 || of.Readings.CallersPick {
		t.Errorf("%+v, %v", of, err)
	}
	var all map[string]any
	if err := json.Unmarshal(data, &all); err != nil {
		t.Fatal(err)
	}
	read := func() error {
		text, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseTarget(text)
		return err
	}
	checked := 0
	var walk func(path string, o map[string]any)
	walk = func(path string, o map[string]any) {
		for key, was := range o {
			var bad map[string]any
			switch v := was.(type) {
			case map[string]any:
				walk(path+key+".", v)
				bad = map[string]any{"a number where a object belongs": 1}
				if key != "readings" { // all false is a reading too, but it has to be said
					delete(o, key)
					if err := read(); err == nil || err.Error() != path+key+": missing" {
						t.Errorf("without %s%s: %v", path, key, err)
					}
					o[key] = was
				}
			case bool:
				bad = map[string]any{"neither true nor false": 1}
			default:
				checked++
				bad = map[string]any{"a string where a number belongs": "1", ": -1": -1}
				delete(o, key)
				if err := read(); err == nil || err.Error() != path+key+": missing" {
					t.Errorf("without %s%s: %v", path, key, err)
				}
			}
			for want, v := range bad {
				if v == nil {
					continue
				}
				o[key] = v
				if err := read(); err == nil || !strings.HasPrefix(err.Error(), path+key+": ") || !strings.Contains(err.Error(), want) {
					t.Errorf("%s%s: %v is %v, want %q", path, key, v, err, want)
				}
			}
			o[key] = was
		}
		o["more"] = 1
		if err := read(); err == nil || err.Error() != path+"more: unknown" {
			t.Errorf("%smore: %v", path, err)
		}
		delete(o, "more")
	}
	walk("", all)
	if checked != 36 {
		t.Errorf("%d sizes", checked)
	}
	delete(all, "readings")
	if err := read(); err == nil || err.Error() != "readings: missing" {
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
		t.Error("a file that is not there")
	}
}
