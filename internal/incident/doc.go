// Package incident joins the records of several routers into one timeline. The timeline has the clock offset of each
// process, the states of each engine, and the incidents: time ranges in which requests lost more value than usual, with
// the classes and tenants that they affected. The package opens no files and does not read the system clock; its caller
// passes the records to a Joiner.
package incident
