// Package configclient is the router's client of the keepers. It long-polls one of them for newer revisions
// of the configuration, has the router apply them, reports the result with the next call, and saves the last revision
// in force to disk, for a start at which no keeper answers. It runs in goroutines of its own, for which the router's
// event loop never waits. Package configlog decides which updates to accept and which keeper to poll.
package configclient
