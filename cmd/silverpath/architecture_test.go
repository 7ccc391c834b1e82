package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	packagePattern  = regexp.MustCompile("`((?:internal|cmd)/[a-z/-]+)`")
	functionPattern = regexp.MustCompile("`((?:internal|cmd)/[a-z/-]+|\\.)`: `([A-Za-z.]+)`")
)

// Guards against outdated names in docs/ARCHITECTURE.md. Every package on the page exists and declares the
// functions that are listed with it, and every package of internal and cmd is on the page.
func TestArchitecture(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "ARCHITECTURE.md"))
	if err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for _, m := range packagePattern.FindAllStringSubmatch(string(page), -1) {
		named[m[1]] = true
		if !matchesGoFiles(t, filepath.Join(root, m[1], "*.go")) && !matchesGoFiles(t, filepath.Join(root, m[1], "*", "*.go")) {
			t.Errorf("docs/ARCHITECTURE.md names %s, which is not a package", m[1])
		}
	}
	functions := functionPattern.FindAllStringSubmatch(string(page), -1)
	if len(functions) == 0 {
		t.Error("docs/ARCHITECTURE.md names no function")
	}
	for _, m := range functions {
		receiver, name, method := strings.Cut(m[2], ".")
		declaration := `(?m)^func ` + receiver + `[(\[]`
		if method {
			declaration = `(?m)^func \([a-z]\w* \*?` + receiver + `\) ` + name + `\(`
		}
		if !regexp.MustCompile(declaration).MatchString(packageSource(t, filepath.Join(root, m[1]))) {
			t.Errorf("docs/ARCHITECTURE.md names %s, which %s does not declare", m[2], m[1])
		}
	}
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			name, _ := filepath.Rel(root, path)
			if name = filepath.ToSlash(name); !named[name] && matchesGoFiles(t, filepath.Join(path, "*.go")) {
				t.Errorf("docs/ARCHITECTURE.md does not name package %s", name)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// packageSource returns the concatenated non-test files of a package. It returns an empty text if there are
// none.
func packageSource(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(text)
	}
	return all.String()
}

// matchesGoFiles reports whether any Go file, including tests, matches a pattern.
func matchesGoFiles(t *testing.T, pattern string) bool {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	return len(files) > 0
}
