package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/decide/subset"
	"windflow/internal/tracetest"
)

// When chunks are due, and how items are dealt, stays as it was recorded in testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{{Name: "chunks", Run: traceChunks}, {Name: "flows", Run: traceFlows}, {Name: "deals", Run: traceDeals}})
}

// traceFlow gives a flow of up to five points, some with rates that do not count.
func traceFlow(rng *rand.Rand, from float64) (f Rate) {
	at := from - rng.Float64()*2000
	for range rng.IntN(6) {
		rate := rng.ExpFloat64() * 3
		switch rng.IntN(12) {
		case 0:
			rate = 0
		case 1:
			rate = -1
		case 2:
			rate = math.NaN()
		}
		f = f.WithPoint(at, rate)
		at += 1 + rng.ExpFloat64()*4000
	}
	return f
}

func traceChunks(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		now := rng.Float64() * 1e5
		parties := rng.IntN(700)
		r := NewBudget(rng.IntN(parties+1), parties, rng.Float64(), now)
		for i := range 200 {
			now += rng.ExpFloat64() * 400
			if i%23 == 0 {
				r.SetRate(traceFlow(rng, now), now)
			}
			since, ok := r.Available(now, rng.ExpFloat64()*1500)
			h.Step(1)
			h.Float(since)
			h.Bool(ok)
			h.Float(r.NextDue())
		}
	}
}

func traceFlows(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2027))
		f := traceFlow(rng, 1000)
		for range 10 {
			from := rng.Float64() * 10000
			h.Step(1)
			h.Float(f.integral(from, from+rng.ExpFloat64()*3000))
			h.Float(f.timeOf(from, rng.ExpFloat64()*3))
		}
	}
}

func traceDeals(t *testing.T, h *tracetest.Hash) {
	rng := rand.New(rand.NewPCG(1, 2028))
	for range 2000 {
		parties := rng.IntN(700)
		h.Step(1)
		for _, place := range subset.Choose(rng.IntN(parties+1), parties, rng.IntN(1500), rng.IntN(30)-1) {
			h.Int(int64(place))
		}
	}
}
