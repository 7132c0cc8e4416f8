// Package flightsql implements Arrow Flight SQL for the router: a [Front] serves clients, and a [Client] runs attempts
// at engines. All routing decisions are made by the router's core.
//
// A query takes two calls: GetFlightInfo checks the query and returns a ticket, and DoGet redeems the ticket and runs
// the query. A ticket is in one process of the router at a time. The ticket of an at-most-once statement can be
// redeemed once. An update takes one call, DoPut.
//
// Calls of clients run in goroutines of gRPC, and attempts at engines in goroutines of their own. Everything that uses
// the core is posted to the router's loop. Times are in milliseconds of the loop's clock.
package flightsql
