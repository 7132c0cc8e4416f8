// Package dispatch makes the decisions of one router in front of query engines with limited memory: which engine runs a
// query, when, with what memory grant and priority, and when to retry, cancel, reject or fail it.
//
// A Controller handles one event at a time, together with the time, and returns the actions to carry out. It does no
// I/O, starts no goroutine and reads no clock; its randomness derives from the seed in Config. Each part of the
// decision has its state in a file of its own:
//
//   - endpoints.go, cordons.go: the endpoint list and the engines cordoned by operators
//   - estimates.go: service time estimates of each class
//   - outliers.go, health.go: outlier detection, ejection and backoff
//   - warmup.go: slow start of engines that have just started
//   - capacity.go, usage.go: capacity, congestion and the work that this router runs
//   - quotas.go: the tenants' quotas
//   - queues.go: class queues and their delay-ratio release (LaPadula's delay-ratio control, see Segal, ITC 9)
//   - selection.go, subset.go: engine selection by subset, affinity and the power of two choices
//   - retries.go, ordering.go: which requests may be sent, sent again or rejected
//   - deadlines.go, polling.go: timers, deadlines and polling of discovery
//   - hotrestart.go: state that the two processes of one router exchange
//
// Controller, in controller.go, passes each event to the parts it concerns: requestTracker (requests.go, attempts.go)
// follows requests, fleetState (fleet.go) synchronizes the parts that know engines, and outcomeLearner (outcomes.go)
// learns from attempts. Independent mechanisms are in the packages under internal/decide.
package dispatch
