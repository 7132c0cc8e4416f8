// Package backoff decides for how long a router stops using an engine that did not answer, or a zone whose engines may
// have failed together. Each consecutive failure doubles the backoff, up to a maximum; a success ends it.
//
// Without backoffs, the retries of many routers to a failed engine would add up to a retry storm, and each router
// would have to discover the loss of a zone engine by engine.
//
// The package has no clock and no randomness: callers pass the jitter, and times and backoff lengths in milliseconds.
package backoff
