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

// Every call of events.Log or LogPeer in the code names an event of Templates and passes one value per field. Every event of
// Templates is logged somewhere. docs/oncall.md lists all events, including those that are logged with zerolog.
func TestEvents(t *testing.T) {
	doc, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	eventName := regexp.MustCompile("`([a-z]+[a-z_.]*)`")
	documented := map[string]bool{}
	for _, m := range eventName.FindAllStringSubmatch(string(doc), -1) {
		documented[m[1]] = true
	}
	logged := map[string]bool{}
	literal := func(e ast.Expr) (string, bool) { // a string literal, or the literal at the start of a concatenation
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
		sourceFile, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(sourceFile, func(n ast.Node) bool {
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
				if key, _ := literal(args[0]); key != "event" {
					return true
				}
				name, whole := literal(args[1])
				for k := range documented {
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
			name, whole := literal(args[0])
			if !whole {
				return true // LogPeer itself passes on a variable
			}
			logged[name] = true
			if _, ok := Templates[name]; !ok {
				t.Errorf("%s: event %q is not in Templates", path, name)
			} else if call.Ellipsis == 0 && len(args)-1 != len(Fields(name)) {
				t.Errorf("%s: event %q is logged with %d values for the fields %v", path, name, len(args)-1, Fields(name))
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
		if !documented[name] {
			t.Errorf("event %q is not in docs/oncall.md", name)
		}
	}
}

// Log writes an event as a line of the text log and as an object of the JSON log, with the same fields.
func TestLog(t *testing.T) {
	var b bytes.Buffer
	Log(log.New(&b, "", 0), "admission.limit", 3.25, 8.0, "steady")
	if b.String() != "admission: limit 3.2 of at most 8.0 runs, steady\n" {
		t.Errorf("got line %q", b.String())
	}
	b.Reset()
	l := log.New(NewJSONWriter(&b, "s1"), "", 0)
	Log(l, "command.executed", "evacuate", "conductor", "1.2", uint64(7), "evacuated")
	l.Print("anything")
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	var obj, text map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &obj); err != nil {
		t.Fatal(err)
	}
	if obj["event"] != "command.executed" || obj["process"] != "s1" || obj["duty"] != "conductor" || obj["epoch"] != "1.2" || obj["step"] != 7.0 {
		t.Errorf("got object %v", obj)
	}
	if err := json.Unmarshal([]byte(lines[1]), &text); err != nil || text["text"] != "anything" {
		t.Errorf("got object %v, error %v", text, err)
	}
}
