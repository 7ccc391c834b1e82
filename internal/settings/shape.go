package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"silverpath"
)

// keySet is the set of keys in a file, by path. For an array of objects it contains the keys that all of the objects have.
type keySet map[string]bool

// keySetOf returns the keys of a file.
func keySetOf(v *fastjson.Value) keySet {
	s := keySet{}
	s.add("", v)
	return s
}

// add adds the keys of the value at a path.
func (s keySet) add(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			if v.Type() == fastjson.TypeNull {
				return // same as absent
			}
			keyPath := strings.TrimPrefix(path+"."+string(key), ".")
			s[keyPath] = true
			s.add(keyPath, v)
		})
	case fastjson.TypeArray:
		var common keySet
		for _, e := range v.GetArray() {
			element := keySet{}
			element.add(path+"[]", e)
			if common == nil {
				common = element
			}
			maps.DeleteFunc(common, func(key string, _ bool) bool { return !element[key] })
		}
		if common != nil {
			s[path+"[]"] = true // marks a non-empty array
			maps.Copy(s, common)
		}
	}
}

// firstMissing returns the first key of s that is missing in other, or "". Keys of array elements are not required if the array is
// empty in other.
func (s keySet) firstMissing(other keySet) string {
	for _, key := range slices.Sorted(maps.Keys(s)) {
		array, _, inArray := strings.Cut(key, "[]")
		emptyList := inArray && other[array] && !other[array+"[]"]
		if !other[key] && !emptyList {
			return key
		}
	}
	return ""
}

// CheckReplacement returns an error if next must not replace this configuration in a running service. Next has to contain every key of this
// one, so that a truncated or incomplete file does not reset the settings that it omits.
func (c Config) CheckReplacement(next Config) error {
	if key := c.keys.firstMissing(next.keys); key != "" {
		return fmt.Errorf("%s: missing, and the configuration in force has it", key)
	}
	for i, k := range next.Server.Classes {
		if k.Name == "" {
			return fmt.Errorf("settings.classes[%d].name: missing", i)
		}
		if k.Effect == silverpath.Idempotent && k.IdempotencyWindow <= 0 {
			return fmt.Errorf("settings.classes[%d].memory_span: not above 0", i)
		}
	}
	return nil
}
