//go:build race

package main

// raceEnabled reports whether the race detector is on. It multiplies the memory of the processes under test.
const raceEnabled = true
