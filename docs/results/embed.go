// Package results embeds the measurements that the program computes with.
package results

import (
	"embed"
	"encoding/json"
	"fmt"

	"silverpath/internal/policy/capacity"
)

//go:embed scale*.json
var files embed.FS

// The files with measurements by fleet size: Scale for the current program, and Was for the program before documents were
// replicated in parts.
const (
	Scale            = "scale.json"
	ScaleBeforeParts = "scale-was.json"
)

// Read returns the measurements in an embedded file. If Was is missing, it returns those in Scale instead. It returns an error
// if the file doesn't exist or is invalid.
func Read(name string) (capacity.Results, error) {
	data, err := files.ReadFile(name)
	if err != nil && name == ScaleBeforeParts {
		name = Scale
		data, err = files.ReadFile(name)
	}
	if err != nil {
		return capacity.Results{}, err
	}
	return Parse(name, data)
}

// Parse decodes and checks the text of a file of measurements. The name is used in errors.
func Parse(name string, data []byte) (r capacity.Results, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%s: %w", name, err)
	}
	return r, r.Check()
}
