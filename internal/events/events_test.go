package events

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Every event that the code logs is in the table with as many fields, every one of the table is logged, and docs/oncall.md has
// all of them, those of members and owners too.
func TestEvents(t *testing.T) {
	doc, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile("`([a-z]+[a-z_.]*)`")
	known := map[string]bool{}
	for _, m := range named.FindAllStringSubmatch(string(doc), -1) {
		known[m[1]] = true
	}
	logged := map[string]bool{}
	text := func(e ast.Expr) (string, bool) { // a literal, or the beginning of one that is put together
		whole := true
		if b, ok := e.(*ast.BinaryExpr); ok {
			e, whole = b.X, false
		}
		l, ok := e.(*ast.BasicLit)
		if !ok {
			return "", false
		}
		s, _ := strconv.Unquote(l.Value)
		return s, whole
	}
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			sel, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			args := call.Args
			if x, ok := sel.X.(*ast.Ident); ok && x.Name == "events" && sel.Sel.Name == "Log" && len(args) > 1 {
				args = args[1:]
			} else if sel.Sel.Name == "Str" && len(args) == 2 {
				if key, _ := text(args[0]); key != "event" {
					return true
				}
				name, whole := text(args[1])
				for k := range known {
					if whole && k == name || !whole && name != "" && strings.HasPrefix(k, name) {
						return true
					}
				}
				if name != "" {
					t.Errorf("%s: event %q is not in docs/oncall.md", path, name)
				}
				return true
			} else if sel.Sel.Name != "LogPeer" || len(args) == 0 {
				return true
			}
			name, whole := text(args[0])
			if !whole {
				return true // passed on by LogPeer itself
			}
			logged[name] = true
			if _, ok := Templates[name]; !ok {
				t.Errorf("%s: event %q is not in the table", path, name)
			} else if call.Ellipsis == 0 && len(args)-1 != len(Fields(name)) {
				t.Errorf("%s: event %q with %d values, it has the fields %v", path, name, len(args)-1, Fields(name))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for name := range Templates {
		if !logged[name] {
			t.Errorf("event %q is never logged", name)
		}
		if !known[name] {
			t.Errorf("event %q is not in docs/oncall.md", name)
		}
	}
}

// An event is one line for people and one object for machines, with the same fields.
func TestLog(t *testing.T) {
	var b bytes.Buffer
	Log(log.New(&b, "", 0), "admission.limit", 3.25, 8.0, "steady")
	if b.String() != "admission: limit 3.2 of at most 8.0 runs, steady\n" {
		t.Errorf("%q", b.String())
	}
	b.Reset()
	l := log.New(NewJSONWriter(&b, "s1"), "", 0)
	Log(l, "command.executed", "evacuate", "conductor", "1.2", uint64(7), "evacuated")
	l.Print("anything")
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	var e, f map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &e); err != nil {
		t.Fatal(err)
	}
	if e["event"] != "command.executed" || e["process"] != "s1" || e["duty"] != "conductor" || e["epoch"] != "1.2" || e["step"] != 7.0 {
		t.Errorf("%v", e)
	}
	if err := json.Unmarshal([]byte(lines[1]), &f); err != nil || f["text"] != "anything" {
		t.Errorf("%v, %v", f, err)
	}
}
