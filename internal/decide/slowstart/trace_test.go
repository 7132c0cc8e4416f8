package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/decide/subset"
	"windflow/internal/tracetest"
)

// Fails when a change alters when quanta are due or which items a router's subset has, compared with the recording in
// testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{
		{Name: "chunks", Run: func(_ *testing.T, h *tracetest.Hash) { traceBudgets(h) }},
		{Name: "flows", Run: func(_ *testing.T, h *tracetest.Hash) { traceRates(h) }},
		{Name: "deals", Run: func(_ *testing.T, h *tracetest.Hash) { traceSubsets(h) }},
	})
}

// randomRate returns a rate to which up to five points were added, some of them invalid.
func randomRate(rng *rand.Rand, from float64) (r Rate) {
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
		r = r.WithPoint(at, rate)
		at += 1 + rng.ExpFloat64()*4000
	}
	return r
}

func traceBudgets(h *tracetest.Hash) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		now := rng.Float64() * 1e5
		routers := rng.IntN(700)
		budget := NewBudget(rng.IntN(routers+1), routers, rng.Float64(), now)
		for i := range 200 {
			now += rng.ExpFloat64() * 400
			if i%23 == 0 {
				budget.SetRate(randomRate(rng, now), now)
			}
			since, ok := budget.Available(now, rng.ExpFloat64()*1500)
			h.Step(1)
			h.Float(since)
			h.Bool(ok)
			h.Float(budget.NextDue())
		}
	}
}

func traceRates(h *tracetest.Hash) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2027))
		rate := randomRate(rng, 1000)
		for range 10 {
			from := rng.Float64() * 10000
			h.Step(1)
			h.Float(rate.integral(from, from+rng.ExpFloat64()*3000))
			h.Float(rate.dueAt(from, rng.ExpFloat64()*3))
		}
	}
}

func traceSubsets(h *tracetest.Hash) {
	rng := rand.New(rand.NewPCG(1, 2028))
	for range 2000 {
		routers := rng.IntN(700)
		h.Step(1)
		for _, item := range subset.Choose(rng.IntN(routers+1), routers, rng.IntN(1500), rng.IntN(30)-1) {
			h.Int(int64(item))
		}
	}
}
