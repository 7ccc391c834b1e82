package configstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Difference is a field in which two documents differ. In its path, an array element that has a name is identified by the name.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"` // empty: the field is new
	New  string `json:"new,omitempty"` // empty: the field was removed
	Kind string `json:"kind"`
	kind Kind
}

// Diff returns the fields in which two texts of a document differ. Either text may be empty. Any other text must be JSON.
func Diff(doc, old, text string) (list []Difference, err error) {
	var a, b any
	for _, input := range []struct {
		text  string
		value *any
	}{{old, &a}, {text, &b}} {
		if input.text == "" {
			*input.value = map[string]any{}
		} else if err := json.Unmarshal([]byte(input.text), input.value); err != nil {
			return nil, fmt.Errorf("%s: not JSON: %w", doc, err)
		}
	}
	walkDifferences("", a, b, func(path string, old, new any) {
		k := KindOf(doc, path)
		list = append(list, Difference{path, toJSON(old), toJSON(new), k.String(), k})
	})
	slices.SortFunc(list, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return list, nil
}

// DiffParts returns the fields in which changed parts differ from the old ones. It compares only parts whose digests differ.
func DiffParts(doc string, old map[string]Part, changed map[string]string) (list []Difference, err error) {
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if previous, ok := old[name]; ok && previous.Digest == PartDigest(changed[name]) {
			continue
		}
		differences, err := Diff(doc, old[name].Text, changed[name])
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		list = append(list, differences...)
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return list, nil
}

// HasExclusive reports whether a change includes an exclusive field, which must stop everywhere before it begins anywhere. A field of
// unknown kind counts as exclusive.
func HasExclusive(list []Difference) bool {
	return slices.ContainsFunc(list, func(d Difference) bool { return d.kind == KindExclusive || d.kind == KindUnknown })
}

// FirstDependent returns the first field of a change that canaries can't act on alone, or "" if there is none.
func FirstDependent(list []Difference) string {
	for _, d := range list {
		if d.kind != KindIndependent {
			return d.Path
		}
	}
	return ""
}

func toJSON(v any) string {
	if v == nil {
		return ""
	}
	b, _ := json.Marshal(v)
	return string(b)
}

// walkDifferences calls fn for every leaf that differs.
func walkDifferences(path string, a, b any, fn func(path string, a, b any)) {
	switch x := firstNonNil(a, b).(type) {
	case map[string]any:
		aFields, _ := a.(map[string]any)
		bFields, _ := b.(map[string]any)
		for key := range unionKeys(aFields, bFields) {
			walkDifferences(strings.TrimPrefix(path+"."+key, "."), aFields[key], bFields[key], fn)
		}
	case []any:
		aElements, bElements := elementsByName(a), elementsByName(b)
		for key := range unionKeys(aElements, bElements) {
			walkDifferences(path+"["+key+"]", aElements[key], bElements[key], fn)
		}
	default:
		_ = x
		if !equalLeaves(a, b) {
			fn(path, a, b)
		}
	}
}

// equalLeaves compares two leaves. Scalars, most of which are equal, are compared without encoding them.
func equalLeaves(a, b any) bool {
	switch x := a.(type) {
	case string, float64, bool:
		switch b.(type) {
		case string, float64, bool:
			return x == b
		}
	}
	return toJSON(a) == toJSON(b)
}

func firstNonNil(a, b any) any {
	if a != nil {
		return a
	}
	return b
}

func unionKeys(a, b map[string]any) map[string]bool {
	keys := map[string]bool{}
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	return keys
}

// elementsByName returns the elements of an array by their names, or by their indexes if they have none.
func elementsByName(v any) map[string]any {
	list, _ := v.([]any)
	elements := map[string]any{}
	for i, element := range list {
		key := strconv.Itoa(i)
		if object, ok := element.(map[string]any); ok {
			if name, ok := object["name"].(string); ok {
				key = name
			}
		}
		elements[key] = element
	}
	return elements
}
