// Package slowstart divides the rate at which a warming engine may be sent work among many routers that do not
// communicate. The share of one router may be too small to be useful: a three-hundredth of what an engine may be sent
// in a second is less than one query. Each router's budget therefore accumulates until it covers a quantum, that is,
// one complete query. The router may use the quantum for a limited time; an unused quantum expires.
//
// The budgets of the routers start at fractions of the first quantum that are spread evenly between 0 and 1. In any
// span of time, all routers together therefore receive the quanta that the rate yields in that span, with a deviation
// of at most one quantum, and these quanta are spread evenly over the span. A router that restarts or joins late starts
// again at its fraction, so it never receives a burst or more than the rate allows.
//
// The rate may change over time, since an engine can take more work as it warms up. A quantum is due when the integral
// of the rate since the previous quantum reaches 1, however often the budget is called. Since this time is known in
// advance, the few budgets that are due can be found without checking all of them.
//
// The package has no clock and no randomness: callers pass times in milliseconds, from a monotonic clock.
package slowstart
