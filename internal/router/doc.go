// Package router is the core of the query router: requests, attempts, timers, the endpoint table and the counters.
// It is independent of wire protocols. Fronts submit requests and get exactly one final answer for each; engine clients
// execute the attempts; the dispatch module (package dispatch) makes every decision.
//
// Core coordinates the following parts, and passes events and actions between them and the dispatch module:
//
//   - requestTable holds the open requests,
//   - requestIDs holds the request ids that a new request must not use,
//   - attemptTracker runs attempts on the engine client,
//   - responder sends the final answers,
//   - endpointTable holds the listed engines and their addresses,
//   - eventQueue collects events for the dispatch module during a step of the loop.
//
// All parts run in the goroutine of one Loop, which does not depend on them. Times are float64 milliseconds on the
// loop's clock unless a name or type states otherwise.
package router
