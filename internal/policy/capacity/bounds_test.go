package capacity

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/constant"
	"go/parser"
	"go/printer"
	"go/token"
	"go/types"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// Every limit in Current equals the constant or the expression of the source that sources lists for it.
func TestBounds(t *testing.T) {
	listed := map[string]bool{}
	for _, s := range sources(Current) {
		listed[s.name] = true
		fset := token.NewFileSet()
		files := parseDir(t, fset, "../../../"+s.dir)
		if !token.IsIdentifier(s.expr) {
			if !slices.ContainsFunc(files, func(f *ast.File) bool { return containsExpr(t, fset, f, s.expr) }) {
				t.Errorf("%s: %s does not contain the expression %q", s.name, s.dir, s.expr)
			}
			if v := evalText(t, s.expr); v != s.value {
				t.Errorf("%s is %v, but %q in %s is %v", s.name, s.value, s.expr, s.dir, v)
			}
			continue
		}
		var values []ast.Expr
		for _, f := range files {
			if e := findConstant(f, s.expr); e != nil {
				values = append(values, e)
			}
		}
		if len(values) != 1 {
			t.Errorf("%s: %s has %d constants %s, want 1", s.name, s.dir, len(values), s.expr)
			continue
		}
		if v := evalConstant(t, values[0]); v != s.value {
			t.Errorf("%s is %v, but %s in %s is %v", s.name, s.value, s.expr, s.dir, v)
		}
	}
	// The client reads a status as one message of the protocol, so MaxCallBody limits it.
	fset := token.NewFileSet()
	for _, text := range []string{"doOn(dialLong, addr, dialTimeout, (*Conn).Status)", "msgpackrpc.DialCalls(ctx, addr)"} {
		if f, err := parser.ParseFile(fset, "../../transport/client/client.go", nil, 0); err != nil || !containsExpr(t, fset, f, text) {
			t.Errorf("internal/transport/client/client.go does not contain the expression %q: %v", text, err)
		}
	}
	const reportFormat = "announce %s %t"
	if f, err := parser.ParseFile(fset, "../../transport/loadreport/reporter.go", nil, 0); err != nil || !containsExpr(t, fset, f, `"`+reportFormat+`"`) {
		t.Errorf("internal/transport/loadreport/reporter.go does not contain the text %q: %v", reportFormat, err)
	}
	if n := len(fmt.Sprintf(reportFormat, "", true)); float64(n) != Current.ReportSize {
		t.Errorf("a report without a name has %d bytes, Current has %v", n, Current.ReportSize)
	}
	// Fields that sources does not list are sizes of encoded data, which TestSizes checks.
	for f := range reflect.TypeFor[ProgramLimits]().Fields() {
		isSize := strings.HasSuffix(f.Name, "TextSize") && f.Name != "MaxTextSize" || strings.HasSuffix(f.Name, "MessageSize") ||
			strings.HasSuffix(f.Name, "StatusSize") || f.Name == "ReportSize"
		if isSize == listed[f.Name] {
			t.Errorf("%s: listed in sources: %v", f.Name, listed[f.Name])
		}
	}
}

// source is the place of a limit in the source: a constant of a package, or an expression that its files must contain literally.
type source struct {
	name  string
	value float64
	dir   string // of the package, relative to the root of the repository
	expr  string // name of a constant, or the text of an expression
}

// sources lists the place of each limit.
func sources(p ProgramLimits) []source {
	return []source{
		{"MaxTextSize", p.MaxTextSize, "internal/policy/configstore", "maxTextSize"},
		{"MaxHistory", p.MaxHistory, "internal/policy/configstore", "maxHistory"},
		{"MaxProcesses", p.MaxProcesses, "internal/policy/configstore", "MaxProcesses"},
		{"MaxDocuments", p.MaxDocuments, "internal/policy/configstore", "maxDocuments"},
		{"MaxCallBody", p.MaxCallBody, "internal/transport/msgpackrpc", "MaxCallBody"},
		{"RequestOverhead", p.RequestOverhead, "internal/controlplane/quorum/member", "requestOverhead"},
		{"MaxStatusBody", p.MaxStatusBody, "internal/transport/msgpackrpc", "MaxCallBody"},
		{"MaxCallers", p.MaxCallers, "internal/policy/slowstart", "maxCallers"},
		{"MaxOpenItems", p.MaxOpenItems, "internal/policy/controller", "maxOpenItems"},
		{"MaxMemberConnections", p.MaxMemberConnections, "internal/controlplane/quorum/member", "maxConnections"},
		{"CompactAfterEntries", p.CompactAfterEntries, "internal/controlplane/quorum/member", "compactAfterEntries"},
		{"ElectionTicks", p.ElectionTicks, "internal/controlplane/quorum/member", "electionTicks"},
		{"IdleGrace", p.IdleGrace, "internal/transport/listener", "100 * time.Millisecond"},
		{"ReservedDescriptors", p.ReservedDescriptors, "internal/service", "reservedDescriptors"},
		{"MaxAdminConnections", p.MaxAdminConnections, "internal/transport/admin", "MaxConnections"},
		{"CallerShare", p.CallerShare, "internal/service", "n * 3 / 5"},
		{"UpstreamShare", p.UpstreamShare, "internal/service", "n * 2 / 5"},
		{"ReportInterval", p.ReportInterval, "internal/transport/loadreport", "200 * time.Millisecond"},
		{"GroupRetryInterval", p.GroupRetryInterval, "internal/controlplane/configwatch", "100 * time.Millisecond"},
		{"PollsWhileChanging", p.PollsWhileChanging, "internal/policy/configstore", "r.terms.TTL / 12"},
		{"PollsAtRest", p.PollsAtRest, "internal/policy/configstore", "r.terms.TTL / 3"},
		{"TenantParts", p.TenantParts, "internal/policy/cells", "TenantParts"},
		{"ServerParts", p.ServerParts, "internal/policy/cells", "ServerParts"},
		{"MaxDocumentSize", p.MaxDocumentSize, "internal/policy/configstore", "MaxDocumentSize"},
		{"MaxPartSize", p.MaxPartSize, "internal/policy/configstore", "MaxPartSize"},
		{"MaxViewSize", p.MaxViewSize, "internal/policy/configstore", "MaxViewSize"},
		{"MaxPartsAnswerSize", p.MaxPartsAnswerSize, "internal/policy/configstore", "MaxPartsAnswerSize"},
		{"RequestSpread", p.RequestSpread, "internal/policy/configstore", "2 * time.Second"},
		{"MaxSnapshotSize", p.MaxSnapshotSize, "internal/controlplane/quorum/member", "maxSnapshotBytes"},
		{"MaxCommandSize", p.MaxCommandSize, "internal/controlplane/quorum/member", "maxCommandBytes"},
		{"MaxPendingReads", p.MaxPendingReads, "internal/controlplane/quorum/member", "maxPending"},
	}
}

// parseDir parses the files of a package except its tests.
func parseDir(t *testing.T, fset *token.FileSet, dir string) (files []*ast.File) {
	t.Helper()
	names, err := filepath.Glob(dir + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(fset, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	return files
}

// containsExpr reports whether a file contains an expression with the given text.
func containsExpr(t *testing.T, fset *token.FileSet, f *ast.File, text string) (found bool) {
	ast.Inspect(f, func(n ast.Node) bool {
		if e, ok := n.(ast.Expr); ok && !found {
			var b bytes.Buffer
			if err := printer.Fprint(&b, fset, e); err != nil {
				t.Fatal(err)
			}
			found = b.String() == text
		}
		return !found
	})
	return found
}

// evalText evaluates an expression of sources: a duration in milliseconds, or the constant factor or divisor after a name.
func evalText(t *testing.T, text string) float64 {
	text, isDuration := strings.CutSuffix(text, " * time.Millisecond")
	if seconds, ok := strings.CutSuffix(text, " * time.Second"); ok {
		text, isDuration = seconds+" * 1000", true
	}
	if !isDuration {
		if _, after, ok := strings.Cut(text, " * "); ok {
			text = after
		} else if _, after, ok := strings.Cut(text, " / "); ok {
			text = after
		}
		text = strings.ReplaceAll(text, " / ", ".0 / ")
	}
	tv, err := types.Eval(token.NewFileSet(), nil, token.NoPos, text)
	if err != nil {
		t.Fatal(text, err)
	}
	v, _ := constant.Float64Val(constant.ToFloat(tv.Value))
	return v
}

// evalConstant evaluates the expression of a constant, with the constants of other packages of the program that it uses.
func evalConstant(t *testing.T, e ast.Expr) float64 {
	t.Helper()
	text := types.ExprString(e)
	ast.Inspect(e, func(n ast.Node) bool {
		x, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		selector := types.ExprString(x)
		pkg := types.ExprString(x.X)
		dirs, err := filepath.Glob("../../*/" + pkg)
		if err != nil {
			t.Fatal(err)
		}
		for _, dir := range append(dirs, "../../"+pkg) {
			for _, f := range parseDir(t, token.NewFileSet(), dir) {
				if c := findConstant(f, x.Sel.Name); c != nil {
					text = strings.ReplaceAll(text, selector, fmt.Sprint("(", types.ExprString(c), ")"))
				}
			}
		}
		return false
	})
	tv, err := types.Eval(token.NewFileSet(), nil, token.NoPos, text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	v, _ := constant.Float64Val(constant.ToFloat(tv.Value))
	return v
}

// findConstant returns the expression of a constant of a file, or nil.
func findConstant(f *ast.File, name string) (e ast.Expr) {
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			for i, id := range v.Names {
				if id.Name == name && i < len(v.Values) {
					e = v.Values[i]
				}
			}
		}
		return e == nil
	})
	return e
}
