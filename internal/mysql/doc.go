// Package mysql implements the router's front for clients of the MySQL client/server protocol 4.1.
//
// Each connection is a session. It splits the received bytes into packets, checks the login, and builds each request
// from the statement and the fields in the comment at its start. It submits the request to the router's core and writes
// the core's answer to the client. A session has at most one open request. A [Front] manages the sessions and enforces
// limits on their number and buffered bytes. All code runs in the goroutine of the router's loop. Times are in
// milliseconds of the loop's clock.
package mysql
