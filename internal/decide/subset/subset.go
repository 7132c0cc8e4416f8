// Package subset chooses which engines of a fleet each router uses, by deterministic subsetting: the routers do not
// communicate.
package subset

import (
	"math"
	"slices"
)

// maxRounds limits how many candidates are tried, in multiples of the number of items. More than one round is needed
// since several candidates may be the same item.
const maxRounds = 4

// Choose returns the indices of the items that a router uses: size different indices below items, in an order that
// depends on the router. Routers are numbered from 0. Over all routers each item is chosen about equally often, and
// routers with adjacent numbers get items that are far apart. If size is at least items, all indices are returned in
// ascending order.
func Choose(router, routers, items, size int) []int {
	chosen := make([]int, 0, max(min(size, items), 0))
	if size >= items {
		for i := range items {
			chosen = append(chosen, i)
		}
		return chosen
	}
	for k := 0; len(chosen) < size && k < maxRounds*items; k++ {
		_, position := math.Modf(float64(router)/float64(max(routers, 1)) + float64(k)*math.Phi)
		if item := int(position * float64(items)); !slices.Contains(chosen, item) {
			chosen = append(chosen, item)
		}
	}
	return chosen
}
