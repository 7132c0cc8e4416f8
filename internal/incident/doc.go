// Package incident joins the records of several routers into one timeline: the offset of each process's clock, the
// states of each engine, and the incidents, in which requests lost more value than usual, with the classes and
// tenants that they affected. It opens no file and reads no clock: records are handed to a Joiner.
package incident
