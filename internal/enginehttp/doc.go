// Package enginehttp is the HTTP/1.1 client of the engines. It implements [router.EngineClient].
//
// An attempt starts with a POST of the statement, continues with long polls until the engine reports that the query
// has ended, and then fetches the pages of the result. The POST is written at most once, whatever happens to its
// connection; only polls, which run nothing, are retried. Requests to all engines share one bounded pool of
// connections.
//
// Everything runs in the goroutine of the router's loop. Times are milliseconds of the loop's clock.
package enginehttp
