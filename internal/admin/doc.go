// Package admin serves the HTTP API for operators: the readiness of the router, its telemetry, and cordoning and
// uncordoning of engines. It is a small HTTP/1.1 server that runs in the router's loop and handles one request per
// connection. A Backend provides the content of the responses.
package admin
