// Package pressure estimates the load of an engine: what an additional query would find there, and whether a lock
// would block it. The estimate combines the engine's configured limits, its load reports, which arrive late, and the
// queries that this router has running there. Demand estimates for the fleet how many engines should load a table
// group and how many should read it.
//
// A router knows its own queries immediately, but those of other routers only from the engine's load reports. Every
// result is therefore an estimate that the next report corrects. The package has no clock and no randomness: callers
// pass times in milliseconds, from a monotonic clock.
package pressure
