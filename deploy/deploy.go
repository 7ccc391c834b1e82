// Package deploy holds example files for operators. It embeds the ones that the program uses as defaults if no file is
// given.
package deploy

import _ "embed"

// Try is the default configuration, used if none is given. A built-in worker executes its requests.
//
//go:embed try.json
var Try []byte

// Edge is the default edge file. It configures pools, the reserve and status requests for the classes of Try.
//
//go:embed edge.json
var Edge []byte

// Target is the default target of the capacity command, the load that a fleet must carry: see docs/CAPACITY.md.
//
//go:embed target.json
var Target []byte
