package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"silverpath"
)

// shape is the set of keys that a file gives, by path. Of an array of objects it has the keys that all of them give.
type shape map[string]bool

// shapeOf returns the shape of a file.
func shapeOf(v *fastjson.Value) shape {
	s := shape{}
	s.add("", v)
	return s
}

// add adds the keys of a value at a path.
func (s shape) add(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			if v.Type() == fastjson.TypeNull {
				return // as good as absent
			}
			at := strings.TrimPrefix(path+"."+string(key), ".")
			s[at] = true
			s.add(at, v)
		})
	case fastjson.TypeArray:
		var all shape
		for _, e := range v.GetArray() {
			one := shape{}
			one.add(path+"[]", e)
			if all == nil {
				all = one
			}
			maps.DeleteFunc(all, func(key string, _ bool) bool { return !one[key] })
		}
		if all != nil {
			s[path+"[]"] = true // there are elements
			maps.Copy(s, all)
		}
	}
}

// lacks names the first key of s that another shape lacks. What the elements of an array have is not asked of an
// empty one.
func (s shape) lacks(t shape) string {
	for _, key := range slices.Sorted(maps.Keys(s)) {
		list, _, inside := strings.Cut(key, "[]")
		emptyList := inside && t[list] && !t[list+"[]"]
		if !t[key] && !emptyList {
			return key
		}
	}
	return ""
}

// Replaces reports whether another configuration may take this one's place in a running service: it has to give every
// key that this one gives, so that a file that was cut down or written by hand changes nothing by what it leaves out.
func (c Config) Replaces(d Config) error {
	if key := c.shape.lacks(d.shape); key != "" {
		return fmt.Errorf("%s: missing, and the configuration in force has it", key)
	}
	for i, k := range d.Server.Classes {
		if k.Name == "" {
			return fmt.Errorf("settings.classes[%d].name: missing", i)
		}
		if k.Effect == silverpath.Idempotent && k.IdempotencyWindow <= 0 {
			return fmt.Errorf("settings.classes[%d].memory_span: not above 0", i)
		}
	}
	return nil
}
