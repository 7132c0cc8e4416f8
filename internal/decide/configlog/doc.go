// Package configlog decides how a configuration with revisions reaches the routers. Its parts are:
//
//   - Log, the replicated, revisioned log of changes as each keeper has it: the document in force, the retained
//     history, the members and the IDs of applied changes. Replicas that apply the same calls in the same order are
//     equal.
//   - Leases, the follower processes that one keeper counts as alive.
//   - Log.Convergence, which returns where a revision is in force by the leases of all keepers.
//   - Follower, the router's side: it validates updates, has one revision in force and selects the keeper to call.
//
// The package reads no clock, draws no random numbers and does no I/O: times are parameters in milliseconds, jitter
// is a number from 0 to 1. None of its types may be used by two goroutines at once.
package configlog
