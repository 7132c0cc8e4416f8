package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Checks the share of rejected requests: none at the tenant's rate, half of them at twice the rate. Guards against a
// long idle time that allows more than one burst.
func TestRejectedShare(t *testing.T) {
	const requests = 10_000
	for _, test := range []struct {
		name          string
		rate, traffic float64 // per second
		idleMS        float64 // idle time before the traffic starts
		rejectedShare float64 // share of the requests
	}{
		{"at the rate", 20, 20, 0, 0},
		{"below the rate", 20, 7, 0, 0},
		{"twice the rate", 20, 40, 0, 0.5},
		{"four times the rate", 5, 20, 0, 0.75},
		{"twice the rate after an idle day", 20, 40, 86_400_000, 0.5},
		{"rate of zero", 0, 10, 0, 1},
		{"negative rate", -5, 10, 0, 1},
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
			t.Errorf("%s: a share of %.3f of the requests was rejected, want %.3f", test.name, got, test.rejectedShare)
		}
	}
}

// Checks that the requests admitted in any span of time are at most what the rate allows in it, plus one burst, even
// if the clock goes back.
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
		// The first use may be before time 0, since the clock may go back first.
		if limit := rate*(latest+500)/1000 + burstSeconds*rate + extraBurst; admitted > limit {
			t.Fatalf("%v requests were admitted, want at most %v", admitted, limit)
		}
	})
}
