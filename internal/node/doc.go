// Package node runs a router: it wires the parts together, handles signals and the settings, and takes the process from
// its start, by a hot restart beside a predecessor where there is one, to its graceful shutdown.
//
// Everything below belongs to the goroutine of the router's event loop, unless its comment says otherwise. node wires
// the types that do the work, each of which holds only what it needs:
//
//   - coordinator drives the state machine of package hotrestart; peerLinks has the process slot and the links;
//   - listeners opens, inherits and hands over the sockets on which the router accepts;
//   - cordonStore keeps the engines that operators cordoned, for all processes of the router;
//   - idClaims and usageExchange are what two processes request and report while both live;
//   - shutdownSequence drains or leaves, and stallDetector detects that the loop stalled;
//   - limiter, configurator and keeperSync put settings in force; adminBackend and statusReporter answer operators.
//
// A subsystem that can be turned off registers itself once, as a part (part.go).
package node
