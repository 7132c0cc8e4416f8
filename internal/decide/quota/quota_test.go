package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A flow at its rate is never past its share, one at twice the rate is in half of its queries, and what was not used for long
// allows no more than a burst.
func TestFlows(t *testing.T) {
	for _, k := range []struct {
		name       string
		rate, flow float64 // a second
		idle       float64 // before it begins, in milliseconds
		past       float64 // share of 10,000 queries
	}{
		{"at its rate", 20, 20, 0, 0},
		{"below", 20, 7, 0, 0},
		{"twice", 20, 40, 0, 0.5},
		{"four times", 5, 20, 0, 0.75},
		{"twice after a day", 20, 40, 86_400_000, 0.5},
		{"of a tenant without a share", 0, 10, 0, 1},
		{"below zero", -5, 10, 0, 1},
	} {
		var b Bucket
		past, now := 0, 1e9
		b.Take(k.rate, now)
		now += k.idle
		for range 10_000 {
			now += 1000 / k.flow
			if !b.Take(k.rate, now) {
				past++
			}
		}
		if got := float64(past) / 10_000; math.Abs(got-k.past) > 0.01 {
			t.Errorf("%s: %.3f past the share, want %.3f", k.name, got, k.past)
		}
	}
}

// In any span no more is let through than the rate brings in it, and a burst.
func TestNoMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		now, latest, through := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "queries") {
			now += rapid.Float64Range(-50, 500).Draw(t, "gap")
			latest = max(latest, now)
			if b.Take(rate, now) {
				through++
			}
		}
		// A clock that goes back before the first use may start it there.
		if most := rate*(latest+500)/1000 + burstSeconds*rate + minBurst; through > most {
			t.Fatalf("%v of at most %v", through, most)
		}
	})
}
