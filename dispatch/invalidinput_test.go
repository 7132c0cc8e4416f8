package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// incompleteConfig returns a random configuration with mistakes and omissions that an installation might have: no
// kinds, kinds without memory or cores, an empty or unknown zone, a router index out of range, classes without threads,
// no limit on attempts, no progress reports, or a grant share above 1.
func incompleteConfig(rng *rand.Rand) Config {
	config := randomConfig(rng)
	config.Features.MemoryShortage, config.Features.Grants = MemoryShortage(rng.IntN(3)), rng.IntN(2) == 0
	config.Features.MaxGrantShare = []float64{0, 0.4, 1, 5}[rng.IntN(4)]
	config.Features.ProgressInterval = []time.Duration{0, time.Second}[rng.IntN(2)]
	config.Zone = []string{"", "z0", "nowhere"}[rng.IntN(3)]
	config.Routers, config.RouterIndex = rng.IntN(5), rng.IntN(6)
	switch rng.IntN(4) {
	case 0:
		config.Kinds = nil
	case 1:
		config.Kinds[0].MemoryMB = 0
	case 2:
		config.Kinds[0].Cores = 0
	}
	for i := range config.Classes {
		config.Classes[i].Threads = rng.IntN(5)
		config.Classes[i].Zones, config.Classes[i].OrderByKey = nil, false
	}
	return config
}

// incompleteEngines returns n engines without zones or in five zones, with capacity weights that may be zero, negative
// or very large.
func incompleteEngines(rng *rand.Rand, n int) []Endpoint {
	list := testEngines(n)
	zones := []int{1, 1, 5}[rng.IntN(3)]
	for i := range list {
		list[i].Zone = ""
		if zones > 1 {
			list[i].Zone = fmt.Sprint("z", i%zones)
		}
		list[i].CapacityWeight = []float64{0, 1, 1e9, -3}[rng.IntN(4)]
	}
	return list
}

var extremeValues = []float64{0, 0.5, 1, 3.9, -1, -1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}

func extremeValue(rng *rand.Rand) float64 { return extremeValues[rng.IntN(len(extremeValues))] }

// extremeReport returns a load report with extreme values; nil in one of four cases.
func extremeReport(rng *rand.Rand) *LoadReport {
	if rng.IntN(4) == 0 {
		return nil
	}
	return &LoadReport{
		InFlight: extremeValue(rng),
		Waiting:  extremeValue(rng),
		Busy:     extremeValue(rng),
		Disk:     extremeValue(rng),
		Memory:   extremeValue(rng),
		Failing:  extremeValue(rng),
	}
}

// Extreme reports from engines, unexpected progress and missing settings do not make the controller break a rule of the
// harness or leave a request unanswered. Afterwards all costs are finite and an idle fleet starts new requests. This
// guards against invalid values, such as NaN or infinity, that stay in the state and keep requests from starting.
func TestInvalidInputKeepsRequestsAnswered(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			h := newHarness(t, incompleteConfig(rng))
			list := incompleteEngines(rng, 1+rng.IntN(6))
			h.updateEndpoints(ListComplete, list...)
			events := &invalidEvents{harness: h, rng: rng}
			for range 300 {
				events.invalidStep()
			}
			for range 20 { // 20 s, after which all requests are answered
				h.advance(time.Second)
				for _, client := range h.clients {
					h.endOutstanding(client, Served, nil)
				}
			}
			h.checkEachAnswered()
			events.checkCosts()
			h.advance(30 * time.Second)
			for _, class := range h.config.Classes {
				events.checkIdleFleetStarts(class)
			}
		})
	}
}

// checkCosts checks that the cost of each engine is finite and not negative for each class.
func (h *invalidEvents) checkCosts() {
	h.t.Helper()
	for _, e := range h.controller.endpoints.all {
		for _, k := range h.controller.classes.all {
			req := &request{class: k, estimate: 1, deadline: h.now + time.Second}
			if cost := h.controller.selector.cost(e, req); math.IsNaN(cost) || cost < 0 || cost > 1e15 {
				h.t.Errorf("engine %d has cost %v for class %s, want 0 to 1e15", e.ID, cost, k.Name)
			}
		}
	}
}

// checkIdleFleetStarts checks that a request starts within 100 ms while all engines are idle. An engine that was down
// may warm up after it has served the previous request; in that case a request after the warm-up has to start
// immediately.
func (h *invalidEvents) checkIdleFleetStarts(class Class) {
	h.t.Helper()
	arrival := Arrival{Class: class.Name, TableGroup: TableGroupOf(3), TimeLeft: class.Deadline}
	client := h.arriveWith(arrival)
	h.advance(100 * ms)
	if len(client.engines) == 0 && len(h.controller.capacity.warming) > 0 {
		h.advance(h.config.WarmUp.Duration)
		client = h.arriveWith(arrival)
	}
	if len(client.engines) == 0 {
		h.t.Errorf("a request of class %s is not started although all engines are idle", class.Name)
		return
	}
	h.endLatest(client, Served)
}

// invalidEvents sends a harness random events, many of them invalid.
type invalidEvents struct {
	*harness
	rng *rand.Rand
}

// invalidStep lets up to two harness steps pass and sends an event that is often invalid.
func (h *invalidEvents) invalidStep() {
	h.t.Helper()
	h.advance(harnessStep * time.Duration(h.rng.IntN(3)))
	switch h.rng.IntN(8) {
	case 0, 1, 2:
		h.invalidArrival()
	case 3:
		h.handle(EngineLoad{Engine: EngineID(h.rng.IntN(9)), Report: LoadReport{
			InFlight: extremeValue(h.rng),
			Waiting:  extremeValue(h.rng),
			Busy:     extremeValue(h.rng),
			Disk:     extremeValue(h.rng),
			Memory:   extremeValue(h.rng),
		}})
	case 4: // progress of an attempt that may have ended or never existed
		id := RequestID(fmt.Sprint("r", h.rng.IntN(h.lastID+2)))
		attempt, kind := h.rng.IntN(3)-1, ProgressKind(h.rng.IntN(6)-1)
		h.handle(AttemptProgress{Request: id, Attempt: attempt, Kind: kind, Amount: extremeValue(h.rng)})
	default:
		h.endWithExtremeReport()
	}
}

func (h *invalidEvents) invalidArrival() {
	h.t.Helper()
	class := h.config.Classes[h.rng.IntN(len(h.config.Classes))]
	h.arriveWith(Arrival{
		Class:      class.Name,
		Tenant:     "nobody",
		TableGroup: []int64{0, 1, 2, -7, math.MaxInt64}[h.rng.IntN(5)],
		NeedMB:     extremeValue(h.rng),
		Estimate:   time.Duration([]int64{0, 1, 200e6, -5, math.MaxInt64}[h.rng.IntN(5)]),
		TimeLeft:   time.Duration(h.rng.Float64() * float64(class.Deadline)),
	})
}

// endWithExtremeReport ends one of the latest outstanding attempts with a random outcome and an extreme report.
func (h *invalidEvents) endWithExtremeReport() {
	h.t.Helper()
	for _, client := range slices.Backward(h.clients) {
		for attempt, outcome := range client.outcomes {
			if outcome == outstanding && h.rng.IntN(3) > 0 {
				h.endAttempt(client, attempt, Outcome(h.rng.IntN(int(NotSent))), extremeReport(h.rng))
				return
			}
		}
	}
}
