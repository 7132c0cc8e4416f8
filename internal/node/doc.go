// Package node runs a router process: it connects the router's components, handles signals and reloads, and takes the
// process from its start, by a hot restart if a predecessor is running, to its graceful shutdown.
//
// Everything in this package belongs to the goroutine of the router's event loop, unless a comment says otherwise. The
// type node connects the types that do the work:
//
//   - coordinator drives the state machine of package hotrestart; peerLinks holds the process slot and the links to the
//     router's other processes;
//   - listeners opens, inherits and hands over the sockets on which the router accepts;
//   - cordonStore keeps the engines that operators cordoned, for all processes of the router;
//   - idClaims and usageExchange carry what two processes request from and report to each other while both run;
//   - shutdownSequence ends the process gracefully, and stallDetector detects that the event loop stalled;
//   - limiter, configurator and keeperSync apply settings; adminBackend and statusReporter answer operators.
//
// A subsystem that can be turned off registers itself once, as a part (part.go).
package node
