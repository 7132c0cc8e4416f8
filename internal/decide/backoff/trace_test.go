package backoff

import (
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// Fails when a change alters when engines and zones are in backoff, compared with the recording in
// testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{
		{Name: "machines", Run: func(_ *testing.T, h *tracetest.Hash) { traceEngines(h) }},
		{Name: "groups", Run: func(_ *testing.T, h *tracetest.Hash) { traceZones(h) }},
	})
}

// tracePolicies are policies that allow the backoff to double, and some that do not.
var tracePolicies = []Policy{
	{Initial: 250, Max: 4000},
	{Initial: 100, Max: 100},
	{Initial: 0, Max: 1000},
	{Initial: 800, Max: 300},
}

func traceEngines(h *tracetest.Hash) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		policy := tracePolicies[seed%4]
		var b Backoff
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 300
			switch n := rng.IntN(20); {
			case n < 6:
				b.RecordFailure(now, 0.75+rng.Float64()/2, policy)
			case n == 6:
				b.RecordSuccess()
			}
			h.Step(1)
			h.Bool(b.Active(now))
			h.Bool(b.Active(now + 250))
			h.Bool(b.Active(now + rng.ExpFloat64()*1000))
		}
	}
}

func traceZones(h *tracetest.Hash) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		policy := tracePolicies[seed%4]
		var zone ZoneBackoff
		now := 0.0
		for range 400 {
			now += rng.ExpFloat64() * 200
			switch n := rng.IntN(20); {
			case n < 8:
				zone.RecordFailure(int64(rng.IntN(6)), 1+rng.IntN(4), now, 0.75+rng.Float64()/2, policy)
			case n < 12:
				zone.RecordAttempt(now, policy)
			case n == 12:
				zone.RecordSuccess()
			}
			h.Step(1)
			h.Bool(zone.Active(now))
			h.Bool(zone.Active(now + rng.ExpFloat64()*1000))
			h.Bool(zone.Suspect())
		}
	}
}
