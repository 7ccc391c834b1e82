// Benchlink hosts instances of the decision module for the bench. It reads and writes the bench's wire format on standard
// input and output, and logs to standard error.
package main

import (
	"log"
	"os"

	"silverpath/internal/transport/simulator"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("benchlink: ")
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		log.Fatal(err)
	}
}
