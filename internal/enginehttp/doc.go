// Package enginehttp is an HTTP/1.1 client for engines. It implements [router.EngineClient].
//
// An attempt sends the statement in a POST request, polls with long-poll GET requests until the engine reports that
// the query has ended, and then fetches the pages of the result. The POST is written at most once, even if its
// connection fails. Only polls and page requests are retried, because they execute nothing. Requests to all engines
// share one bounded connection pool.
//
// All code runs in the goroutine of the router's loop. Times are milliseconds of the loop's clock.
package enginehttp
