// Package router is the core of the query router: requests, attempts, timers, the endpoint table and the counters.
// It knows no wire protocol. Fronts submit requests and get exactly one final answer for each; engine clients carry
// the attempts out; the dispatch module (package dispatch) makes every decision.
//
// Core coordinates the parts and passes events and actions between them and the dispatch module:
//
//   - requestTable holds the open requests, requestIDs the ids that must not begin here,
//   - attemptTracker runs attempts on the engine client,
//   - responder sends the final answers,
//   - endpointTable holds the listed engines and their addresses,
//   - eventQueue gathers events for the dispatch module during a step.
//
// All of it runs in the goroutine of one Loop, which knows none of these types. Times are float64 milliseconds on the
// loop's clock unless a name or type says otherwise.
package router
