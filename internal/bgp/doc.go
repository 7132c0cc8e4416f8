// Package bgp is a small BGP speaker (RFC 4271) for one neighbour: it announces the service's addresses while the
// router is ready and withdraws them while it drains. It accepts no routes. It runs in the router's loop and is not
// safe for concurrent use; its times are in the loop's milliseconds.
package bgp
