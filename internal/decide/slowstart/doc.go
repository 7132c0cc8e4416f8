// Package slowstart divides the rate at which a warming engine may be sent work among many routers that do not
// communicate. One router's part of it may be too small to be of use: a three-hundredth of what an engine may be sent
// in a second is less than one query. So each router's budget accumulates until it covers a quantum, a complete query,
// which the router may use for a limited time; unused quanta expire.
//
// The budgets of the routers begin at fractions of the first quantum that lie evenly between 0 and 1. In any span of
// time, all routers together therefore receive what the rate amounts to in that span, within one quantum, and receive
// it evenly. A router that restarts or joins late begins at its fraction again: it never receives more than the rate
// allows, and no burst.
//
// The rate may change over time, as an engine takes more while it warms up. A quantum is due when the integral of the
// rate since the previous one reaches 1, however often the budget is called; so the few budgets out of many that are
// due can be found by their times.
//
// The package has no clock and no randomness: callers pass times in milliseconds, on a clock that does not go back.
package slowstart
