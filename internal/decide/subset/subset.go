// Package subset chooses, without communication, which engines of a fleet each router uses: deterministic subsetting.
package subset

import (
	"math"
	"slices"
)

// maxRounds bounds how many candidates are looked at, in multiples of the number of items: some of them coincide.
const maxRounds = 4

// Choose returns the indices of the items that a router uses: size different ones out of items, in an order of the
// router's own. Routers are numbered from 0. Over all of them each item is chosen about as often as any other, and
// routers with neighbouring numbers get items that lie apart. If size is not below items, all are chosen, in order.
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
