//go:build race

package main

// raced: the race detector multiplies the memory of the processes under test.
const raced = true
