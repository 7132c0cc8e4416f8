// Package mysql is the front for clients that speak the MySQL client protocol 4.1.
//
// A session cuts the bytes of a connection into packets, checks the login, and reads requests from the fields in the
// comment that a query starts with. It submits them to the router's core and writes the core's answer; one request of a
// session is open at a time. A [Front] keeps the sessions and their bounds. Everything runs in the goroutine of the
// router's loop; times are milliseconds of the loop's clock.
package mysql
