// Package hotrestart decides how one process of a router replaces another during a hot restart: which process requests
// state from which, which process accepts clients, which share of the router's limits each may use, and which process
// ends. It is a pure state machine: it takes events and the time, and returns effects. The caller owns sockets, files
// and timers. docs/design/hot-restart.md gives the reasons for the protocol.
//
// The processes of a router are ordered by their start. Each process calls only its predecessor, the newest living
// process that started before it. At most two processes take part in a hot restart at a time; a third is told to retry
// (MessageWait). The invariants are:
//
//   - A process that has found a living predecessor never serves as if there were none. While the predecessor is
//     silent, the process reports that it is not ready. When a timeout has passed, it serves within the reserve that
//     every process leaves for a successor (PhaseDegraded). All cordons then stay in force, since they are stored in a
//     folder that the processes share, and the process accepts no work that must not run twice.
//   - The predecessor stops accepting only when a message tells it to. The successor accepts when it has received the
//     predecessor's go-ahead, when the predecessor has ended, or when the predecessor has been silent for so long that
//     it counts as hanging.
//   - While two processes accept work that must not run twice, each starts such work only with the consent of the
//     other (Machine.IDGranter).
package hotrestart
