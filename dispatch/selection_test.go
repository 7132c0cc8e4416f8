package dispatch

import (
	"testing"
	"time"
)

// Two loads on one table group must not share an engine while another is free.
func TestLoadsOnOneGroupSpread(t *testing.T) {
	config := twoClassConfig()
	config.Classes[1].LocksTableGroup = true
	for seed := range uint64(20) {
		config.Seed = seed
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, testEngines(4)...)
		used := map[EngineID]bool{}
		for range 4 {
			client := h.arriveWith(Arrival{Class: "big", TableGroup: 9, TimeLeft: 15 * time.Second})
			used[client.engines[0]] = true
		}
		if len(used) < 4 {
			t.Fatalf("seed %d: four loads on one group use %d engines", seed, len(used))
		}
	}
}

// When those nearby can take nothing, the rest of the fleet is used.
func TestOtherEnginesAreUsedWhenSubsetIsFull(t *testing.T) {
	config, list := largeFleetConfig(250, 60, 3)
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, list...)
	h.controller.env.now = h.now
	near := map[EngineID]bool{}
	for _, e := range h.controller.selector.engines() {
		near[e.ID] = true
		e.health.fullAt = h.now
	}
	client := h.arrive("quick", "")
	for range 20 {
		h.advance(10 * ms)
	}
	if len(client.engines) == 0 || near[client.engines[0]] {
		t.Errorf("sent to %v, want an engine that is not nearby", client.engines)
	}
}
