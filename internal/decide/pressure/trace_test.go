package pressure

import (
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// Fails when a change alters the estimated load of engines or how groups are divided among engines, compared with the
// recording in testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{
		{Name: "engines/few-groups", Run: func(_ *testing.T, h *tracetest.Hash) { traceEngines(h, 5) }},
		{Name: "engines/many-groups", Run: func(_ *testing.T, h *tracetest.Hash) { traceEngines(h, 512) }},
		{Name: "engines/noticed", Run: func(_ *testing.T, h *tracetest.Hash) { traceObservedLocks(h) }},
		{Name: "demand/few-groups", Run: func(_ *testing.T, h *tracetest.Hash) { traceDemand(h, 4, 30) }},
		{Name: "demand/many-groups", Run: func(_ *testing.T, h *tracetest.Hash) { traceDemand(h, 3072, 3) }},
	})
}

func traceEngines(h *tracetest.Hash, groups int) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		limits := Limits{
			MemoryMB:      []float64{0, 4096}[seed%2],
			MaxGrantShare: []float64{0, 0.4}[seed/2%2],
			Shortage:      MemoryShortage(seed % 3),
		}
		var engine Engine
		var running []Query
		now := 0.0
		for range 1500 {
			now += rng.ExpFloat64() * 20
			query := randomQuery(rng, groups)
			switch rng.IntN(6) {
			case 0:
				engine.AttemptStarted(query, limits, now)
				running = append(running, query)
			case 1:
				if len(running) > 0 {
					engine.AttemptEnded(running[0])
					running = running[1:]
				}
			case 2:
				engine.LockObserved(query.TableGroup, now, now+rng.Float64()*4000-200)
			case 3:
				engine.LoadReported(randomReport(rng), now)
			}
			traceAnswers(h, &engine, query, limits, now)
		}
	}
}

// traceObservedLocks observes loads of other routers on more groups than are remembered; some of the loads end.
func traceObservedLocks(h *tracetest.Hash) {
	var engine Engine
	for i := range 600 {
		now := float64(i)
		engine.LockObserved(int64(i+1), now, now+250+float64(i%7)*40)
		blocked := 0
		for group := range 600 {
			query := Query{TableGroup: int64(group + 1), BlockedByLoad: true}
			if engine.Headroom(query, Limits{}, now).BlockedByLock {
				blocked++
			}
		}
		h.Step(1)
		h.Int(int64(blocked))
	}
}

func randomQuery(rng *rand.Rand, groups int) Query {
	return Query{
		NeedMB:          max(rng.ExpFloat64()*300-50, 0),
		TableGroup:      int64(rng.IntN(groups + 1)),
		LocksTableGroup: rng.IntN(3) == 0,
		BlockedByLoad:   rng.IntN(2) == 0,
	}
}

// randomReport returns a report in which some figures are unknown or not finite.
func randomReport(rng *rand.Rand) LoadReport {
	report := LoadReport{
		InFlight: float64(rng.IntN(20)),
		Waiting:  float64(rng.IntN(8) / 4),
		Busy:     rng.Float64(),
		Disk:     rng.Float64(),
		Memory:   rng.Float64(),
	}
	for _, figure := range []*float64{&report.InFlight, &report.Waiting, &report.Busy, &report.Disk, &report.Memory} {
		switch rng.IntN(10) {
		case 0:
			*figure = -1
		case 1:
			*figure = []float64{math.NaN(), math.Inf(1), math.Inf(-1)}[rng.IntN(3)]
		case 2, 3, 4:
			*figure /= 4
		}
	}
	return report
}

func traceAnswers(h *tracetest.Hash, engine *Engine, query Query, limits Limits, now float64) {
	for _, late := range []float64{0, 500, 1500, 2500} {
		headroom := engine.Headroom(query, limits, now+late)
		h.Step(1)
		h.Float(headroom.MemoryShare)
		h.Bool(headroom.BlockedByLock)
		h.Bool(engine.HasSpareCapacity(8, now+late))
		h.Float(engine.CostFactor(8, now+late))
	}
	h.Float(limits.MaxMemoryShare())
}

func traceDemand(h *tracetest.Hash, groups, mean int) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2027))
		var demand Demand
		now := rng.Float64() * 1e5
		for i := range 4000 {
			now += rng.ExpFloat64() * float64(mean)
			group := int64(rng.IntN(groups + 1))
			demand.Add(group, randomTimeMS(rng, 300), randomTimeMS(rng, 2000), now)
			if i%1000 == 999 {
				now += rng.Float64() * 40_000
				demand.Decay(now)
			}
			fleet := Fleet{Engines: 1 + rng.IntN(40), Cores: float64(rng.IntN(16)), Routers: rng.IntN(30)}
			fleet.Subset = max(fleet.Engines-rng.IntN(2)*rng.IntN(10), 0)
			h.Step(1)
			h.Int(int64(demand.LoaderCount(group, fleet, now)))
			h.Int(int64(len(demand.groups)))
		}
	}
}

// randomTimeMS returns a time in milliseconds; some results are invalid.
func randomTimeMS(rng *rand.Rand, mean float64) float64 {
	switch rng.IntN(200) {
	case 0:
		return math.NaN()
	case 1:
		return -1
	case 2:
		return 1e9
	case 3, 4, 5, 6, 7, 8, 9, 10:
		return 0
	}
	return rng.ExpFloat64() * mean
}
