// Package bgp implements a minimal BGP speaker (RFC 4271) with one neighbour. It announces the prefixes of the service
// while the router is ready and withdraws them while the router drains. It ignores the routes that it receives. It runs
// in the router's loop and is not safe for concurrent use. Times are in milliseconds of the loop's clock.
package bgp
