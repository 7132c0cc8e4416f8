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
var traceTerms = []Policy{{Initial: 250, Max: 4000}, {Initial: 100, Max: 100}, {Initial: 0, Max: 1000}, {Initial: 800, Max: 300}}

func traceMachines(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		terms := traceTerms[seed%4]
		var r Backoff
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 300
			switch n := rng.IntN(20); {
			case n < 6:
				r.RecordFailure(now, 0.75+rng.Float64()/2, terms)
			case n == 6:
				r.RecordSuccess()
			}
			h.Step(1)
			h.Bool(r.Active(now))
			h.Bool(r.Active(now + 250))
			h.Bool(r.Active(now + rng.ExpFloat64()*1000))
		}
	}
}

func traceGroups(t *testing.T, h *tracetest.Hash) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		terms := traceTerms[seed%4]
		var g ZoneBackoff
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 200
			switch n := rng.IntN(20); {
			case n < 8:
				g.RecordFailure(int64(rng.IntN(6)), 1+rng.IntN(4), now, 0.75+rng.Float64()/2, terms)
			case n < 12:
				g.RecordAttempt(now, terms)
			case n == 12:
				g.RecordSuccess()
			}
			h.Step(1)
			h.Bool(g.Active(now))
			h.Bool(g.Active(now + rng.ExpFloat64()*1000))
			h.Bool(g.Suspect())
		}
	}
}
