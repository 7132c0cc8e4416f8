package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Traffic at the rate never exceeds the quota, traffic at twice the rate does in half of its requests, and a long idle
// time allows no more than a burst.
func TestRejectedShare(t *testing.T) {
	const requests = 10_000
	for _, test := range []struct {
		name          string
		rate, traffic float64 // a second
		idleMS        float64 // before the traffic begins
		rejectedShare float64 // share of the requests
	}{
		{"at its rate", 20, 20, 0, 0},
		{"below", 20, 7, 0, 0},
		{"twice", 20, 40, 0, 0.5},
		{"four times", 5, 20, 0, 0.75},
		{"twice after a day", 20, 40, 86_400_000, 0.5},
		{"of a tenant without a quota", 0, 10, 0, 1},
		{"below zero", -5, 10, 0, 1},
	} {
		var bucket Bucket
		rejected, now := 0, 1e9
		bucket.Take(test.rate, now)
		now += test.idleMS
		for range requests {
			now += 1000 / test.traffic
			if !bucket.Take(test.rate, now) {
				rejected++
			}
		}
		if got := float64(rejected) / requests; math.Abs(got-test.rejectedShare) > 0.01 {
			t.Errorf("%s: %.3f over the quota, want %.3f", test.name, got, test.rejectedShare)
		}
	}
}

// In any span no more is admitted than the rate brings in it, and a burst.
func TestAdmittedWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket Bucket
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		now, latest, admitted := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "queries") {
			now += rapid.Float64Range(-50, 500).Draw(t, "gap")
			latest = max(latest, now)
			if bucket.Take(rate, now) {
				admitted++
			}
		}
		// A clock that goes back before the first use may start it there.
		if most := rate*(latest+500)/1000 + burstSeconds*rate + extraBurst; admitted > most {
			t.Fatalf("%v of at most %v", admitted, most)
		}
	})
}
