// Package decide is the parent of the packages that make decisions for the subsystems, one package each: state and rules
// without I/O, goroutines, clocks or randomness, so that a test can bring about any order of events and replay it.
package decide
