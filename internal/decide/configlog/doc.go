// Package configlog implements the revisioned configuration that keepers replicate and routers follow:
//
//   - Log is a keeper's replica of the revisioned log of changes. It holds the document in force, the retained
//     history, the members and the IDs of applied changes. Replicas that apply the same calls in the same order are
//     identical.
//   - Leases tracks the follower processes that one keeper counts as running.
//   - Log.Convergence reports where a revision is in force, from the leases of all keepers.
//   - Follower is the router's side: it validates updates, holds the revision in force and selects the keeper to call.
//
// The package reads no clock, draws no random numbers and does no I/O: callers pass times in milliseconds and jitter as
// a number from 0 to 1. The types are not safe for concurrent use.
package configlog
