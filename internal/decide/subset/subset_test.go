package subset

import (
	"slices"
	"testing"
)

// Checks that all items are chosen by about the same number of routers, and that no router gets an item twice or an
// index out of range. Guards against engines that are used by too many routers or by none.
func TestChoose(t *testing.T) {
	for _, k := range []struct{ routers, items, size, minUsers, maxUsers int }{
		{300, 80, 14, 45, 60},
		{250, 60, 8, 29, 38},
		{4, 8, 8, 4, 4},
		{3, 5, 9, 3, 3},
		{1, 0, 4, 0, 0},
		{0, 3, 1, 0, 1},
	} {
		users := make([]int, k.items)
		for i := range max(k.routers, 1) {
			chosen := Choose(i, k.routers, k.items, k.size)
			if len(chosen) != min(k.size, k.items) {
				t.Errorf("%+v: router %d got %d items, want %d", k, i, len(chosen), min(k.size, k.items))
			}
			for j, item := range chosen {
				if users[item]++; slices.Contains(chosen[:j], item) {
					t.Errorf("%+v: router %d got item %d twice", k, i, item)
				}
			}
		}
		for item, n := range users {
			if n < k.minUsers || n > k.maxUsers {
				t.Errorf("%+v: item %d was chosen %d times, want %d to %d", k, item, n, k.minUsers, k.maxUsers)
			}
		}
	}
}
