// Package hotrestart decides how one process of a router replaces another: which process requests the state of which,
// which one accepts clients, which share of the router's limits each may use, and which one ends. It is a pure state
// machine: events and the time go in, effects come out. Sockets, files and timers belong to the caller. The reasons
// for the protocol are in docs/design/hot-restart.md.
//
// The processes of a router are ordered by their starts. Each process calls only its predecessor, the newest living
// process that started before it, and at most two processes take part in a hot restart at a time: a third has to
// retry (MessageWait). The invariants are:
//
//   - A process that has found a living predecessor never serves as if there were none. While the predecessor is
//     silent, the process reports that it is not ready. When the silence has lasted too long it serves within the
//     reserve that every process leaves for a successor (PhaseDegraded), with all cordons in force (they are stored in
//     a folder that the processes share), and takes no work that must not run twice.
//   - The predecessor stops accepting because of a message only. The successor accepts once it has the predecessor's
//     go-ahead, once the predecessor has ended, or once the predecessor has been silent for so long that it hangs.
//   - While two processes accept work that must not run twice, each begins it only with the other one's consent
//     (Machine.IDGranter).
package hotrestart
