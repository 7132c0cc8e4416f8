package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// halfBusyReport is the load report that random outcomes carry.
var halfBusyReport = &LoadReport{InFlight: -1, Waiting: -1, Busy: 0.5, Disk: 0.5, Memory: -1}

// randomConfig returns a configuration in which every setting that the checks of the harness depend on is random.
func randomConfig(rng *rand.Rand) Config {
	config := twoClassConfig()
	config.Seed, config.Routers = rng.Uint64(), 1+rng.IntN(4)
	config.MaxAttempts = rng.IntN(5)
	config.CancelAllowed, config.HedgingAllowed = rng.IntN(2) == 0, rng.IntN(3) == 0
	config.PolledDiscovery = rng.IntN(2) == 0
	config.DiscoveryTimeout, config.KeyCooldown = 4*time.Second, time.Duration(rng.IntN(500))*ms
	config = withShortWarmUp(config)
	config.WarmUp.Duration = 5 * time.Second
	if rng.IntN(2) == 0 {
		config.RetryBudget = RetryBudget{
			Window: 2 * time.Second, Free: float64(rng.IntN(4)), PerRequest: 0.2 * rng.Float64(),
		}
	}
	for i := range config.Classes {
		k := &config.Classes[i]
		k.Semantics, k.IdempotencyScope = Semantics(rng.IntN(3)), IdempotencyScope(rng.IntN(3))
		k.IdempotencyWindow, k.OrderByKey = time.Duration(200+rng.IntN(2000))*ms, rng.IntN(2) == 0
		k.LateWeightShare = float64(rng.IntN(2)) / 2
		if rng.IntN(3) == 0 {
			k.Zones = []string{"z0"}
		}
		k.LocksTableGroup, k.BlockedByLoad = rng.IntN(3) == 0, rng.IntN(3) == 0
	}
	return config
}

// For any sequence of valid events, every action satisfies the checks of the harness and each request gets exactly one
// answer.
func TestInvariantsHold(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			h := newHarness(t, randomConfig(rng))
			h.updateEndpoints(ListCached, testEngines(2+rng.IntN(4))...)
			events := &randomEvents{harness: h, rng: rng}
			for range 600 {
				events.randomStep()
			}
			events.timeOutAll()
			h.checkEachAnswered()
			if len(h.starts) == 0 {
				t.Fatal("no attempt was started, want at least 1")
			}
		})
	}
}

// timeOutAll times out the outstanding attempts one by one, lets all deadlines pass, and resets the connections of
// attempts that were started in between.
func (h *randomEvents) timeOutAll() {
	h.t.Helper()
	for _, client := range h.clients {
		for attempt, outcome := range client.outcomes {
			if outcome == outstanding {
				h.advance(harnessStep)
				h.endAttempt(client, attempt, TimedOut, halfBusyReport)
			}
		}
	}
	h.advance(16 * time.Second)
	for _, client := range h.clients {
		h.endOutstanding(client, ConnectionReset, halfBusyReport)
	}
	h.advance(16 * time.Second)
}

// randomEvents sends a harness random valid events.
type randomEvents struct {
	*harness
	rng *rand.Rand
}

// randomStep lets up to two harness steps pass and sends a random event.
func (h *randomEvents) randomStep() {
	h.t.Helper()
	h.advance(harnessStep * time.Duration(h.rng.IntN(3)))
	switch n := h.rng.IntN(20); {
	case n < 9:
		h.randomArrival()
	case n < 17:
		h.randomOutcome()
	case n == 17:
		h.clientLeaves()
	case n == 18:
		h.randomEndpoint()
	default:
		if h.rng.IntN(3) == 0 {
			h.updateEndpoints(ListFailed)
			return
		}
		h.updateEndpoints(ListComplete, testEngines(1+h.rng.IntN(6))...)
	}
}

func (h *randomEvents) randomArrival() {
	h.t.Helper()
	class := h.config.Classes[h.rng.IntN(len(h.config.Classes))]
	key := ""
	if class.OrderByKey {
		key = fmt.Sprint("k", h.rng.IntN(3))
	}
	h.arriveWith(Arrival{
		Class:      class.Name,
		Key:        key,
		TableGroup: int64(h.rng.IntN(4)),
		NeedMB:     float64(h.rng.IntN(3) * 300),
		Estimate:   time.Duration(h.rng.IntN(3)*200) * ms,
		TimeLeft:   time.Duration(h.rng.Float64() * float64(class.Deadline)),
	})
}

// clientLeaves reports that the client of a recent request is gone, unless the request has an answer.
func (h *randomEvents) clientLeaves() {
	h.t.Helper()
	recent := h.clients[max(len(h.clients)-1-h.rng.IntN(5), 0):]
	if len(recent) > 0 && recent[0].answers == 0 {
		recent[0].gone = true
		h.handle(ClientGone{Request: recent[0].id})
	}
}

// randomEndpoint sets a random engine to a random state, in half of the cases with a new start.
func (h *randomEvents) randomEndpoint() {
	h.t.Helper()
	e := testEngines(6)[h.rng.IntN(6)]
	e.State = EndpointState(h.rng.IntN(3))
	if h.rng.IntN(2) == 0 {
		e.StartedAt = h.now
	}
	h.updateEndpoints(ListIncremental, e)
}

// randomOutcome ends an outstanding attempt, in a third of the cases after a progress report.
func (h *randomEvents) randomOutcome() {
	h.t.Helper()
	for i := len(h.clients) - 1; i >= 0; i-- {
		client := h.clients[i]
		for attempt, outcome := range client.outcomes {
			if outcome != outstanding || h.rng.IntN(3) == 0 {
				continue
			}
			if h.rng.IntN(3) == 0 {
				kind := ProgressKind(h.rng.IntN(4))
				h.handle(AttemptProgress{Request: client.id, Attempt: attempt, Kind: kind, Amount: h.rng.Float64() * 2})
			}
			h.endAttempt(client, attempt, Outcome(h.rng.IntN(int(NotSent))), halfBusyReport)
			return
		}
	}
}
