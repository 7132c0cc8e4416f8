// Package capacity computes what a fleet of a given size demands of each role, from slopes that tests measured and
// days that tests simulated, and checks the tables of docs/CAPACITY.md and docs/design/capacity.md against it. It is
// pure: it works on the text of the pages, of docs/capacity/slopes.json and of docs/capacity/scale.json, and reads no
// files.
package capacity
