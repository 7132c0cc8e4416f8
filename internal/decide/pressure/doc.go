// Package pressure estimates how loaded an engine is, from what the settings say that it has, from its load reports,
// which come late, and from what this router has running there: what one more query would meet there, and whether a
// lock would block it. Demand estimates for the fleet how many engines should load a table group, and how many read it.
//
// Each router knows its own queries at once and those of others only by the engine's reports, so each answer is an
// estimate that a report corrects. The package has no clock and no randomness: callers pass times in milliseconds, on a
// clock that does not go back.
package pressure
