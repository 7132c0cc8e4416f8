package pressure

import (
	"math"
	"math/rand/v2"
	"testing"

	"windflow/internal/tracetest"
)

// How hard pressed engines count, and how groups are divided, stays as it was recorded in testdata/traces.txt.
func TestTraces(t *testing.T) {
	tracetest.Check(t, []tracetest.Scenario{
		{Name: "engines/few-groups", Run: func(t *testing.T, h *tracetest.Hash) { traceEngines(h, 5) }},
		{Name: "engines/many-groups", Run: func(t *testing.T, h *tracetest.Hash) { traceEngines(h, 512) }},
		{Name: "engines/noticed", Run: traceNoticed},
		{Name: "demand/few-groups", Run: func(t *testing.T, h *tracetest.Hash) { traceDemand(h, 4, 30) }},
		{Name: "demand/many-groups", Run: func(t *testing.T, h *tracetest.Hash) { traceDemand(h, 3072, 3) }},
	})
}

func traceEngines(h *tracetest.Hash, groups int) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2026))
		terms := Limits{MemoryMB: []float64{0, 4096}[seed%2], MaxGrantShare: []float64{0, 0.4}[seed/2%2], Shortage: MemoryShortage(seed % 3)}
		var e Engine
		var out []Query
		now := 0.0
		for range 1500 {
			now += rng.ExpFloat64() * 20
			q := traceQuery(rng, groups)
			switch rng.IntN(6) {
			case 0:
				e.AttemptStarted(q, terms, now)
				out = append(out, q)
			case 1:
				if len(out) > 0 {
					e.AttemptEnded(out[0])
					out = out[1:]
				}
			case 2:
				e.LockObserved(q.TableGroup, now, now+rng.Float64()*4000-200)
			case 3:
				e.LoadReported(traceReport(rng), now)
			}
			traceAnswers(h, &e, q, terms, now)
		}
	}
}

// traceNoticed has others' loads noticed on more groups than are kept, some of which end.
func traceNoticed(t *testing.T, h *tracetest.Hash) {
	var e Engine
	for i := range 600 {
		now := float64(i)
		e.LockObserved(int64(i+1), now, now+250+float64(i%7)*40)
		standing := 0
		for group := range 600 {
			if e.Headroom(Query{TableGroup: int64(group + 1), BlockedByLoad: true}, Limits{}, now).BlockedByLock {
				standing++
			}
		}
		h.Step(1)
		h.Int(int64(standing))
	}
}

func traceQuery(rng *rand.Rand, groups int) Query {
	return Query{NeedMB: max(rng.ExpFloat64()*300-50, 0), TableGroup: int64(rng.IntN(groups + 1)), LocksTableGroup: rng.IntN(3) == 0, BlockedByLoad: rng.IntN(2) == 0}
}

// traceReport gives a report with some figures that are unknown or no numbers.
func traceReport(rng *rand.Rand) LoadReport {
	r := LoadReport{InFlight: float64(rng.IntN(20)), Waiting: float64(rng.IntN(8) / 4), Busy: rng.Float64(), Disk: rng.Float64(), Memory: rng.Float64()}
	for _, v := range []*float64{&r.InFlight, &r.Waiting, &r.Busy, &r.Disk, &r.Memory} {
		switch rng.IntN(10) {
		case 0:
			*v = -1
		case 1:
			*v = []float64{math.NaN(), math.Inf(1), math.Inf(-1)}[rng.IntN(3)]
		case 2, 3, 4:
			*v /= 4
		}
	}
	return r
}

func traceAnswers(h *tracetest.Hash, e *Engine, q Query, terms Limits, now float64) {
	for _, late := range []float64{0, 500, 1500, 2500} {
		m := e.Headroom(q, terms, now+late)
		h.Step(1)
		h.Float(m.MemoryShare)
		h.Bool(m.BlockedByLock)
		h.Bool(e.Calm(8, now+late))
		h.Float(e.CostFactor(8, now+late))
	}
	h.Float(terms.MaxMemoryShare())
}

func traceDemand(h *tracetest.Hash, groups, mean int) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2027))
		var d Demand
		now := rng.Float64() * 1e5
		for i := range 4000 {
			now += rng.ExpFloat64() * float64(mean)
			group := int64(rng.IntN(groups + 1))
			d.Add(group, traceTime(rng, 300), traceTime(rng, 2000), now)
			if i%1000 == 999 {
				now += rng.Float64() * 40_000
				d.Decay(now)
			}
			f := Fleet{Engines: 1 + rng.IntN(40), Cores: float64(rng.IntN(16)), Routers: rng.IntN(30)}
			f.Subset = max(f.Engines-rng.IntN(2)*rng.IntN(10), 0)
			h.Step(1)
			h.Int(int64(d.LoaderCount(group, f, now)))
			h.Int(int64(len(d.groups)))
		}
	}
}

// traceTime gives milliseconds, some of which do not count.
func traceTime(rng *rand.Rand, mean float64) float64 {
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
