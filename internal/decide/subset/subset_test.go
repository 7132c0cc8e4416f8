package subset

import (
	"slices"
	"testing"
)

// Each item is chosen by about as many routers, and no router gets one twice or one that is not there.
func TestChoose(t *testing.T) {
	for _, k := range []struct{ routers, items, each, least, most int }{
		{300, 80, 14, 45, 60},
		{250, 60, 8, 29, 38},
		{4, 8, 8, 4, 4},
		{3, 5, 9, 3, 3},
		{1, 0, 4, 0, 0},
		{0, 3, 1, 0, 1},
	} {
		users := make([]int, k.items)
		for i := range max(k.routers, 1) {
			chosen := Choose(i, k.routers, k.items, k.each)
			if len(chosen) != min(k.each, k.items) {
				t.Errorf("%+v: router %d got %d items", k, i, len(chosen))
			}
			for j, item := range chosen {
				if users[item]++; slices.Contains(chosen[:j], item) {
					t.Errorf("%+v: router %d got item %d twice", k, i, item)
				}
			}
		}
		for item, n := range users {
			if n < k.least || n > k.most {
				t.Errorf("%+v: item %d was chosen %d times", k, item, n)
			}
		}
	}
}
