// Package configclient is the router's client of the keepers. It long-polls one keeper for newer revisions of the
// configuration, has the router apply them, and reports the outcome with the next call. It saves the last revision in
// force to disk, so that a router can start while no keeper answers. It runs in its own goroutines, and the event loop
// of the router never waits for them. Package configlog decides which updates to accept and which keeper to poll.
package configclient
