// Package hotrestartipc connects the processes of a router that is being restarted without downtime. A process
// acquires a slot among the processes of its router: a Unix socket on which later processes find it, a lock that
// shows whether it lives, and a folder of cordons that all of them share. Two processes exchange framed messages,
// with file descriptors where needed, over a link. What the messages mean is up to the caller; package hotrestart
// decides who sends which.
package hotrestartipc
