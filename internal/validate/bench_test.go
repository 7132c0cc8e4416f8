package validate

import (
	"fmt"
	"os"
	"testing"

	"windflow/internal/settings"
)

// BenchmarkEntries measures the validation of a revision on top of a router's own file, for several numbers of tenants.
// Routers validate outside the event loop.
func BenchmarkEntries(b *testing.B) {
	base, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		b.Fatal(err)
	}
	for _, tenants := range []int{4, 1000, 10000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			entries := map[string]settings.Value{}
			for i := range tenants {
				entries[fmt.Sprintf("/settings/parties/tenant-%05d", i)] = settings.Value(`{"quota-rps":16,"share":0.001}`)
			}
			for b.Loop() {
				if err := Entries(base, entries); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
