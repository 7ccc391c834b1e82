package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCapacity(t *testing.T) {
	code, out, message := runCommand(t, "", "capacity")
	if code != 0 || message != "" || !strings.Contains(out, "By breaking point") || !strings.Contains(out, "leader: the map as one document") {
		t.Errorf("exit code %d, output %.200q, message %q", code, out, message)
	}
	code, out, message = runCommand(t, "", "capacity", "--json")
	var plan struct {
		Routers float64
		Breaks  []struct {
			What  string
			Stops bool
			Share *float64
		}
	}
	if err := json.Unmarshal([]byte(out), &plan); err != nil || code != 0 || plan.Routers < 1 || len(plan.Breaks) < 10 {
		t.Errorf("exit code %d, %+v, %v, message %q", code, plan, err, message)
	}

	// If the target has half of the servers, tenants and routes, twice the fraction of the target fits into the
	// map document.
	dir := t.TempDir()
	data, err := os.ReadFile("../../deploy/target.json")
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	half := strings.NewReplacer(`"servers": 930`, `"servers": 465`, `"tenants": 21000`, `"tenants": 10500`, `"routes": 17000`, `"routes": 8500`).Replace(string(data))
	mapShare := func(args ...string) float64 {
		t.Helper()
		code, out, message := runCommand(t, "", append([]string{"capacity", "--json"}, args...)...)
		if err := json.Unmarshal([]byte(out), &plan); err != nil || code != 0 {
			t.Fatalf("exit code %d, %v, message %q", code, err, message)
		}
		for _, b := range plan.Breaks {
			if b.What == "leader: the map as one document" && b.Share != nil {
				return *b.Share
			}
		}
		t.Fatal("no breaking point of the map as one document")
		return 0
	}
	if full, halved := mapShare(), mapShare("--target", write("half.json", half)); halved < 1.999*full || halved > 2.001*full {
		t.Errorf("the map breaks at a share of %v of the target, %v of half the target", full, halved)
	}
	for _, c := range []struct {
		flag, file, want string
	}{
		{"--target", write("zones.json", strings.Replace(string(data), `"zones": 5`, `"zones": 1`, 1)), ": zones: under 2: 1\n"},
		{"--target", write("field.json", strings.Replace(string(data), `"sockets": 1024`, `"socket": 1024`, 1)), ": assumed.socket: unknown\n"},
		{"--target", filepath.Join(dir, "none.json"), "open "},
		{"--results", write("series.json", `{"series":[{"name":"a"},{"name":"a"}]}`), `: series[1].name: "a" given twice` + "\n"},
		{"--results", write("text.json", "no"), ": invalid character"},
	} {
		code, out, message := runCommand(t, "", "capacity", c.flag, c.file)
		if code != 1 || out != "" || strings.Count(message, "\n") != 1 || !strings.HasPrefix(message, "silverpath: ") || !strings.Contains(message, c.want) {
			t.Errorf("%s %s: exit code %d, output %.80q, message %q", c.flag, c.file, code, out, message)
		}
	}
	results := write("some.json", `{"program": "abc", "machine": "m", "series": [{"name": "server.cpu.callers", "points": [{"at": 10, "values": [0.001]}, {"at": 1000, "values": [0.1]}]}]}`)
	if code, out, message := runCommand(t, "", "capacity", "--results", results); code != 0 || !strings.HasPrefix(out, "Results: abc, m.\n") || !strings.Contains(out, " m ") {
		t.Errorf("exit code %d, output %.200q, message %q", code, out, message)
	}
}
