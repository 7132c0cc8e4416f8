package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"
)

// However many parties there are, and however often each asks: what all are given in a window is what the flow is worth
// there, within one chunk. Where seven in ten start anew, chance comes to it.
func TestSumOverParties(t *testing.T) {
	const life, lasts = 1500.0, 12_000.0
	for _, parties := range []int{40, 270, 300, 1000} {
		for _, flow := range []float64{0.8, 5, 30} { // chunks a second for all
			for _, restart := range []bool{false, true} {
				rng := rand.New(rand.NewPCG(uint64(parties), uint64(flow)))
				var given []float64
				for i := range parties {
					even := Rate{}.WithPoint(0, flow/float64(parties))
					r := NewBudget(i, parties, 0.3, 0)
					r.SetRate(even, 0)
					every := float64(1 + rng.IntN(400)) // how often it asks
					last := -1.0
					anew := restart && rng.Float64() < 0.7
					for now := 0.0; now < lasts; now += every {
						if anew && now > 5000 {
							r, anew = NewBudget(i, parties, 0.3, now), false
							r.SetRate(even, now)
						}
						if since, ok := r.Available(now, life); ok && since != last {
							given, last = append(given, since), since
						}
					}
				}
				// One that starts anew comes with another offset in time: chance takes the place of evenness.
				slack := 1.01
				if restart {
					slack += 3 * math.Sqrt(flow*life/1000)
				}
				for from := 0.0; from < lasts-2*life; from += 100 {
					n := 0.0
					for _, at := range given {
						if at > from && at <= from+life {
							n++
						}
					}
					if want := flow * life / 1000; math.Abs(n-want) > slack {
						t.Errorf("%d parties, %v chunks a second, restart %v: %v chunks in the window from %v, want %.1f", parties, flow, restart, n, from, want)
						break
					}
				}
			}
		}
	}
}

func TestChunkIsVoidAfterItsLife(t *testing.T) {
	r := NewBudget(0, 1, 0, 0)
	r.SetRate(Rate{}.WithPoint(0, 1), 0)
	for _, k := range []struct {
		at, life, since float64
		ok              bool
	}{
		{900, 1000, 0, false},
		{1100, 800, 1000, true},
		{1900, 800, 1000, false},
		{2000, 800, 2000, true},
		{1500, 800, 2000, true}, // a time that lies behind: nothing is reckoned twice
		{9700, 800, 9000, true}, // seven came due: one
		{9800, 700, 9000, false},
	} {
		if since, ok := r.Available(k.at, k.life); ok != k.ok || math.Abs(since-k.since) > 0.001 {
			t.Errorf("at %v: since %v, %v; want %v, %v", k.at, since, ok, k.since, k.ok)
		}
	}
	for _, flow := range []float64{0, -1} {
		r.SetRate(Rate{}.WithPoint(0, flow), 9900)
		if _, ok := r.Available(30_000-1000*flow, 700); ok || r.fraction < 0 || math.IsNaN(r.fraction) {
			t.Errorf("a flow of %v gave a chunk, or took one: %+v", flow, r)
		}
	}
}
