// Package dispatch makes the decisions of one router in front of query engines with limited memory: which engine runs a
// query, when, with what memory grant and priority, and when to retry, cancel, reject or fail it.
//
// A Controller handles one event at a time, with the time at which it happened, and returns the actions to carry out.
// It does no I/O, starts no goroutine and reads no clock. Its random numbers derive from the seed in Config. Each
// component keeps its state in files of its own:
//
//   - endpoints.go, cordons.go: the endpoint list and the engines cordoned by operators
//   - estimates.go: service time estimates of each class
//   - outliers.go, health.go: outlier detection, ejection and backoff
//   - warmup.go: slow start of engines that have just started
//   - capacity.go, usage.go: capacity, congestion and the work that this router runs
//   - quotas.go: quotas of the tenants
//   - queues.go: class queues and their delay-ratio release (LaPadula's delay-ratio control, see Segal, ITC 9)
//   - selection.go, subset.go: engine selection by subset, affinity and the power of two choices
//   - retries.go, ordering.go: which requests may be sent, sent again or rejected
//   - deadlines.go, polling.go: timers, deadlines and polling of discovery
//   - hotrestart.go: state that the two processes of one router exchange
//
// Controller, in controller.go, passes each event to the components that it concerns: requestTracker (requests.go,
// attempts.go) manages requests, fleetState (fleet.go) keeps the components with state for each engine consistent, and
// outcomeLearner (outcomes.go) updates estimates from the outcomes of attempts. Mechanisms that do not depend on this
// package are in the packages below internal/decide.
package dispatch
