package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// incompleteConfig are settings as an installation might give them by mistake or by leaving things out: no kinds, kinds without
// memory or cores, no zones or five, classes without threads, no limits, notes that never come.
func incompleteConfig(rng *rand.Rand) Config {
	config := randomConfig(rng)
	config.MemoryShortage, config.Grants = MemoryShortage(rng.IntN(3)), rng.IntN(2) == 0
	config.MaxGrantShare = []float64{0, 0.4, 1, 5}[rng.IntN(4)]
	config.ProgressInterval = []time.Duration{0, time.Second}[rng.IntN(2)]
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

var extremeFigures = []float64{0, 0.5, 1, 3.9, -1, -1e9, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}

func extremeFigure(rng *rand.Rand) float64 { return extremeFigures[rng.IntN(len(extremeFigures))] }

func extremeReport(rng *rand.Rand) *LoadReport {
	if rng.IntN(4) == 0 {
		return nil
	}
	return &LoadReport{InFlight: extremeFigure(rng), Waiting: extremeFigure(rng), Busy: extremeFigure(rng), Disk: extremeFigure(rng), Memory: extremeFigure(rng), Failing: extremeFigure(rng)}
}

// Whatever engines say of themselves and of attempts, and whatever is missing from settings and queries: no rule is broken,
// each request gets its one answer, and once all has ended the next query is sent.
func TestInvalidInputStopsNothing(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			h := newHarness(t, incompleteConfig(rng))
			list := incompleteEngines(rng, 1+rng.IntN(6))
			h.updateEndpoints(ListComplete, list...)
			for range 300 {
				h.invalidStep(rng)
			}
			for round := 0; round < 20; round++ { // all that is out is answered, until all is over
				h.advance(time.Second)
				for _, client := range h.clients {
					for hop, o := range client.outcomes {
						if o == outstanding {
							h.endAttempt(client, hop, Served, nil)
						}
					}
				}
			}
			for _, client := range h.clients {
				if client.answers != 1 && !client.gone {
					t.Fatalf("%s has %d answers", client.id, client.answers)
				}
			}
			for _, e := range h.controller.endpoints.all {
				for _, cl := range h.controller.classes.all {
					r := &request{class: cl, estimate: 1, deadline: h.now + time.Second}
					if cost := h.controller.selector.cost(e, r); math.IsNaN(cost) || cost < 0 || cost > 1e15 {
						t.Errorf("engine %d costs %v for a %s", e.ID, cost, cl.Name)
					}
				}
			}
			h.advance(30 * time.Second)
			for _, cl := range h.config.Classes {
				client := h.arriveWith(Arrival{Class: cl.Name, TableGroup: TableGroupOf(3), TimeLeft: cl.Deadline})
				h.advance(100 * ms)
				if len(client.engines) == 0 && len(h.controller.capacity.warming) > 0 {
					// One that was down has answered the query before, and is held to be cold: the next that comes once it is
					// warm is sent, at once.
					h.advance(h.config.WarmUpDuration)
					client = h.arriveWith(Arrival{Class: cl.Name, TableGroup: TableGroupOf(3), TimeLeft: cl.Deadline})
				}
				if len(client.engines) == 0 {
					t.Errorf("all engines are idle, and a %s is not sent", cl.Name)
					continue
				}
				h.endLatest(client, Served)
			}
		})
	}
}

func (h *harness) invalidStep(rng *rand.Rand) {
	h.t.Helper()
	h.advance(10 * ms * time.Duration(rng.IntN(3)))
	switch rng.IntN(8) {
	case 0, 1, 2:
		k := h.config.Classes[rng.IntN(len(h.config.Classes))]
		h.arriveWith(Arrival{
			Class: k.Name, Tenant: "nobody", TableGroup: []int64{0, 1, 2, -7, math.MaxInt64}[rng.IntN(5)], NeedMB: extremeFigure(rng),
			Estimate: time.Duration([]int64{0, 1, 200e6, -5, math.MaxInt64}[rng.IntN(5)]),
			TimeLeft: time.Duration(rng.Float64() * float64(k.Deadline)),
		})
	case 3:
		h.handle(EngineLoad{Engine: EngineID(rng.IntN(9)), Report: LoadReport{
			InFlight: extremeFigure(rng), Waiting: extremeFigure(rng), Busy: extremeFigure(rng),
			Disk: extremeFigure(rng), Memory: extremeFigure(rng),
		}})
	case 4: // a note on an attempt that may have ended, or never was
		id := RequestID(fmt.Sprint("r", rng.IntN(h.lastID+2)))
		h.handle(AttemptProgress{Request: id, Attempt: rng.IntN(3) - 1, Kind: ProgressKind(rng.IntN(6) - 1), Amount: extremeFigure(rng)})
	default:
		for _, client := range slices.Backward(h.clients) {
			for hop, o := range client.outcomes {
				if o == outstanding && rng.IntN(3) > 0 {
					h.endAttempt(client, hop, Outcome(rng.IntN(int(NotSent))), extremeReport(rng))
					return
				}
			}
		}
	}
}
