// Silverpath-quorum runs members of the group and owners of duties: see docs/quorum.md.
package main

import (
	"fmt"
	"os"

	"silverpath/internal/controlplane/quorum/member"
)

func main() {
	if err := member.Command().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "silverpath: %v\n", err)
		os.Exit(1)
	}
}
