package validate

import (
	"fmt"
	"os"
	"testing"

	"windflow/internal/settings"
)

// The check of a revision over a router's own file, by the number of parties. It runs beside the loop.
func BenchmarkEntries(b *testing.B) {
	base, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		b.Fatal(err)
	}
	for _, parties := range []int{4, 1000, 10000} {
		b.Run(fmt.Sprint(parties), func(b *testing.B) {
			entries := map[string]settings.Value{}
			for i := range parties {
				entries[fmt.Sprintf("/settings/parties/tenant-%05d", i)] = settings.Value(`{"quota-rps":16,"share":0.001}`)
			}
			for b.Loop() {
				if f := Entries(base, entries); f != nil {
					b.Fatal(f)
				}
			}
		})
	}
}
