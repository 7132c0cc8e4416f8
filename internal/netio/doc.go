// Package netio provides TCP connections and listeners on top of nbio's poller. A [Handler] is called in the
// goroutine of the router's loop only, and no call of a [Conn] blocks.
//
// The poller reads in a goroutine of its own and posts what it read to the loop. Bytes that were read and not handled
// yet are bounded: beyond the bound the poller waits for the loop. New connections are registered with the poller by
// a registrar, which keeps the events of a closed connection from reaching a new one with the same descriptor.
package netio
