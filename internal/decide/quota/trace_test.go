package quota

import (
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// Fails when a change alters which requests a bucket admits, compared with the recording in testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{
		{Name: "buckets", Run: func(_ *testing.T, h *tracetest.Hash) { traceBuckets(h) }},
	})
}

// traceBuckets takes tokens at random rates and times. Some rates are invalid, and some times are in the past.
func traceBuckets(h *tracetest.Hash) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		rates := []float64{rng.ExpFloat64() * 10, rng.ExpFloat64() * 0.1, rng.ExpFloat64() * 1000}
		var bucket Bucket
		now := rng.Float64() * 1e6
		for i := range 500 {
			now += rng.ExpFloat64() * 100
			rate, at := rates[rng.IntN(3)], now
			switch i % 50 {
			case 17:
				rate = []float64{0, -3, math.Inf(1)}[rng.IntN(3)]
			case 31:
				at -= 500
			}
			h.Step(1)
			h.Bool(bucket.Take(rate, at))
		}
	}
}
