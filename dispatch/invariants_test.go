package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// halfBusyReport is the report that random outcomes carry.
var halfBusyReport = &LoadReport{InFlight: -1, Waiting: -1, Busy: 0.5, Disk: 0.5, Memory: -1}

// randomConfig varies every setting that a rule depends on.
func randomConfig(rng *rand.Rand) Config {
	config := twoClassConfig()
	config.Seed, config.Routers = rng.Uint64(), 1+rng.IntN(4)
	config.MaxAttempts = rng.IntN(5)
	config.CancelAllowed, config.HedgingAllowed, config.PolledDiscovery = rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
	config.DiscoveryTimeout, config.KeyCooldown = 4*time.Second, time.Duration(rng.IntN(500))*ms
	config.WarmUpInitialShare, config.WarmUpDuration, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 0.4, 5*time.Second, 2, time.Second
	if rng.IntN(2) == 0 {
		config.RetryBudget = RetryBudget{Window: 2 * time.Second, Free: float64(rng.IntN(4)), PerRequest: 0.2 * rng.Float64()}
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

// TestInvariantsHold feeds random legal events; world checks the rules after every action.
func TestInvariantsHold(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			h := newHarness(t, randomConfig(rng))
			h.updateEndpoints(ListCached, testEngines(2+rng.IntN(4))...)
			for range 600 {
				h.randomStep(rng)
			}
			for _, client := range h.clients { // whatever is out now ends when its client does
				for i, o := range client.outcomes {
					if o == outstanding {
						h.advance(10 * ms)
						h.endAttempt(client, i, TimedOut, halfBusyReport)
					}
				}
			}
			h.advance(16 * time.Second)
			for _, client := range h.clients {
				for i, o := range client.outcomes {
					if o == outstanding {
						h.endAttempt(client, i, ConnectionReset, halfBusyReport)
					}
				}
			}
			h.advance(16 * time.Second)
			for _, client := range h.clients {
				if client.answers != 1 && !client.gone {
					t.Fatalf("%s has %d answers", client.id, client.answers)
				}
			}
			if len(h.starts) == 0 {
				t.Fatal("nothing was ever sent")
			}
		})
	}
}

func (h *harness) randomStep(rng *rand.Rand) {
	h.t.Helper()
	h.advance(10 * ms * time.Duration(rng.IntN(3)))
	switch n := rng.IntN(20); {
	case n < 9:
		k := h.config.Classes[rng.IntN(len(h.config.Classes))]
		key := ""
		if k.OrderByKey {
			key = fmt.Sprint("k", rng.IntN(3))
		}
		h.arriveWith(Arrival{
			Class: k.Name, Key: key, TableGroup: int64(rng.IntN(4)), NeedMB: float64(rng.IntN(3) * 300),
			Estimate: time.Duration(rng.IntN(3)*200) * ms, TimeLeft: time.Duration(rng.Float64() * float64(k.Deadline)),
		})
	case n < 17:
		h.randomOutcome(rng)
	case n == 17:
		client := h.clients[max(len(h.clients)-1-rng.IntN(5), 0):]
		if len(client) > 0 && client[0].answers == 0 {
			client[0].gone = true
			h.handle(ClientGone{Request: client[0].id})
		}
	case n == 18:
		e := testEngines(6)[rng.IntN(6)]
		e.State = EndpointState(rng.IntN(3))
		if rng.IntN(2) == 0 {
			e.StartedAt = h.now
		}
		h.updateEndpoints(ListIncremental, e)
	default:
		if rng.IntN(3) == 0 {
			h.updateEndpoints(ListFailed)
			return
		}
		h.updateEndpoints(ListComplete, testEngines(1+rng.IntN(6))...)
	}
}

func (h *harness) randomOutcome(rng *rand.Rand) {
	h.t.Helper()
	for i := len(h.clients) - 1; i >= 0; i-- {
		client := h.clients[i]
		for hop, o := range client.outcomes {
			if o != outstanding || rng.IntN(3) == 0 {
				continue
			}
			if rng.IntN(3) == 0 {
				h.handle(AttemptProgress{Request: client.id, Attempt: hop, Kind: ProgressKind(rng.IntN(4)), Amount: rng.Float64() * 2})
			}
			h.endAttempt(client, hop, Outcome(rng.IntN(int(NotSent))), halfBusyReport)
			return
		}
	}
}
