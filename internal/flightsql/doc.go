// Package flightsql is the Arrow Flight SQL side of the router: a [Front] for clients that speak it, and a [Client] for
// engines that do. Both follow the core's rules and decide nothing by themselves.
//
// A query is two calls: GetFlightInfo checks it and returns a ticket, and DoGet redeems the ticket and runs the
// query. A ticket lives in one process of the router at a time; that of a statement that must not run twice is
// redeemed once. An update is one call, DoPut.
//
// The calls of clients, and the attempts at engines, run in goroutines of gRPC's or of their own; all that touches the
// core is posted to the router's loop. Times are milliseconds of the loop's clock.
package flightsql
