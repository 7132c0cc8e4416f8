// Package hotrestartipc is the communication between the processes of a router during a hot restart, which replaces a
// process without downtime. Each process acquires a slot among the processes of its router: a Unix socket on which
// later processes connect to it, a lock that shows whether it is alive, and a folder of cordons that all processes
// share. Two processes exchange framed messages, some with file descriptors, over a link. The caller defines what the
// messages mean; package hotrestart decides which process sends which message.
package hotrestartipc
