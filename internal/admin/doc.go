// Package admin serves the operators' HTTP API: whether the router is ready, its telemetry, and the cordons of
// engines. It is a small HTTP/1.1 server in the router's loop that takes one request a connection. What it answers
// is provided by its Backend.
package admin
