// Benchlink hosts instances of the decision module for the bench: its wire on standard input and output,
// its own messages on standard error.
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
