// Package decide is the parent of the packages that make the decisions of the router and the keepers, one package for
// each subject. They hold state and rules without I/O, goroutines, clocks or randomness, so that a test can produce
// any order of events and replay it.
package decide
