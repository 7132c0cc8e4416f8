package backoff

import (
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// When machines and groups rest stays as it was recorded in testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{{Name: "machines", Run: traceMachines}, {Name: "groups", Run: traceGroups}})
}

// traceTerms are terms with room to double, and some without.
var traceTerms = []Terms{{First: 250, Most: 4000}, {First: 100, Most: 100}, {First: 0, Most: 1000}, {First: 800, Most: 300}}

func traceMachines(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		terms := traceTerms[seed%4]
		var r Rest
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 300
			switch n := rng.IntN(20); {
			case n < 6:
				r.Strike(now, 0.75+rng.Float64()/2, terms)
			case n == 6:
				r.Answer()
			}
			h.Step(1)
			h.Bool(r.On(now))
			h.Bool(r.On(now + 250))
			h.Bool(r.On(now + rng.ExpFloat64()*1000))
		}
	}
}

func traceGroups(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		terms := traceTerms[seed%4]
		var g Group
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 200
			switch n := rng.IntN(20); {
			case n < 8:
				g.Strike(int64(rng.IntN(6)), 1+rng.IntN(4), now, 0.75+rng.Float64()/2, terms)
			case n < 12:
				g.Tried(now, terms)
			case n == 12:
				g.Answer()
			}
			h.Step(1)
			h.Bool(g.On(now))
			h.Bool(g.On(now + rng.ExpFloat64()*1000))
			h.Bool(g.Doubted())
		}
	}
}
