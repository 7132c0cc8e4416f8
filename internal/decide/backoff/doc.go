// Package backoff decides how long not to use an engine that did not answer, or a zone whose engines may have been cut
// off together. Each failure in a row doubles the backoff, up to a bound; a success ends it. Backoffs keep many routers
// that each retry a failed engine a little from adding up to a retry storm, and each of them from finding out engine by
// engine that a zone is lost.
//
// The package has no clock and no randomness: callers pass times and backoffs in milliseconds, and the jitter.
package backoff
