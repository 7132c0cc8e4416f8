// Package capacity computes the resources that a fleet of a given size needs in each role (such as router, keeper or
// engine), and checks the tables of docs/CAPACITY.md and docs/design/capacity.md against the results. The inputs are
// slopes, which are costs that tests measured at several sizes, and figures of days that tests simulated. The package
// performs no I/O: its callers pass the text of the pages, of docs/capacity/slopes.json and of docs/capacity/scale.json.
package capacity
