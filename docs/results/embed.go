// Package results holds what was measured, as far as the program itself computes with it.
package results

import (
	"embed"
	"encoding/json"
	"fmt"

	"silverpath/internal/policy/capacity"
)

//go:embed scale*.json
var files embed.FS

// The files with figures by size: of the program as it is, and as it was before documents went in parts.
const (
	Scale = "scale.json"
	Was   = "scale-was.json"
)

// Read returns what was measured. Where nothing was kept of the program as it was, that of the program as it is stands for it.
func Read(name string) (capacity.Results, error) {
	data, err := files.ReadFile(name)
	if err != nil && name == Was {
		name = Scale
		data, err = files.ReadFile(name)
	}
	if err != nil {
		return capacity.Results{}, err
	}
	return Parse(name, data)
}

// Parse reads the text of such a file.
func Parse(name string, data []byte) (r capacity.Results, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%s: %w", name, err)
	}
	return r, r.Check()
}
