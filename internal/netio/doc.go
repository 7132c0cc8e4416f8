// Package netio provides TCP connections and listeners on top of nbio's poller. The methods of a [Handler] are called
// only in the goroutine of the router's loop, and the methods of a [Conn] never block.
//
// The poller reads in its own goroutine and posts the bytes to the loop. The number of bytes that were read and not yet
// handled is limited; at the limit the poller waits for the loop. A registrar registers new connections with the
// poller. It prevents events of a closed connection from reaching a new connection with the same descriptor.
package netio
